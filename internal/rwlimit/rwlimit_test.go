package rwlimit

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against more units in use than the limit, and against units that stay in
// use after a failed TryAcquire.
func TestLimitHolds(t *testing.T) {
	const limit, workers = 8, 64
	l := New(limit)
	var taken sync.WaitGroup
	got := make(chan bool, workers)
	for range workers {
		taken.Go(func() { got <- l.TryAcquire(1) })
	}
	taken.Wait()
	close(got)
	n := int64(0)
	for ok := range got {
		if ok {
			n++
		}
	}
	// A TryAcquire that is about to fail may make another one fail too, but never
	// allows more than the limit.
	require.LessOrEqual(t, n, int64(limit))
	require.Equal(t, n, l.InUse())
	l.Release(n)
	require.False(t, l.TryAcquire(limit+1))
	require.Zero(t, l.InUse())
	require.True(t, l.TryAcquire(limit))
	require.False(t, l.TryAcquire(1))
}
