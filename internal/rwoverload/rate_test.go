package rwoverload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// testMillis is the CPU time of the machine, so its initial rate is 500
	// requests per second.
	testMillis = 500
	testRate   = 500
)

// offer offers evenly spaced requests per second for a time span, with samples of
// lateness in between, and returns how many there was room for and the time at the
// end.
func offer(c *Controller, now time.Time, span time.Duration, perSecond int, late func(time.Duration) time.Duration) (int, time.Time) {
	taken, end := 0, now.Add(span)
	for now.Before(end) {
		for range int(time.Duration(perSecond) * step / time.Second) {
			now = now.Add(time.Second / time.Duration(perSecond))
			if c.TakeRoom(now) {
				taken++
			}
		}
		c.Observe(now, late(span-end.Sub(now)), 0)
	}
	return taken, now
}

// late is the lateness of a machine that runs all its work too late.
func late(time.Duration) time.Duration { return fastMaxSample }

// Guards against a router that relays what it could serve, and against one that
// takes more at once than its burst allows.
func TestRoomIsTheRateAndABurst(t *testing.T) {
	const burst = testRate / 5
	c := New(testMillis)
	now := time.Unix(100, 0)
	all := func() int {
		n := 0
		for c.TakeRoom(now) {
			n++
		}
		return n
	}
	require.Equal(t, burst, all(), "a router that was idle has room for its burst")
	now = now.Add(20 * time.Millisecond)
	require.Equal(t, testRate/50, all(), "then for the rate")
	now = now.Add(time.Minute)
	require.Equal(t, burst, all(), "room doesn't add up beyond the burst")
	for range 1000 {
		now = now.Add(time.Second / testRate)
		require.True(t, c.TakeRoom(now))
	}
	require.False(t, c.TakeRoom(now))
}

// Guards against requests on kept connections that don't reduce the room for new
// connections, and against a debt that keeps the router from taking any for long
// after a flood.
func TestCountedRequestsTakeRoom(t *testing.T) {
	const burst = testRate / 5
	c := New(testMillis)
	now := time.Unix(100, 0)
	for i := range burst {
		require.True(t, c.CountRequest(now), i)
	}
	for range burst / 2 {
		require.False(t, c.CountRequest(now))
	}
	now = now.Add(rateBurst / 2)
	require.False(t, c.TakeRoom(now), "the requests without room are still to be made up for")
	now = now.Add(2 * time.Second / testRate)
	require.True(t, c.TakeRoom(now))
	for range 100 * burst {
		c.CountRequest(now)
	}
	require.False(t, c.TakeRoom(now.Add(rateBurst)))
	require.True(t, c.TakeRoom(now.Add(rateBurst+2*time.Second/testRate)))
}

// Guards against a rate above what the machine serves in time, and against one that
// falls until the machine only relays, which takes CPU time too.
func TestRateFallsWhileLate(t *testing.T) {
	c := New(testMillis)
	taken, now := offer(c, time.Unix(100, 0), time.Second, 2*testRate, late)
	require.Less(t, taken, testRate)
	before := c.rate
	require.Less(t, before, 0.5*testRate)
	_, now = offer(c, now, 10*time.Second, 2*testRate, late)
	require.InDelta(t, minRateRatio*testRate, c.rate, 1e-6)
	taken, _ = offer(c, now, time.Second, 2*testRate, late)
	require.InDelta(t, minRateRatio*testRate, taken, 1)
}

// Guards against a rate that one late sample lowers, as when a CPU quota runs out.
func TestRateStaysAfterOneLateSample(t *testing.T) {
	c := New(testMillis)
	now := observe(c, time.Unix(100, 0), time.Second, idle)
	c.Observe(now.Add(step), fastMaxSample, 0)
	require.EqualValues(t, testRate, c.rate)
	observe(c, now.Add(step), time.Second, idle)
	require.EqualValues(t, testRate, c.rate)
}

// Guards against a machine with spare capacity that relays what it could serve, and
// against a rate that grows although nothing shows that the machine could serve it.
func TestRateGrowsWhileItBinds(t *testing.T) {
	c := New(testMillis)
	_, now := offer(c, time.Unix(100, 0), 10*time.Second, testRate*9/10, idle)
	require.EqualValues(t, testRate, c.rate, "it doesn't bind")
	_, now = offer(c, now, 10*time.Second, 2*testRate, idle)
	require.Greater(t, c.rate, 1.9*testRate)
	taken, _ := offer(c, now, time.Second, 2*testRate, idle)
	require.Greater(t, taken, 19*testRate/10)
	require.Less(t, c.rate, 3.0*testRate, "it grows only up to what is requested")
}

// Guards against a rate that stays where an earlier load left it: too high for the
// next flood, or too low for the usual load, and against one that returns at a jump, on
// which the machine would be late again.
func TestRateReturnsToItsStart(t *testing.T) {
	for name, before := range map[string]func(time.Duration) time.Duration{"grown": idle, "fallen": late} {
		t.Run(name, func(t *testing.T) {
			c := New(testMillis)
			_, now := offer(c, time.Unix(100, 0), 5*time.Second, 2*testRate, before)
			require.Greater(t, max(c.rate/testRate, testRate/c.rate), 1.5)
			away := max(c.rate/testRate, testRate/c.rate)
			now = observe(c, now, 500*time.Millisecond, idle)
			require.Greater(t, max(c.rate/testRate, testRate/c.rate), 0.75*away, "it returns in steps")
			now = observe(c, now, 10*time.Second, idle)
			// It may pass its start by one step, and then returns.
			require.InEpsilon(t, testRate, c.rate, rateUp-1)
			observe(c, now, 2*step, idle)
			require.InEpsilon(t, testRate, c.rate, rateUp-1)
		})
	}
}

// Guards against a router whose settings state no CPU time and that relays all its
// connections.
func TestUnknownCPUTimeSetsNoRate(t *testing.T) {
	c := New(0)
	now := time.Unix(100, 0)
	for range 10000 {
		require.True(t, c.TakeRoom(now))
		require.True(t, c.CountRequest(now))
	}
	taken, now := offer(c, now, time.Second, 10000, late)
	require.Equal(t, 10000, taken)
	observe(c, now, 10*time.Second, idle)
	require.True(t, c.TakeRoom(now))
}

// Guards against requests that are refused while the router has room or is only short of
// it, and against a router that goes on refusing them when the burst is over.
func TestExhaustedOnceTheBurstIsUsedUpTwice(t *testing.T) {
	const burst = testRate / 5
	c := New(testMillis)
	now := time.Unix(100, 0)
	for i := range 2 * burst {
		require.False(t, c.Exhausted(now), i)
		c.CountRequest(now)
	}
	require.True(t, c.Exhausted(now))
	require.False(t, c.Exhausted(now.Add(time.Second/testRate)))
	require.False(t, New(0).Exhausted(now), "the machine's CPU time isn't known")
}
