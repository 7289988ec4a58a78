package rwcoldguard

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrouteconfig"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func newGuard(name string, perSecond float64) *Guard {
	g := New(at(0), name, true)
	g.Overage, g.Slack = 1.5, 5
	g.Service = func(string) (rwrouteconfig.Service, bool) {
		return rwrouteconfig.Service{ColdStart: coldStart, ColdPerSecond: perSecond}, true
	}
	return g
}

// TestNoBoundNothingChanges guards against any effect on services whose cold upstreams
// have no bound, whatever their entries and failures say.
func TestNoBoundNothingChanges(t *testing.T) {
	g := newGuard("r0", 0)
	cold := []rwinstance.Instance{{ID: "a", Cold: time.Minute}, {ID: "b", Cold: time.Minute}}
	g.ObserveUpstreams(at(0), cold, g.Service)
	for range 10 {
		g.Ended(at(0), "a", rwplacement.Failed)
	}
	require.True(t, g.PlainRoom(at(time.Second), "s", "a", "x"))
	require.Zero(t, g.PlainTaken(at(time.Second), "s", "a", "x"))
	require.Empty(t, g.ColdOf(at(time.Second), "s"))
	require.Empty(t, g.Uses(at(time.Second)))

	bounded, free := newPlacer(), newPlacer()
	bounded.Cold = g.Engines("s", "s/0", score)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		now := at(time.Duration(i) * 2 * time.Millisecond)
		r := rwplacement.Request{
			ID: strconv.Itoa(i), Account: strconv.Itoa(rng.IntN(5)), UniqueTokens: rng.IntN(3000), ExpectedOutput: 50,
			Target: 400 * time.Millisecond,
			Parts:  []rwprompt.Part{{ID: "s" + strconv.Itoa(rng.IntN(6)), Tokens: 5000}, {ID: "o" + strconv.Itoa(i), Tokens: 100}},
		}
		require.Equal(t, free.Submit(now, r), bounded.Submit(now, r))
		require.Equal(t, free.Tick(now), bounded.Tick(now))
		if i >= 50 {
			id, end := strconv.Itoa(i-50), rwplacement.End(rng.IntN(5))
			for _, p := range []*rwplacement.Placer{free, bounded} {
				p.FirstEvent(now, id)
				p.Ended(now, id, end)
			}
		}
	}
}

func newPlacer() *rwplacement.Placer {
	p := rwplacement.New(rwplacement.Spec{Slots: 32, KVCapacity: 1e6, TokenBytes: 1000, LinkBytesPerSecond: 1e9, Window: 2 * time.Second})
	p.SetEngines([]rwplacement.Engine{{ID: "a"}, {ID: "b"}})
	return p
}

// TestPlainBound guards against more requests at a cold upstream of a plain service
// than it bears, when all routers see it cold and none tells another.
func TestPlainBound(t *testing.T) {
	var guards []*Guard
	var live []rwidentity.Identity
	for i := range routers {
		live = append(live, rwidentity.Identity{Name: "r" + strconv.Itoa(i)})
		guards = append(guards, newGuard(live[i].Name, perSecond))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var arrivals []time.Duration
	for _, g := range guards {
		g.ObserveUpstreams(at(0), []rwinstance.Instance{{ID: "a", Service: "s", StartMillis: 1}}, g.Service)
		for now := time.Duration(0); now <= 10*time.Second; now += 200 * time.Millisecond {
			g.ObserveRouters(at(now), live)
		}
		g.ObserveUpstreams(at(10*time.Second), []rwinstance.Instance{{ID: "a", Service: "s", StartMillis: 2, Cold: coldStart}}, g.Service)
		for now := 10 * time.Second; now < 13*time.Second; now += 20 * time.Millisecond {
			g.ObserveRouters(at(now), live[:1+rng.IntN(routers-1)])
			if !g.PlainRoom(at(now), "s", "a", strconv.Itoa(rng.IntN(20))) {
				continue
			}
			notAfter := g.PlainTaken(at(now), "s", "a", "x")
			sent := now + time.Duration(rng.IntN(300))*time.Millisecond
			require.False(t, at(sent).After(notAfter))
			arrivals = append(arrivals, sent+time.Duration(rng.IntN(100))*time.Millisecond)
		}
		require.True(t, g.PlainRoom(at(13*time.Second), "s", "a", "x"), "it is warm")
	}
	require.NotEmpty(t, arrivals)
	slices.Sort(arrivals)
	for i := range arrivals[:max(len(arrivals)-15, 0)] {
		require.Greater(t, arrivals[i+15]-arrivals[i], time.Second)
	}
}

// TestInterruptEndsRememberedRights guards against a router that lets requests go right
// after a suspension in which the steady clock stood still, since it remembers that it
// might before.
func TestInterruptEndsRememberedRights(t *testing.T) {
	g := newGuard("r0", perSecond)
	live := []rwidentity.Identity{{Name: "r0", Capacity: 500}, {Name: "r1", Capacity: 1}}
	list := []rwinstance.Instance{{ID: "a", Service: "s", StartMillis: 1}}
	g.ObserveUpstreams(at(0), list, g.Service)
	for now := time.Duration(0); now <= 3*time.Second; now += 200 * time.Millisecond {
		g.ObserveRouters(at(now), live)
	}
	list[0].Cold = coldStart
	g.ObserveUpstreams(at(3*time.Second), list, g.Service)
	bounds := g.Engines("s", cellName, score)
	room := func() (plain, engine bool) {
		return g.PlainRoom(at(3*time.Second), "s", "a", "x"), bounds.Room(at(3*time.Second), "a", "x")
	}
	// The meter counts from the first question on.
	g.PlainTaken(at(time.Second), "s", "a", "x")
	plain, engine := room()
	require.True(t, plain)
	require.True(t, engine)
	g.Interrupt(at(3 * time.Second))
	plain, engine = room()
	require.False(t, plain)
	require.False(t, engine)
}

// TestUses guards against metrics that don't show how much of a bound is used.
func TestUses(t *testing.T) {
	g := newGuard("r0", perSecond)
	g.ObserveUpstreams(at(0), []rwinstance.Instance{{ID: "a", Service: "s", Cold: time.Second}, {ID: "b", Service: "s"}}, g.Service)
	g.PlainTaken(at(0), "s", "a", "x")
	uses := g.Uses(at(500 * time.Millisecond))
	require.Len(t, uses, 1)
	require.Equal(t, "a", uses[0].ID)
	require.Equal(t, 500*time.Millisecond, uses[0].Left)
	require.Equal(t, []int{1, 5}, []int{uses[0].Used, uses[0].Limit})
}
