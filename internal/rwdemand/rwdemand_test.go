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

// apply updates the counts that the owners hold with the messages that are due.
func apply(d *rwdemand.Demand, now time.Time, known map[string]int) (messages int) {
	due, synced := d.Due(now, never)
	for _, name := range synced {
		delete(known, name)
	}
	for name, m := range due {
		for _, l := range m.Backlogs {
			known[name] = l.Count
		}
	}
	return len(due)
}

// Guards against a backlog that is never reported to other zones, and against
// one that is reported to them at once.
func TestOwnZoneFirstThenAll(t *testing.T) {
	d, known := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(3, "o"))
	apply(d, start, known)
	d.SetFlow(start, key, "m", 1, 0)
	apply(d, start, known)
	require.Equal(t, map[string]int{"c0": 1}, known)
	require.False(t, d.NextDue().IsZero())
	apply(d, d.NextDue(), known)
	require.Equal(t, map[string]int{"c0": 1, "c1": 1, "c2": 1}, known)
}

// Guards against messages about arrivals beyond MaxDeclared.
func TestArrivalsBeyondMaxDeclaredSendNothing(t *testing.T) {
	d, known := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(3, "o"))
	d.SetFlow(start, key, "m", 100, 0)
	now := start.Add(time.Second)
	apply(d, now, known)
	for n := range 1000 {
		now = now.Add(time.Millisecond)
		d.SetFlow(now, key, "m", 101+n, 0)
		require.Zero(t, apply(d, now, known), "arrival %d", n)
	}
}

// Guards against a sample of less than half of the cells of a pool.
func TestSamplesHalfOfManyCells(t *testing.T) {
	d, known := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(12, "o"))
	d.SetFlow(start, key, "m", 5, 0)
	apply(d, start.Add(time.Second), known)
	require.Len(t, known, 6)
}

// Guards against a new owner that doesn't receive the backlogs.
func TestNewOwnerReceivesBacklogs(t *testing.T) {
	d, known := rwdemand.New(1), map[string]int{}
	d.SetCells(cells(1, "o"))
	d.SetFlow(start, key, "m", 5, 0)
	apply(d, start, known)
	d.SetCells(cells(1, "other"))
	clear(known)
	apply(d, start, known)
	require.Equal(t, map[string]int{"c0": 5}, known)
}

// Guards against waiting requests that are reported to no owner, and against
// owners that hold a backlog after it became empty: after any sequence of
// arrivals and grants and the longest delay, the count that an owner holds is
// positive if and only if requests wait.
func TestOwnersHoldCountsOnlyWhileRequestsWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, known := rwdemand.New(1), map[string]int{}
		d.SetCells(cells(3, "o"))
		now, count := start, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrival") {
				count += rapid.IntRange(1, 10).Draw(t, "arrivals")
			} else if name := rapid.SampledFrom([]string{"c0", "c1", "c2"}).Draw(t, "cell"); known[name] > 0 {
				known[name]--
				count = max(count-1, 0)
				d.Granted(name, key)
			}
			d.SetFlow(now, key, "m", count, 0)
			apply(d, now, known)
		}
		apply(d, now.Add(time.Second), known)
		for name, n := range known {
			require.Equal(t, count > 0, n > 0, "%s: %d waiting, the owner holds %d", name, count, n)
		}
		if count > 0 {
			require.Len(t, known, 3)
		}
	})
}
