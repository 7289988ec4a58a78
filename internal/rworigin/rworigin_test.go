package rworigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against origins that are forgotten while callers may take their streams
// up, and against a table that grows for ever.
func TestOriginsAreKept(t *testing.T) {
	table := New()
	v1, v2 := Origin{Service: "s", Software: "v1"}, Origin{Service: "s", Software: "v2"}
	table.Add(at(0), "a", v1)
	table.Add(at(originTTL/2), "b", v2)
	for _, d := range []time.Duration{originTTL / 2, originTTL, originTTL + time.Second} {
		got, ok := table.Find(at(d), "a")
		require.True(t, ok, d)
		require.Equal(t, v1, got)
		got, ok = table.Find(at(d), "b")
		require.True(t, ok, d)
		require.Equal(t, v2, got)
	}
	_, ok := table.Find(at(0), "c")
	require.False(t, ok)
	_, ok = table.Find(at(3*originTTL), "a")
	require.False(t, ok)
}

// Guards against a flood of streams that exhausts the memory, or that evicts the
// streams that began last.
func TestOriginsAreBounded(t *testing.T) {
	table := New()
	const streams = 3 * maxOrigins
	for i := range streams {
		table.Add(at(time.Duration(i)), fmt.Sprint(i), Origin{Service: "s", Software: "v1"})
	}
	require.LessOrEqual(t, len(table.recent)+len(table.older), 2*maxOrigins)
	_, ok := table.Find(at(streams), fmt.Sprint(streams-maxOrigins))
	require.True(t, ok)
}

// Guards against a fleet whose routers are replaced one after the other and that
// forgets which versions served while streams began.
func TestInherit(t *testing.T) {
	const window = 10 * time.Second
	table := New()
	table.Observe(at(0), []rwinstance.Instance{{Service: "s", Software: "v2"}})
	require.Equal(t, []string{"s"}, table.Young(at(1), window))
	table.Inherit(at(1), "s", []string{"v1", "v2"}, window)
	require.Empty(t, table.Young(at(1), window))
	software, whole, _ := table.Seen(at(1), "s", window)
	require.ElementsMatch(t, []string{"v1", "v2"}, software)
	require.True(t, whole)
	table.Observe(at(window+2), []rwinstance.Instance{{Service: "s", Software: "v2"}})
	require.False(t, table.Mixed(at(window+2), "s", window))
}

// Guards against a version that is taken for the only one although streams may
// have begun at another, or although the table hasn't watched for long enough.
func TestMixed(t *testing.T) {
	const window = 10 * time.Second
	v1, v2 := rwinstance.Instance{Service: "s", Software: "v1"}, rwinstance.Instance{Service: "s", Software: "v2"}
	table := New()
	require.True(t, table.Mixed(at(0), "s", window), "nothing is known")
	table.Observe(at(0), []rwinstance.Instance{v1})
	require.True(t, table.Mixed(at(window-1), "s", window), "not watched for a whole window")
	table.Observe(at(window), []rwinstance.Instance{v1})
	require.False(t, table.Mixed(at(window), "s", window))
	table.Observe(at(window), []rwinstance.Instance{v2, {Service: "t", Software: "v3"}})
	require.True(t, table.Mixed(at(window), "s", window))
	table.Observe(at(2*window), []rwinstance.Instance{v2})
	require.True(t, table.Mixed(at(2*window), "s", window), "streams of v1 may still run")
	table.Observe(at(3*window), []rwinstance.Instance{v2})
	require.False(t, table.Mixed(at(3*window), "s", window))
	table.Interrupt(at(3 * window))
	require.True(t, table.Mixed(at(3*window), "s", window), "a version may have come and gone unseen")
	require.False(t, table.Mixed(at(4*window), "s", window))
	software, whole, current := table.Seen(at(4*window), "s", window)
	require.Equal(t, []string{"v2"}, software)
	require.True(t, whole)
	require.False(t, current, "the store was never read")
	table.MarkCurrent(at(4 * window))
	for age, want := range map[time.Duration]bool{currentTime: true, currentTime + 1: false} {
		_, _, current = table.Seen(at(4*window+age), "s", window)
		require.Equal(t, want, current, age)
	}
}

// upstream returns the instance u of service s.
func upstream(software string, startMillis int64) rwinstance.Instance {
	return rwinstance.Instance{ID: "u", Service: "s", Software: software, StartMillis: startMillis}
}

func originAt(in rwinstance.Instance) Origin {
	return Origin{Service: in.Service, Software: in.Software, Upstream: in.ID, StartMillis: in.StartMillis}
}

