package rwfault

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwoutcome"
)

// Guards against a deadline that is reported as a disconnected caller, and the
// reverse.
func TestFromContext(t *testing.T) {
	require.Nil(t, FromContext(t.Context()))

	ctx, stop := context.WithCancel(t.Context())
	stop()
	require.Equal(t, rwcode.CallerGone, FromContext(ctx).Code)

	ctx, stop = context.WithTimeout(t.Context(), 0)
	defer stop()
	require.Equal(t, rwcode.DeadlineExceeded, FromContext(ctx).Code)

	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(New(rwcode.UpstreamTimeout, "u").WithOutcome(rwoutcome.Unknown))
	require.Equal(t, rwcode.UpstreamTimeout, FromContext(ctx).Code)
	require.Equal(t, rwoutcome.Unknown, FromContext(ctx).Outcome)
}

// Guards against a With method that changes the original fault.
func TestFaultsAreImmutable(t *testing.T) {
	f := New(rwcode.QueueFull, "a")
	_ = f.WithOutcome(rwoutcome.Ran).WithDetail("b").WithRetryAfter(1)
	require.Equal(t, New(rwcode.QueueFull, "a"), f)
}
