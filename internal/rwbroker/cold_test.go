package rwbroker

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrouteconfig"
)

// coldFleet returns routers that have known for long that the engines are warm.
func coldFleet(t *testing.T, routers, engines int) (*fleet, []rwinstance.Instance) {
	var list []rwinstance.Instance
	for i := range engines {
		list = append(list, rwinstance.Instance{ID: "e" + strconv.Itoa(i), Service: "model", Addr: "10.0.0.1:" + strconv.Itoa(100+i), Zone: "z", StartMillis: 1})
	}
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{{
		Name: "model", Engine: &rwrouteconfig.Engine{Slots: 64, KVCapacity: 1e6}, ColdStart: 3 * time.Second, ColdPerSecond: 15,
	}}, nil)
	f := newFleet(t, routers, rwconfigsnapshot.New(config, 1, time.Now(), list))
	for _, n := range f.nodes {
		n.Cold.ObserveUpstreams(time.Now(), list, n.Cold.Service)
	}
	time.Sleep(5 * time.Second)
	return f, list
}

// turnCold tells some routers that engines have started again.
func (f *fleet) turnCold(list []rwinstance.Instance, nodes ...string) {
	for i := range list {
		list[i].StartMillis, list[i].Cold = 2, 3*time.Second
	}
	for _, name := range nodes {
		f.nodes[name].Cold.ObserveUpstreams(time.Now(), list, f.nodes[name].Cold.Service)
	}
}

// serve has a router place a request, which ends at once, and reports whether it got
// a grant.
func (f *fleet) serve(t *testing.T, node, id string) (Grant, bool) {
	r := newRequest(id)
	r.Account = "acc" + id
	g, fault := f.nodes[node].Acquire(t.Context(), "model", r)
	if fault != nil {
		return g, false
	}
	g.FirstEvent()
	g.End(rwplacement.Served)
	return g, true
}

// TestColdEngineGetsItsPart guards against more grants for a cold engine than its
// owner's part of the bound, by whichever routers ask, and against requests that wait
// for it when there is no other.
func TestColdEngineGetsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := coldFleet(t, 3, 1)
		_, ok := f.serve(t, "r0", "warm")
		require.True(t, ok)
		time.Sleep(2 * time.Second)
		f.turnCold(list, "r0", "r1", "r2")
		served, start := 0, time.Now()
		for i := 0; time.Since(start) < time.Second; i++ {
			asked := time.Now()
			g, ok := f.serve(t, "r"+strconv.Itoa(i%3), strconv.Itoa(i))
			if ok {
				served++
				require.True(t, g.Cold)
				require.False(t, g.NotAfter.IsZero())
			} else {
				require.Less(t, time.Since(asked), 100*time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 5, served)
		time.Sleep(3 * time.Second)
		g, ok := f.serve(t, "r0", "later")
		require.True(t, ok)
		require.False(t, g.Cold)
	})
}

// TestOwnerDoesntKnowTheEngineIsCold guards against requests without a bound while the
// news of a start has reached the router that sends but not the owner.
func TestOwnerDoesntKnowTheEngineIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := coldFleet(t, 2, 2)
		g, ok := f.serve(t, "r0", "warm")
		require.True(t, ok)
		owner := g.Owner
		other := map[string]string{"r0": "r1", "r1": "r0"}[owner]
		cold := g.Instance.ID
		for i := range list {
			if list[i].ID != cold {
				list = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		f.turnCold(list, other)
		g, ok = f.serve(t, other, "next")
		require.True(t, ok)
		require.NotEqual(t, cold, g.Instance.ID)
	})
}

// TestNextOwnerKnowsColdEngines guards against a next owner that lets an engine have
// all it can take because only the former owner saw that it was silent.
func TestNextOwnerKnowsColdEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := coldFleet(t, 2, 1)
		g, ok := f.serve(t, "r0", "warm")
		require.True(t, ok)
		other := map[string]string{"r0": "r1", "r1": "r0"}[g.Owner]
		f.turnCold(list, g.Owner)
		time.Sleep(2 * routersInterval)
		require.NotEmpty(t, f.nodes[other].Cold.ColdOf(time.Now(), "model"), "though it asked for nothing")
		f.nodes[g.Owner].stop()
		time.Sleep(time.Second)
		g, ok = f.serve(t, other, "alone")
		require.False(t, ok, "a router that isn't the first of the live ones sends nothing to a cold engine")
		require.NotEqual(t, rwplacement.Granted, g.Verdict)
	})
}

// TestVoidGrant guards against the use of a grant that came too late.
func TestVoidGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := coldFleet(t, 1, 1)
		b := f.nodes["r0"].Broker
		g := Grant{Decision: rwplacement.Decision{Cold: true}, NotAfter: time.Now()}
		require.Nil(t, b.checkCold(g, list[0]))
		time.Sleep(time.Millisecond)
		require.Equal(t, rwcode.GrantExpired, b.checkCold(g, list[0]).Code)
		require.Nil(t, b.checkCold(Grant{}, list[0]))
		f.turnCold(list, "r0")
		require.Equal(t, rwcode.UpstreamLeaving, b.checkCold(Grant{}, list[0]).Code)
	})
}

// TestAnswersTellColdEngines guards against a router that sends to a cold engine as its
// cell's owner, because it isn't one of those that the owner tells.
func TestAnswersTellColdEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := coldFleet(t, 8, 1)
		g, ok := f.serve(t, "r0", "warm")
		require.True(t, ok)
		f.turnCold(list, g.Owner)
		time.Sleep(2 * routersInterval)
		unaware := 0
		for name, n := range f.nodes {
			if n.Cold.ColdOf(time.Now(), "model") == nil {
				unaware++
			}
			f.serve(t, name, name)
			require.NotNil(t, n.Cold.ColdOf(time.Now(), "model"))
		}
		require.Equal(t, 8-1-nextOwners, unaware)
	})
}
