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
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	table.Add(at(0), "a", v1)
	table.Add(at(originTTL/2), "b", v2)
	for _, d := range []time.Duration{originTTL / 2, originTTL, originTTL + time.Second} {
		got, begun, ok := table.Find(at(d), "a")
		require.True(t, ok, d)
		require.True(t, begun)
		require.Equal(t, v1, got)
		got, begun, ok = table.Find(at(d), "b")
		require.True(t, ok, d)
		require.True(t, begun)
		require.Equal(t, v2, got)
	}
	_, _, ok := table.Find(at(0), "c")
	require.False(t, ok)
	_, _, ok = table.Find(at(3*originTTL), "a")
	require.False(t, ok)
}

// Guards against a grant that replaces the origin of a stream that has begun or
// another grant that may have been used, and against grants that keep a stream from
// being recorded where it begins.
func TestGrantsYieldToStreams(t *testing.T) {
	table := New()
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	requireFound := func(d time.Duration, want Origin, wantBegun bool) {
		t.Helper()
		got, begun, ok := table.Find(at(d), "a")
		require.True(t, ok)
		require.Equal(t, want, got)
		require.Equal(t, wantBegun, begun)
	}
	table.AddGrant(at(0), "a", v1)
	requireFound(0, v1, false)
	table.AddGrant(at(1), "a", v2)
	requireFound(1, Origin{Service: "s"}, false)
	table.AddGrant(at(1), "a", v2)
	requireFound(1, Origin{Service: "s"}, false)
	table.Add(at(2), "a", v1)
	requireFound(2, v1, true)
	table.AddGrant(at(originTTL+3), "a", v2)
	requireFound(originTTL+3, v1, true)
	requireFound(2*originTTL, v1, true)
}

// Guards against a flood of streams that exhausts the memory, or that evicts the
// streams that began last.
func TestOriginsAreBounded(t *testing.T) {
	table := New()
	const streams = 3 * maxOrigins
	for i := range streams {
		table.Add(at(time.Duration(i)), fmt.Sprint(i), Origin{"s", "v1"})
	}
	require.LessOrEqual(t, len(table.recent)+len(table.older), 2*maxOrigins)
	_, _, ok := table.Find(at(streams), fmt.Sprint(streams-maxOrigins))
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