// Guards against streams that go on at the version that their upstream had before it
// started again, at which they may not have begun; and against refusals of streams
// whose upstream came back with its version, or that began after the news of it.
func TestUncertain(t *testing.T) {
	type state = rwinstance.Instance
	for name, c := range map[string]struct {
		seen   []state
		origin state
		want   bool
	}{
		"no restart":                    {[]state{upstream("v1", 1)}, upstream("v1", 1), false},
		"upstream is not known":         {nil, upstream("v1", 1), false},
		"another version":               {[]state{upstream("v1", 1), upstream("v2", 2)}, upstream("v1", 1), true},
		"began after the news":          {[]state{upstream("v1", 1), upstream("v2", 2)}, upstream("v2", 2), false},
		"same version":                  {[]state{upstream("v1", 1), upstream("v1", 2)}, upstream("v1", 1), false},
		"same version twice":            {[]state{upstream("v1", 1), upstream("v1", 2), upstream("v1", 3)}, upstream("v1", 2), false},
		"other version between":         {[]state{upstream("v1", 1), upstream("v2", 2), upstream("v1", 3)}, upstream("v1", 1), true},
		"began after the way back":      {[]state{upstream("v1", 1), upstream("v2", 2), upstream("v1", 3)}, upstream("v1", 3), false},
		"restart after the way back":    {[]state{upstream("v1", 1), upstream("v2", 2), upstream("v2", 3)}, upstream("v2", 2), false},
		"clock of the server went back": {[]state{upstream("v1", 9), upstream("v2", 2)}, upstream("v1", 9), true},
		"no start is stated":            {[]state{upstream("v1", 0), upstream("v2", 0)}, upstream("v1", 0), true},
		"no start, began after":         {[]state{upstream("v1", 0), upstream("v2", 0)}, upstream("v2", 0), false},
		"version without a new start":   {[]state{upstream("v1", 1), upstream("v2", 1)}, upstream("v1", 1), true},
		"router started after it":       {[]state{upstream("v2", 2)}, upstream("v1", 1), true},
		"started after, same version":   {[]state{upstream("v1", 2)}, upstream("v1", 1), false},
		"router lacks the news":         {[]state{upstream("v1", 1)}, upstream("v2", 2), true},
		"older router, no upstream":     {[]state{upstream("v1", 1), upstream("v2", 2)}, state{Service: "s", Software: "v1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			for i, in := range c.seen {
				table.Observe(at(time.Duration(i)), []rwinstance.Instance{in, in})
			}
			// An origin from another router may arrive after the news.
			table.Add(at(time.Second), "a", originAt(c.origin))
			require.Equal(t, c.want, table.UncertainStream(at(time.Second), "a"))
			require.False(t, table.UncertainStream(at(time.Second), "b"))
		})
	}
}

// Guards against a restart that is forgotten while origins of the incarnation before
// are kept, and against upstreams that are kept for ever.
func TestRestartsAreKept(t *testing.T) {
	table := New()
	v1, v2 := upstream("v1", 1), upstream("v2", 2)
	table.Observe(at(0), []rwinstance.Instance{v1})
	table.Observe(at(time.Hour), []rwinstance.Instance{v2})
	// The upstream is removed, but others are seen.
	for d := time.Duration(0); d <= restartTTL; d += time.Second {
		table.Observe(at(time.Hour+d), []rwinstance.Instance{{ID: "other", Service: "s", Software: "v1"}})
		require.True(t, table.Uncertain(originAt(v1)), d)
	}
	table.Observe(at(time.Hour+2*restartTTL+time.Second), nil)
	require.Empty(t, table.incarnations)
	for i := range 5 * maxRestarts {
		table.Observe(at(2*time.Hour), []rwinstance.Instance{upstream("v1", int64(i))})
	}
	require.Len(t, table.incarnations["u"], maxRestarts)
}

// Guards against a record that loses its upstream to a message of an older release,
// which names none.
func TestUpstreamOfARecord(t *testing.T) {
	table := New()
	first, unnamed := originAt(upstream("v1", 1)), Origin{Service: "s", Software: "v1"}
	requireFound := func(want Origin) {
		t.Helper()
		got, ok := table.Find(at(0), "a")
		require.True(t, ok)
		require.Equal(t, want, got)
	}
	table.Add(at(0), "a", first)
	table.Add(at(0), "a", unnamed)
	requireFound(first)
	table.Add(at(0), "a", Origin{Service: "s", Software: "v2"})
	requireFound(Origin{Service: "s", Software: "v2"})
}
