package rwbackoff_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbackoff"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a burst of failures that counts as many. After one restart of
// the upstream, the back-off would last for seconds.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	var b rwbackoff.Backoff
	for i := range 50 {
		b.Failed(at(10+i), at(0), false)
	}
	require.False(t, b.Allows(at(109)))
	require.True(t, b.Allows(at(110)))
}

// Guards against more than one trial, a delay that doesn't double or has no
// bound, and a back-off that doesn't end when the trial reaches the upstream.
func TestDelayDoublesAndOneTrialDecides(t *testing.T) {
	var b rwbackoff.Backoff
	now := at(0)
	b.Failed(now, now, false)
	for _, ms := range []int{100, 200, 400, 800, 1600, 3200, 3200} {
		delay := time.Duration(ms) * time.Millisecond
		require.Equal(t, now.Add(delay), b.RetryAt())
		require.False(t, b.Allows(now.Add(delay-1)))
		now = now.Add(delay)
		require.True(t, b.Allows(now))
		require.True(t, b.Granted())
		require.False(t, b.Allows(now), "second trial")
		b.Failed(now, now, true)
	}
	now = b.RetryAt()
	require.True(t, b.Granted())
	b.Returned(true)
	require.True(t, b.Allows(now), "a trial that was not used must leave room for another")
	require.True(t, b.Granted())
	b.Reached(now, true)
	require.True(t, b.Allows(now))
	require.False(t, b.Granted())
}

// Guards against a back-off that ends because of work that was granted before
// the failure.
func TestEarlierGrantsDoNotEndTheBackOff(t *testing.T) {
	var b rwbackoff.Backoff
	b.Failed(at(10), at(5), false)
	b.Reached(at(5), false)
	require.False(t, b.Allows(at(20)))
}
