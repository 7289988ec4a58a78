package rwshutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a drain that accepts a request which its end may cut, or that
// refuses requests before the load balancer has noticed.
func TestAccepts(t *testing.T) {
	start := time.Now()
	p := New(start, 8*time.Second)
	for _, c := range []struct {
		at, timeout time.Duration
		want        bool
	}{
		{0, 10 * time.Second, true},
		{2 * time.Second, 10 * time.Second, true},
		{2300 * time.Millisecond, 10 * time.Second, true},
		{2600 * time.Millisecond, 10 * time.Second, false},
		{3 * time.Second, 10 * time.Second, false},
		{3 * time.Second, 4500 * time.Millisecond, false},
		{3 * time.Second, 4 * time.Second, true},
		{6500 * time.Millisecond, 600 * time.Millisecond, true},
		{7200 * time.Millisecond, 600 * time.Millisecond, false},
	} {
		now := start.Add(c.at)
		require.Equal(t, c.want, p.Accepts(now, now.Add(c.timeout)), "%+v", c)
	}
}

// Guards against phases of a drain in the wrong order, and against an exit after
// the grace period, whatever its length.
func TestPhasesAreInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(MinGrace), int64(time.Minute)).Draw(t, "grace"))
		p := New(time.Unix(0, 0), grace)
		require.True(t, p.Start().Before(p.AcceptEnd()))
		require.True(t, p.AcceptEnd().Before(p.ListenEnd()))
		require.True(t, p.ListenEnd().Before(p.CancelAt()))
		require.True(t, p.CancelAt().Before(p.End()))
		require.True(t, p.End().Before(p.Start().Add(grace)))
		cancelled := p.CancelAt().Add(time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "late")))
		require.False(t, p.EndAfter(cancelled).Before(p.End()))
		require.True(t, p.EndAfter(cancelled).Before(p.Start().Add(grace)))
	})
}

// Guards against refusals before the load balancer has noticed in two health
// checks that the router stops, if the grace period leaves two seconds for the
// requests that were accepted until then.
func TestAcceptsUntilLoadBalancerNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(4500*time.Millisecond), int64(time.Minute)).Draw(t, "grace"))
		p := New(time.Unix(0, 0), grace)
		accepted := p.AcceptEnd().Sub(p.Start())
		require.GreaterOrEqual(t, accepted, 2400*time.Millisecond)
		require.Less(t, accepted, 3*time.Second, "callers may expect a response to requests from then on")
		require.GreaterOrEqual(t, grace-accepted, 2*time.Second)
	})
}

// Guards against requests that are ended too early in a short grace period: until
// its last sixth, callers may expect the responses of working upstreams.
func TestCancelsOnlyInLastSixth(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		p := New(time.Unix(0, 0), grace)
		require.GreaterOrEqual(t, p.CancelAt().Sub(p.Start()), grace*5/6, "grace period %v", grace)
	}
}

// Guards against a drain that ends as soon as it has cancelled requests late, and
// against one that goes on for so long that the process is killed.
func TestEndAfterLateCancellation(t *testing.T) {
	const grace = 8 * time.Second
	p := New(time.Unix(0, 0), grace)
	for _, c := range []struct{ cancelled, end time.Duration }{
		{7400 * time.Millisecond, 7600 * time.Millisecond},
		{7500 * time.Millisecond, 7700 * time.Millisecond},
		{7600 * time.Millisecond, 7800 * time.Millisecond},
		{7700 * time.Millisecond, 7800 * time.Millisecond},
		{7900 * time.Millisecond, 7800 * time.Millisecond},
	} {
		require.Equal(t, c.end, p.EndAfter(p.Start().Add(c.cancelled)).Sub(p.Start()), "%+v", c)
	}
}
