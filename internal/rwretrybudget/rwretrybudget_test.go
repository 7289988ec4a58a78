package rwretrybudget

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
)

// Guards against retries that multiply the load while every request fails.
func TestRetriesStayWithinRateAndBurst(t *testing.T) {
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

// Guards against a budget that grows beyond Burst while nothing fails.
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

// Guards against an empty budget that forbids retries of requests that were not
// sent, and against retries of failures that would occur again.
func TestAllowByCode(t *testing.T) {
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
