package rwduty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const target = 400 * time.Millisecond

var start = time.Unix(1000, 0)

// Guards against resting an engine whose streams are in time, or that has no target.
func TestEnginesInTimeDontRest(t *testing.T) {
	d := New()
	for range 100 {
		d.Observe(300*time.Millisecond, target)
		d.Observe(time.Hour, 0)
		d.Observe(0, target)
	}
	require.EqualValues(t, 1, d.Ratio())
	d.Send(start, time.Second)
	require.Zero(t, d.Wait(start, 0))
}

// Guards against an engine that prefills all the time although its streams pause for
// too long, against one that gets no work at all, and against one that never recovers.
func TestPausesRestTheEngine(t *testing.T) {
	d := New()
	for range 1000 {
		d.Observe(500*time.Millisecond, target)
	}
	require.EqualValues(t, minRatio, d.Ratio())
	d.Send(start, 100*time.Millisecond)
	require.Equal(t, 100*time.Millisecond, d.Wait(start, 100*time.Millisecond))
	require.Equal(t, 150*time.Millisecond, d.Wait(start.Add(50*time.Millisecond), 0))
	require.Zero(t, d.Wait(start.Add(200*time.Millisecond), 0))
	for range 1000 {
		d.Observe(100*time.Millisecond, target)
	}
	require.EqualValues(t, 1, d.Ratio())
}

// Guards against a ratio that settles where more than one in ten streams is late: an
// engine whose streams pause for the longer, the more of its time it prefills.
func TestFewStreamsAreLate(t *testing.T) {
	d := New()
	late := 0
	const streams = 4000
	for i := range streams {
		// Pauses vary by a fifth around the mean.
		mean := 100*time.Millisecond + time.Duration(d.Ratio()*float64(400*time.Millisecond))
		pause := mean + time.Duration((float64(i%21)/50-0.2)*float64(mean))
		d.Observe(pause, target)
		if i >= streams/2 && pause > target {
			late++
		}
	}
	require.LessOrEqual(t, late, streams/2/10)
	require.Greater(t, d.Ratio(), minRatio)
}
