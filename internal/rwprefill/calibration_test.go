package rwprefill

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwprefillfit"
)

// chunked plays an engine that prefills rate tokens per second in chunks of 4,096, at a
// utilisation of about 0.6, and whose first events follow the end of a prefill by six
// steps of 12 ms.
func chunked(m *Model, rate float64, prompts int) time.Time {
	const chunk, delay = 4_096, 72 * time.Millisecond
	type sent struct {
		prompt *Prompt
		at     time.Time
		left   float64
	}
	rng := rand.New(rand.NewPCG(5, 6))
	now, next := start, start
	var queue, events []sent
	for prompts > 0 || len(queue) > 0 || len(events) > 0 {
		for prompts > 0 && !next.After(now) {
			tokens := 500 + 7_000*rng.Float64()
			queue = append(queue, sent{m.SendPrompt(next, 1_000, tokens, 0), next, tokens})
			next = next.Add(time.Duration(rng.ExpFloat64() * 4_000 / rate / 0.6 * 1e9))
			prompts--
		}
		room := float64(chunk)
		for len(queue) > 0 && room > 0 {
			n := min(queue[0].left, room)
			room, queue[0].left = room-n, queue[0].left-n
			if queue[0].left > 0 {
				break
			}
			events = append(events, queue[0])
			queue = queue[1:]
		}
		took := max(time.Duration((chunk-room)/rate*1e9), time.Millisecond)
		for i := range events {
			if events[i].left == 0 {
				events[i].at, events[i].left = now.Add(took+delay), -1
			}
		}
		for len(events) > 0 && !events[0].at.After(now) {
			m.FirstEvent(events[0].at, events[0].prompt)
			events = events[1:]
		}
		now = now.Add(took)
	}
	return now
}

// Guards against forecasts at 130,000 tokens per second where engines prefill 40,000: the
// first events of prompts that end in one chunk follow each other closely, and a rate for
// each pair of events took that for speed.
func TestRateOfChunkedPrefill(t *testing.T) {
	for _, rate := range []float64{40_000, 64_000} {
		pool := rwprefillfit.New(10 * time.Second)
		m := NewPooled(pool).WithCalibration(Calibration{Rate: 55_000})
		now := chunked(m, rate, 600)
		m.Backlog(now)
		require.InDelta(t, rate, m.Rate(), 0.2*rate)
		require.InDelta(t, rate, pool.Rate(now, 0, 55_000), 0.2*rate)
	}
}

// Guards against taking the engines of the earlier deployments, which prefill 112,000
// tokens per second and more, for slow ones: placement would change there. Samples hold
// the rest of the chunk that was in progress, so they show less than the rate.
func TestFastEnginesAreNotTakenForSlow(t *testing.T) {
	pool := rwprefillfit.New(10 * time.Second)
	now := chunked(NewPooled(pool), 112_000, 600)
	require.Greater(t, pool.Rate(now, 0, 75_000), 85_000.0)
}

// Guards against an engine that pauses or has just started, of which nothing is known but
// its pool, and against a change where no calibration is set.
func TestCalibrationIsThePrior(t *testing.T) {
	m := New()
	m.SendPrompt(at(0), 13_000, 4_000, 0)
	require.InDelta(t, initialRate, m.Rate(), 1)
	require.InDelta(t, 4_000, m.Work(13_000, 4_000), 0)
	m = New().WithCalibration(Calibration{Rate: 50_000, PairCost: 4e-5})
	m.Backlog(at(0))
	require.InDelta(t, 50_000, m.Rate(), 1)
	require.InDelta(t, 4_000+4e-5*4_000*15_000, m.Work(13_000, 4_000), 1)
	now := chunked(m, 64_000, 200)
	m.Backlog(now.Add(5 * time.Minute))
	require.InDelta(t, 50_000, m.Rate(), 500)
}

// Guards against a sample that charges an engine for prompts whose events were lost.
func TestLostEventsGiveNoSample(t *testing.T) {
	pool := rwprefillfit.New(10 * time.Second)
	m := NewPooled(pool)
	m.SendPrompt(at(0), 0, 40_000, 0)
	p := m.SendPrompt(at(0), 0, 1_000, 0)
	m.FirstEvent(at(700), p)
	require.Zero(t, pool.Samples(at(700)))
	p = m.SendPrompt(at(700), 0, 1_000, 0)
	m.FirstEvent(at(800), p)
	require.Positive(t, pool.Samples(at(800)))
}
