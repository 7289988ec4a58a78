package rwpicker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
)

var start = time.Unix(1000, 0)

func never(string) bool { return false }

func list() []rwinstance.Instance {
	return []rwinstance.Instance{
		{ID: "a", Zone: "za", Slots: 6}, {ID: "b", Zone: "zb", Slots: 6}, {ID: "c", Zone: "zc", Slots: 6},
	}
}

// sendAll sends n requests 50 ms apart, one at a time, and returns how many each
// upstream got. The function decides how a request on an upstream ends.
func sendAll(p *Picker, n int, send func(id string) (rwplacement.End, time.Duration)) map[string]int {
	out := map[string]int{}
	for i := range n {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		in, ok := p.Pick(now, list(), never)
		if !ok {
			continue
		}
		out[in.ID]++
		end, took := send(in.ID)
		p.Done(now.Add(took), in.ID, end, took)
	}
	return out
}

// Guards against needless traffic between zones, and against overloading the
// upstream of the router's zone while others are idle.
func TestOwnZoneFirstUntilItIsLoaded(t *testing.T) {
	p := New("za")
	got := sendAll(p, 50, func(string) (rwplacement.End, time.Duration) { return rwplacement.Served, 30 * time.Millisecond })
	require.GreaterOrEqual(t, got["a"], 47, "the others get one request each to learn their latency")
	for range 6 {
		p.Pick(start.Add(time.Minute), list(), never)
	}
	require.Positive(t, p.stats["b"].active+p.stats["c"].active)
}

// Guards against an upstream that fails requests while its health checks pass,
// and against never trying it again.
func TestFailingUpstreamGetsFewRequests(t *testing.T) {
	p := New("za")
	got := sendAll(p, 200, func(id string) (rwplacement.End, time.Duration) {
		if id == "a" {
			return rwplacement.Failed, 10 * time.Millisecond
		}
		return rwplacement.Served, 30 * time.Millisecond
	})
	require.Less(t, got["a"], 40)
	require.Greater(t, got["a"], 2)
}

// Guards against a slow upstream that keeps its share of the requests.
func TestSlowUpstreamGetsFewRequests(t *testing.T) {
	p := New("za")
	got := sendAll(p, 200, func(id string) (rwplacement.End, time.Duration) {
		if id == "a" {
			return rwplacement.Served, 300 * time.Millisecond
		}
		return rwplacement.Served, 30 * time.Millisecond
	})
	require.Less(t, got["a"], 120)
}

// Guards against refusing a request because the only upstream left was
// unreachable a moment ago.
func TestLastResort(t *testing.T) {
	p := New("za")
	for _, in := range list() {
		p.Pick(start, list(), func(id string) bool { return id != in.ID })
		p.Done(start, in.ID, rwplacement.Unreachable, 0)
	}
	_, ok := p.Pick(start, list(), never)
	require.True(t, ok)
	_, ok = p.Pick(start, list(), func(string) bool { return true })
	require.False(t, ok)
}
