package rwcoldmeter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestSplit(t *testing.T) {
	for _, c := range []struct {
		bound         float64
		senders, each int
	}{{15.2, 3, 5}, {3, 3, 1}, {2.9, 2, 1}, {1, 1, 1}, {0.9, 0, 0}, {-1, 0, 0}} {
		senders, each := Split(c.bound)
		require.Equal(t, []int{c.senders, c.each}, []int{senders, each}, "%v", c.bound)
		require.LessOrEqual(t, float64(senders*each), max(c.bound, 0))
	}
}

// TestAnySecond guards against more arrivals in a second than a router's part, when
// its grants are used at any moment of their validity.
func TestAnySecond(t *testing.T) {
	const each = 5
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := New()
		var arrivals []time.Duration
		for at := time.Duration(0); at < 20*time.Second; at += time.Duration(rng.IntN(20)) * time.Millisecond {
			if now := start.Add(at); m.Room(now, "a", "", each) {
				m.Take(now, "a", "")
				arrivals = append(arrivals, at+time.Duration(rng.Int64N(int64(Validity+transit))))
			}
		}
		require.Greater(t, len(arrivals), 50)
		slices.Sort(arrivals)
		for i := range arrivals[each:] {
			require.GreaterOrEqual(t, arrivals[i+each]-arrivals[i], time.Second)
		}
	}
}

// TestUnknownUpstream guards against the requests that a former owner let go just
// before this router became the owner.
func TestUnknownUpstream(t *testing.T) {
	m := New()
	require.False(t, m.Room(start, "a", "", 5))
	require.False(t, m.Room(start.Add(Window-1), "a", "", 5))
	require.True(t, m.Room(start.Add(Window), "a", "", 5))
	require.True(t, m.Free(start, "b", 1))
	m.Take(start, "b", "")
	require.False(t, m.Free(start, "b", 1))
}

// TestWarmRequestsCount guards against an upstream that turns cold just after it got
// many requests.
func TestWarmRequestsCount(t *testing.T) {
	m := New()
	for range 10 {
		m.Take(start, "a", "x")
	}
	require.Equal(t, 10, m.Used(start.Add(Window-1), "a"))
	require.False(t, m.Room(start.Add(Window-1), "a", "y", 5))
	require.True(t, m.Room(start.Add(Window), "a", "y", 5))
	require.Zero(t, m.Used(start.Add(Window), "a"))
}

// TestAccounts guards against one account that takes all of a cold upstream.
func TestAccounts(t *testing.T) {
	m := New()
	m.Room(start, "a", "", 5)
	now := start.Add(Window)
	for range 3 {
		require.True(t, m.Room(now, "a", "x", 5))
		m.Take(now, "a", "x")
	}
	require.False(t, m.Room(now, "a", "x", 5))
	require.True(t, m.Room(now, "a", "y", 5))
}
