package rwcoldroster

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwidentity"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// fleet returns routers named by their score.
func fleet(n int) []rwidentity.Identity {
	var out []rwidentity.Identity
	for i := range n {
		out = append(out, rwidentity.Identity{Name: strconv.Itoa(i)})
	}
	return out
}

func score(id rwidentity.Identity) float64 {
	n, _ := strconv.Atoi(id.Name)
	return float64(n)
}

// settled returns the roster of a router that has known the live routers for long.
func settled(self string, live []rwidentity.Identity) *Roster {
	r := New(self, true)
	for ms := 0; ms <= 3000; ms += 200 {
		r.Observe(at(ms), live)
	}
	return r
}

// TestCutFleet guards against more senders than three when the fleet is cut into parts
// or every router is alone.
func TestCutFleet(t *testing.T) {
	for _, parts := range []int{1, 2, 3, 83} {
		all, senders, first := fleet(83), 0, 0
		for _, id := range all {
			r := settled(id.Name, all)
			var part []rwidentity.Identity
			for _, other := range all {
				if int(score(other))%parts == int(score(id))%parts {
					part = append(part, other)
				}
			}
			r.Observe(at(3200), part)
			if r.Ranks(at(3200), 3, score) {
				senders++
			}
			if r.FirstLive(at(3200), 3, score) {
				first++
			}
		}
		require.Equal(t, 3, senders, "%d parts", parts)
		require.Equal(t, min(parts, 3), first, "%d parts", parts)
	}
}

// TestOwnerLost guards against a cold upstream that gets nothing after the loss of the
// first router.
func TestOwnerLost(t *testing.T) {
	all := fleet(5)
	r := settled("3", all)
	require.False(t, r.FirstLive(at(3000), 3, score))
	r.Observe(at(3200), all[:4])
	require.True(t, r.FirstLive(at(3200), 3, score))
}

// TestCarefulAtStart guards against a router that takes itself for the first because
// it knows no others yet, or doesn't know what happened during a pause.
func TestCarefulAtStart(t *testing.T) {
	r := New("4", true)
	require.False(t, r.Ranks(at(0), 3, score))
	for ms := 0; ms < 2000; ms += 200 {
		r.Observe(at(ms), fleet(5))
		require.False(t, r.FirstLive(at(ms), 3, score))
	}
	r.Observe(at(2000), fleet(5))
	require.True(t, r.FirstLive(at(2000), 3, score))
	r.Observe(at(3000), fleet(5))
	require.False(t, r.FirstLive(at(3000), 3, score), "after a pause")

	alone := settled("4", fleet(5)[4:])
	require.False(t, alone.FirstLive(at(3000), 3, score), "its settings name others")
	single := New("0", false)
	for ms := 0; ms <= 3000; ms += 200 {
		single.Observe(at(ms), fleet(1))
	}
	require.True(t, single.FirstLive(at(3000), 3, score))
}

// TestDecisionBeforeTheFirstLookAfterAPause guards against a router that lets a request
// go right after a pause, since the part that looks at the live routers runs later than
// the one that decides.
func TestDecisionBeforeTheFirstLookAfterAPause(t *testing.T) {
	r := settled("4", fleet(5))
	require.True(t, r.FirstLive(at(3200), 3, score))
	require.True(t, r.Settled(at(3200)))
	require.False(t, r.FirstLive(at(6000), 3, score))
	require.False(t, r.Ranks(at(6000), 3, score))
	require.False(t, r.Settled(at(6000)))
}

// TestSuspendedRouter guards against a router that lets requests go as soon as it wakes
// from a suspension during which the steady clock stood still.
func TestSuspendedRouter(t *testing.T) {
	live := fleet(5)
	r := settled("4", live)
	require.True(t, r.FirstLive(at(3100), 3, score))
	r.Interrupt(at(3100))
	for ms := 3200; ms < 5000; ms += 200 {
		r.Observe(at(ms), live)
		require.False(t, r.FirstLive(at(ms), 3, score), "at %d", ms)
	}
	r.Observe(at(5100), live)
	require.True(t, r.FirstLive(at(5100), 3, score))
}
