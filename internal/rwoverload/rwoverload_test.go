package rwoverload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const step = 50 * time.Millisecond

// observe feeds lateness samples for a time span and returns the time at its
// end.
func observe(c *Controller, now time.Time, span time.Duration, late func(time.Duration) time.Duration) time.Time {
	for at := time.Duration(0); at < span; at += step {
		now = now.Add(step)
		c.Observe(now, late(at), 0)
	}
	return now
}

// saturated and idle are the lateness of a machine with 0.192 cores that serves
// 250 and 30 streams per second.
func saturated(at time.Duration) time.Duration {
	return []time.Duration{2 * time.Millisecond, 90 * time.Millisecond, 0, 70 * time.Millisecond}[at/step%4]
}
func idle(time.Duration) time.Duration { return 600 * time.Microsecond }

// Guards against a weak machine that stays in rotation and refuses the requests
// of a large account for as long as they come.
func TestLeavesUnderPressureAndReturns(t *testing.T) {
	c := New(0)
	now := observe(c, time.Unix(100, 0), 3*time.Second, idle)
	require.False(t, c.OutOfRotation())
	now = observe(c, now, time.Second, saturated)
	require.True(t, c.OutOfRotation(), "out within a second")
	require.False(t, c.CloseConnections(now), "callers whose connections are closed now would reconnect here")
	now = observe(c, now, 2*time.Second, saturated)
	require.True(t, c.CloseConnections(now))
	now = observe(c, now, 4*time.Second, idle)
	require.False(t, c.CloseConnections(now), "the remaining load can be served")
	require.False(t, c.OutOfRotation(), "back once it has capacity")
}

// Guards against leaving the rotation because the CPU quota ran out for a tenth
// of a second, or because the process was paused.
func TestStaysThroughShortStops(t *testing.T) {
	c := New(0)
	now := observe(c, time.Unix(100, 0), 10*time.Second, func(at time.Duration) time.Duration {
		if at%time.Second < 100*time.Millisecond {
			return 50 * time.Millisecond
		}
		return idle(at)
	})
	require.False(t, c.OutOfRotation())
	for range 2 {
		now = now.Add(2 * time.Second)
		c.Observe(now, 2*time.Second, 0)
		require.False(t, c.OutOfRotation())
	}
}

// Guards against moving the same callers between routers every few seconds, and
// against a router that never returns.
func TestStaysAwayLongerWhenOverloadedAgain(t *testing.T) {
	c := New(0)
	now := time.Unix(100, 0)
	var away []time.Duration
	for range 4 {
		now = observe(c, now, time.Second, saturated)
		require.True(t, c.OutOfRotation())
		left := now
		for c.OutOfRotation() {
			now = observe(c, now, step, idle)
			require.Less(t, now.Sub(left), time.Minute)
		}
		away = append(away, now.Sub(left).Round(time.Second))
	}
	require.Equal(t, []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second}, away)
	now = observe(c, now, 11*time.Second, idle)
	now = observe(c, now, time.Second, saturated)
	left := now
	for c.OutOfRotation() {
		now = observe(c, now, step, idle)
	}
	require.Equal(t, 4*time.Second, now.Sub(left).Round(time.Second), "after a calm period it starts with the shortest time again")
}

// Guards against a saturated machine that reads all its requests and responds
// to none in time, and against refusals on a machine with spare capacity. The
// simulated machine is late while it accepts more than four tenths of the
// requests.
func TestRefusesWhatTheMachineCantServe(t *testing.T) {
	const capacity = 0.4
	c := New(0)
	now := time.Unix(100, 0)
	var accepted []float64
	for i := range 200 {
		now = now.Add(step)
		late := idle(0)
		if 1-c.refusedRatio > capacity {
			late = saturated(time.Duration(i) * step)
		}
		c.Observe(now, late, 0)
		if i >= 40 {
			accepted = append(accepted, 1-c.refusedRatio)
		}
	}
	sum := 0.0
	for _, v := range accepted {
		sum += v
	}
	require.InDelta(t, capacity, sum/float64(len(accepted)), 0.1)
	observe(c, now, 2500*time.Millisecond, idle)
	require.False(t, c.ShouldRefuse(0), "nothing is refused once there is capacity")
}

// Guards against refusals because a CPU quota ran out once.
func TestOneQuotaStopRefusesNothing(t *testing.T) {
	c := New(0)
	now := observe(c, time.Unix(100, 0), time.Second, idle)
	c.Observe(now.Add(step), 100*time.Millisecond, 0)
	require.False(t, c.ShouldRefuse(0))
	c.Observe(now.Add(2*step), 100*time.Millisecond, 0)
	require.True(t, c.ShouldRefuse(0), "two in a row are a sign of load")
	require.True(t, c.Saturated())
	observe(c, now, time.Second, idle)
	require.False(t, c.Saturated())
}
