package rwdemand_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwdemand"
	"redwingworks.example/internal/rwqueue"
)

var (
	start = time.Unix(1000, 0)
	key   = rwqueue.FlowKey{Account: "a", Kind: "x"}
)

func never(string) bool { return false }

func cells(n int, owner string) []rwdemand.Target {
	var out []rwdemand.Target
	for i := range n {
		out = append(out, rwdemand.Target{Name: fmt.Sprint("c", i), Pools: []string{"m"}, Owner: owner, SameZone: i == 0})
	}
	return out
}

// apply gives the messages that are due to the owners' belief.
func apply(d *rwdemand.Demand, now time.Time, belief map[string]int) (messages int) {
	due, synced := d.Due(now, never)
	for _, name := range synced {
		delete(belief, name)
	}
	for name, m := range due {
		for _, l := range m.Backlogs {
			belief[name] = l.Count
		}
	}
	return len(due)
}

// Guards against work that only its own zone hears of, and against other zones
// that are asked at once.
func TestNearFirstThenAll(t *testing.T) {
	d, belief := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(3, "o"))
	apply(d, start, belief)
	d.SetFlow(start, key, "m", 1, 0)
	apply(d, start, belief)
	require.Equal(t, map[string]int{"c0": 1}, belief)
	require.False(t, d.NextDue().IsZero())
	apply(d, d.NextDue(), belief)
	require.Equal(t, map[string]int{"c0": 1, "c1": 1, "c2": 1}, belief)
}

// Guards against a flood that adds messages: with a level over the cap, more
// arrivals send nothing.
func TestFloodSendsNothing(t *testing.T) {
	d, belief := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(3, "o"))
	d.SetFlow(start, key, "m", 100, 0)
	now := start.Add(time.Second)
	apply(d, now, belief)
	for n := range 1000 {
		now = now.Add(time.Millisecond)
		d.SetFlow(now, key, "m", 101+n, 0)
		require.Zero(t, apply(d, now, belief), "arrival %d", n)
	}
}

// Guards against entries that reach less than half of the cells of a pool.
func TestDrawsHalfOfManyCells(t *testing.T) {
	d, belief := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(12, "o"))
	d.SetFlow(start, key, "m", 5, 0)
	apply(d, start.Add(time.Second), belief)
	require.Len(t, belief, 6)
}

// Guards against a new owner that isn't told the levels.
func TestNewOwnerIsTold(t *testing.T) {
	d, belief := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(1, "o"))
	d.SetFlow(start, key, "m", 5, 0)
	apply(d, start, belief)
	d.SetCells(cells(1, "other"))
	clear(belief)
	apply(d, start, belief)
	require.Equal(t, map[string]int{"c0": 5}, belief)
}

// Guards against work that waits while each owner believes that there is
// none, and against levels that are left over: whatever happens, after the
// longest delay an owner believes in work if and only if there is some.
func TestBeliefFollowsWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, belief := rwdemand.New(1), map[string]int{}
		d.SetCells(cells(3, "o"))
		now, count := start, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrival") {
				count += rapid.IntRange(1, 10).Draw(t, "arrivals")
			} else if name := rapid.SampledFrom([]string{"c0", "c1", "c2"}).Draw(t, "cell"); belief[name] > 0 {
				belief[name]--
				count = max(count-1, 0)
				d.Granted(name, key)
			}
			d.SetFlow(now, key, "m", count, 0)
			apply(d, now, belief)
		}
		apply(d, now.Add(time.Second), belief)
		for name, n := range belief {
			require.Equal(t, count > 0, n > 0, "%s: %d waiting, owner believes %d", name, count, n)
		}
		if count > 0 {
			require.Len(t, belief, 3)
		}
	})
}
