package rwretrybudget

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
)

// Guards against retries that multiply the load while every request fails.
func TestRetriesStayWithinShareAndBurst(t *testing.T) {
	const requests = 1000
	b := New()
	retries := 0
	for range requests {
		b.Deposit()
		for b.Allow(rwcode.UpstreamUnreachable) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, Burst+requests/10)
	require.GreaterOrEqual(t, retries, Burst+requests/10-1)
}

// Guards against an idle time that saves up more than a burst of retries.
func TestBudgetIsCapped(t *testing.T) {
	b := New()
	for range 10000 {
		b.Deposit()
	}
	for range Burst {
		require.True(t, b.Allow(rwcode.UpstreamTruncated))
	}
	require.False(t, b.Allow(rwcode.UpstreamTruncated))
}

// Guards against refusals for lack of budget where nothing was sent, and
// against retries of failures that would only repeat.
func TestCodes(t *testing.T) {
	b := &Budget{}
	require.True(t, b.Allow(rwcode.GrantExpired))
	require.True(t, b.Allow(rwcode.Paused))
	require.False(t, b.Allow(rwcode.UpstreamLeaving))
	full := New()
	for _, c := range []rwcode.Code{
		rwcode.BadRequest, rwcode.DeadlineExceeded, rwcode.CallerGone, rwcode.QueueFull,
		rwcode.OutcomeUnknown, rwcode.HomeUnreachable, rwcode.Internal, rwcode.FenceStale,
	} {
		require.False(t, full.Allow(c), c.String())
	}
}
