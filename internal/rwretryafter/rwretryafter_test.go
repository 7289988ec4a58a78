package rwretryafter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// Guards against requests to an upstream before the end of the time that it asked
// for, and against a time that never ends.
func TestTimeLeft(t *testing.T) {
	table := New()
	require.Zero(t, table.Left(start, "a", 1))
	table.Add(start, "a", 1, 3*time.Second)
	require.Equal(t, 3*time.Second, table.Left(start, "a", 1))
	require.Equal(t, time.Second, table.Left(start.Add(2*time.Second), "a", 1))
	require.Zero(t, table.Left(start.Add(3*time.Second), "a", 1))
	require.Zero(t, table.Left(start, "b", 1))

	// A later response with a shorter time doesn't take the longer one back.
	table.Add(start.Add(time.Second), "a", 1, 500*time.Millisecond)
	require.Equal(t, 2*time.Second, table.Left(start.Add(time.Second), "a", 1))

	// Times without sense are bounded.
	table.Add(start, "c", 1, 1000*time.Hour)
	require.Equal(t, MaxDelay, table.Left(start, "c", 1))
	table.Add(start, "d", 1, -time.Second)
	require.Zero(t, table.Left(start, "d", 1))
}

// Guards against an upstream that gets no requests because its former incarnation
// wanted none, and against news of a former incarnation that clears the time.
func TestNewIncarnation(t *testing.T) {
	table := New()
	table.Add(start, "a", 1, 3*time.Second)
	require.Zero(t, table.Left(start, "a", 2))
	table.Add(start, "a", 2, time.Second)
	require.Equal(t, time.Second, table.Left(start, "a", 2))
	table.Add(start, "a", 1, 3*time.Second)
	require.Equal(t, time.Second, table.Left(start, "a", 2))
}

// Guards against a table that grows without bound: the times that end soonest yield.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 3 * maxUpstreams {
		table.Add(start, fmt.Sprint("u", i), 1, time.Second+time.Duration(i)*time.Millisecond)
	}
	require.Len(t, table.until, maxUpstreams)
	require.Positive(t, table.Left(start, fmt.Sprint("u", 3*maxUpstreams-1), 1))
	require.Zero(t, table.Left(start, "u0", 1))
	// Those that have ended are removed first.
	table.Add(start.Add(time.Hour), "last", 1, time.Second)
	require.Len(t, table.until, 1)
}

// Guards against a field without sense that counts as a time, and against one that
// doesn't fit a Duration.
func TestParse(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e300": 24 * time.Hour, "+Inf": 24 * time.Hour,
		"": 0, "-1": 0, "0": 0, "NaN": 0, "soon": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		require.Equal(t, want, Parse(text), text)
	}
}
