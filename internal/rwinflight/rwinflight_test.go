package rwinflight

import (
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a list that omits the latest requests, exceeds its limit, holds
// requests that have ended or states an old upstream, and against a total that
// counts only the listed ones.
func TestLatest(t *testing.T) {
	var table Table
	latest, total := table.Latest(2)
	require.Empty(t, latest)
	require.Zero(t, total)
	keys := map[string]uint64{}
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		keys[id] = table.Add(Request{ID: id})
	}
	table.Update(keys["r3"], func(r *Request) { r.Upstream = "a" })
	table.Remove(keys["r2"])
	table.Update(keys["r2"], func(r *Request) { r.Upstream = "a" })
	latest, total = table.Latest(2)
	require.Equal(t, []Request{{ID: "r4"}, {ID: "r3", Upstream: "a"}}, latest)
	require.Equal(t, 3, total)
	latest, total = table.Latest(20)
	require.Equal(t, []Request{{ID: "r4"}, {ID: "r3", Upstream: "a"}, {ID: "r1"}}, latest)
	require.Equal(t, 3, total)
}

// Guards against requests that are counted twice, or not at all because they were
// added after a report or weren't listed in it.
func TestLatestUnreported(t *testing.T) {
	var table Table
	latest, total := table.LatestUnreported(2)
	require.Empty(t, latest)
	require.Zero(t, total)
	for _, id := range []string{"r1", "r2", "r3"} {
		table.Add(Request{ID: id})
	}
	latest, total = table.LatestUnreported(2)
	require.Equal(t, []Request{{ID: "r3"}, {ID: "r2"}}, latest)
	require.Equal(t, 3, total)
	latest, total = table.LatestUnreported(2)
	require.Empty(t, latest)
	require.Zero(t, total)
	table.Remove(table.Add(Request{ID: "r4"}))
	table.Add(Request{ID: "r5"})
	latest, total = table.LatestUnreported(2)
	require.Equal(t, []Request{{ID: "r5"}}, latest)
	require.Equal(t, 1, total)
	_, total = table.Latest(0)
	require.Equal(t, 4, total)
}

// Guards against data races between requests and a shutdown that lists them, and
// against requests that stay in the table after their end.
func TestConcurrentUse(t *testing.T) {
	var (
		table Table
		wg    sync.WaitGroup
	)
	for i := range 50 {
		wg.Go(func() {
			key := table.Add(Request{ID: strconv.Itoa(i)})
			defer table.Remove(key)
			table.Update(key, func(r *Request) { r.Sent++ })
			latest, total := table.Latest(5)
			if len(latest) > 5 || total < 1 {
				t.Errorf("%d of %d requests listed", len(latest), total)
			}
		})
	}
	wg.Wait()
	_, total := table.Latest(0)
	require.Zero(t, total)
}
