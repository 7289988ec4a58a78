package rwprefill

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an engine that looks busy until its first events arrive,
// although it prefilled the prompts long before, so that requests are refused.
func TestPrefillAdvancesBetweenEvents(t *testing.T) {
	m := New()
	m.Send(at(0), initialRate/10)
	require.Equal(t, 100*time.Millisecond, m.Backlog(at(0)).Round(time.Millisecond))
	require.Equal(t, 40*time.Millisecond, m.Backlog(at(60)).Round(time.Millisecond))
	require.Zero(t, m.Backlog(at(100)))
}

// Guards against an engine that hangs, looks idle and gets ever more requests.
func TestMissingEventsKeepTheBacklog(t *testing.T) {
	m := New()
	p := m.Send(at(0), initialRate/10)
	m.Send(at(10), initialRate/10)
	require.Zero(t, m.Backlog(at(250)))
	require.Equal(t, 200*time.Millisecond, m.Backlog(at(300)).Round(time.Millisecond))
	m.FirstEvent(at(310), p)
	require.LessOrEqual(t, m.Backlog(at(310)), 110*time.Millisecond)
}

// Guards against an engine that looks busy for seconds because the router that
// should report a first event was killed. The engine prefills prompts in order,
// so a later event shows that it has prefilled the earlier prompt too.
func TestLaterEventPassesLostOne(t *testing.T) {
	m := New()
	lost := m.Send(at(0), initialRate/10)
	p := m.Send(at(10), initialRate/10)
	require.False(t, m.Overtaken(lost))
	m.FirstEvent(at(280), p)
	require.True(t, m.Overtaken(lost))
	m.Send(at(500), initialRate/100)
	require.LessOrEqual(t, m.Backlog(at(500)), 10*time.Millisecond)
}

// Guards against counting cancelled prompts.
func TestCancel(t *testing.T) {
	m := New()
	p := m.Send(at(0), 10_000)
	m.Send(at(0), 5_000)
	m.Cancel(at(0), p)
	require.InDelta(t, 5_000, m.QueuedTokens(at(0)), 1)
}

// Guards against a forecast that doesn't follow an engine that slows down.
func TestRateFollowsTheEngine(t *testing.T) {
	m := New()
	const slow, tokens = 30_000.0, 3_000.0
	now, free := start, start
	var queue []*Prompt
	var ends []time.Time
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		for len(ends) > 0 && !ends[0].After(now) {
			m.FirstEvent(ends[0], queue[0])
			queue, ends = queue[1:], ends[1:]
		}
		for len(queue) < 4 {
			if free.Before(now) {
				free = now
			}
			free = free.Add(time.Duration(tokens / slow * float64(time.Second)))
			queue = append(queue, m.Send(now, tokens))
			ends = append(ends, free)
		}
	}
	require.InDelta(t, slow, m.Rate(), 0.3*slow)
}

// Guards against an estimate that keeps requests off an engine, and with them
// the events that would correct it.
func TestEstimatesRelaxWithoutEvents(t *testing.T) {
	m := New()
	var sent []*Prompt
	for i := range 50 {
		sent = append(sent, m.Send(at(i*100), 100))
		if i >= 9 {
			m.FirstEvent(at(i*100), sent[i-9])
		}
	}
	require.Greater(t, m.FirstEventDelay(), 4*initialDelay)
	m.Backlog(at(4900 + 2000))
	require.Less(t, m.FirstEventDelay(), 2*initialDelay)
}
