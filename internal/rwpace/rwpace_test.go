package rwpace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// testRate is that of a link of 10 Mbit/s, in bytes per second.
	testRate = 10e6 / 8
	// chunkBytes is the size of the bulk writes.
	chunkBytes = 4 << 10
)

// queue is the queue of a link that sends in the order of arrival.
type queue struct{ freeAt time.Time }

// add adds bytes and returns how long they take until they have crossed.
func (q *queue) add(now time.Time, n int) time.Duration {
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
	q.freeAt = q.freeAt.Add(time.Duration(float64(n) / testRate * float64(time.Second)))
	return q.freeAt.Sub(now)
}

// Guards against control messages that wait behind bulk bytes: 100 prompts of 17 KB
// are to be sent in each of five tenths of a second, which is nearly seven times
// what the link carries.
func TestControlFindsAShortQueue(t *testing.T) {
	const (
		prompts, promptBytes = 100, 17_000
		controlBytes         = 300
		bound                = 50 * time.Millisecond
	)
	p := New(testRate)
	start := time.Unix(100, 0)
	// sendAt holds when the chunks may be handed to the link, in this order.
	var sendAt []time.Time
	for i := range 5 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for range prompts * promptBytes / chunkBytes {
			sendAt = append(sendAt, now.Add(p.Reserve(now, chunkBytes)))
		}
	}
	var link queue
	next := 0
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for ; next < len(sendAt) && !sendAt[next].After(now); next++ {
			link.add(sendAt[next], chunkBytes)
		}
		require.Less(t, link.add(now, controlBytes), bound, now.Sub(start))
	}
	sent := float64(next * chunkBytes)
	require.Greater(t, sent, 0.95*pacedRatio*2*testRate, "bulk bytes still get what the link has left")
	require.Less(t, next, len(sendAt))
}

// Guards against bulk bytes that ignore what control messages and heads take, also
// after they were queued.
func TestBulkWaitsForWhatWasCounted(t *testing.T) {
	p := New(testRate)
	now := time.Unix(100, 0)
	require.True(t, p.Admit(now, chunkBytes, time.Second))
	p.Count(now, testRate)
	wait := p.Start(now, chunkBytes)
	require.Greater(t, wait, time.Second)
	require.Zero(t, p.Start(now.Add(wait), chunkBytes))
	require.Zero(t, p.Delay(now.Add(time.Minute)), "an idle link saves nothing up and owes nothing")
}

// Guards against bodies that are taken although they come too late, and against room
// that stays taken by those that never come.
func TestAdmitsWhatCrossesInTime(t *testing.T) {
	const within = 250 * time.Millisecond
	p := New(testRate)
	now := time.Unix(100, 0)
	admitted := 0
	for p.Admit(now, chunkBytes, within) {
		admitted++
	}
	require.InDelta(t, pacedRatio*testRate*within.Seconds(), admitted*chunkBytes, 2*chunkBytes)
	require.InDelta(t, within, p.Delay(now), float64(10*time.Millisecond))
	for range admitted {
		p.Cancel(chunkBytes)
	}
	require.Zero(t, p.Delay(now))
}

// Guards against a load that is off by the time since it was last asked for.
func TestLoad(t *testing.T) {
	p := New(testRate)
	now := time.Unix(100, 0)
	require.Zero(t, p.Load(now))
	for range 400 {
		now = now.Add(5 * time.Millisecond)
		p.Count(now, testRate/400)
	}
	require.InDelta(t, 0.5, p.Load(now), 0.02)
	require.InDelta(t, 0, p.Load(now.Add(3*time.Second)), 0.02)
}

// Guards against a machine whose link isn't known that waits for ever.
func TestUnknownRateHoldsNothingBack(t *testing.T) {
	p := New(0)
	now := time.Unix(100, 0)
	require.Zero(t, p.Reserve(now, 1<<30))
	require.Zero(t, p.Delay(now))
	require.True(t, p.Admit(now, 1<<30, time.Nanosecond))
	require.Zero(t, p.Start(now, 1<<30))
	require.Zero(t, p.Load(now))
}
