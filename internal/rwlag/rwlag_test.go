package rwlag

import (
	"math"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a lagging router that keeps accepting requests, and against
// one that refuses long after it has caught up.
func TestLagging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		go func() { _ = m.Run(t.Context()) }()
		time.Sleep(time.Second)
		require.False(t, m.Lagging())
		m.record(time.Now(), time.Now().Add(-Threshold+time.Millisecond))
		require.False(t, m.Lagging())
		m.record(time.Now(), time.Now().Add(-Threshold))
		require.True(t, m.Lagging())
		time.Sleep(lagHold + time.Millisecond)
		require.False(t, m.Lagging())
	})
}

// Guards against a saturated machine that looks idle because its timers run
// first: waiting goroutines count too.
func TestWaitingGoroutinesCount(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	latencies := newSchedLatencies()
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			for start := time.Now(); time.Since(start) < 500*time.Microsecond; {
				continue
			}
		})
	}
	group.Wait()
	require.Greater(t, latencies.percentile90(), 10*time.Millisecond, "the last goroutines waited for 100 ms")
}

// Guards against computing the percentile from the wrong end.
func TestBucketPercentile90(t *testing.T) {
	buckets := []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}
	require.Zero(t, bucketPercentile90([]uint64{0, 0, 0, 0}, buckets, 0))
	require.Zero(t, bucketPercentile90([]uint64{95, 0, 5, 0}, buckets, 100))
	require.Equal(t, 10*time.Millisecond, bucketPercentile90([]uint64{85, 0, 15, 0}, buckets, 100))
	require.Equal(t, time.Millisecond, bucketPercentile90([]uint64{10, 85, 5, 0}, buckets, 100))
}
