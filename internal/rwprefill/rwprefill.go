// Package rwprefill models how far an engine has come with the prompts that
// were sent to it. An engine reads prompts one after the other but shows only
// the first event of each, which follows the end of its prefill by several
// steps. Counting a prompt as waiting until its first event makes a saturated
// engine look busier than it is: engines were used to 60% while requests were
// refused. The model therefore moves on between events with the speed that it
// learned, and each event corrects it. It holds no clock.
package rwprefill

import (
	"math"
	"slices"
	"time"
)

const (
	// initialRate is the prefill speed in tokens a second that is assumed until
	// events show the real one.
	initialRate      = 120_000.0
	minRate, maxRate = 3_000.0, 1_000_000.0
	// rateWeight is the weight of a new sample of the speed.
	rateWeight = 0.1
	// minSampleTime is the shortest time between two events that gives a sample.
	minSampleTime = 25 * time.Millisecond
	// initialDelay is the assumed time from the end of a prefill to the first
	// event, tailWeight the weight of a new sample of it.
	initialDelay = 40 * time.Millisecond
	delayWeight  = 0.1
	maxDelay     = 350 * time.Millisecond
	// tailHalf and rateHalf are the times in which an estimate moves half of
	// the way back to its first value once nothing has confirmed it for the
	// time quiet. A bad estimate keeps requests away, and with them the events
	// that would correct it.
	relaxAfter    = 300 * time.Millisecond
	delayHalfLife = 300 * time.Millisecond
	rateHalfLife  = 2 * time.Second
	// lateAfter is how long after its due time a missing event means that the
	// engine has not come that far.
	lateAfter = 120 * time.Millisecond
)

// Model is the estimate for one engine. It is not safe for concurrent use.
type Model struct {
	// sent is the number of tokens sent so far, done how many of them were
	// read as of at; done is never above granted.
	sent, prefilled float64
	updatedAt       time.Time
	rate            float64
	firstEventDelay time.Duration
	// pending are the prompts without a first event, in the order of sending.
	pending []*Prompt
	// lastEventTokens is the last event, from which the speed is measured.
	lastEventTokens float64
	lastEventAt     time.Time
	// relaxedAt is when the estimates were last confirmed or moved back.
	relaxedAt time.Time
}

// Prompt is one prompt on its way through an engine.
type Prompt struct {
	// start and to are its place in the engine's sequence of tokens.
	start, end      float64
	sentAt          time.Time
	dueAt           time.Time
	expectedPrefill time.Duration
	// overtaken is whether a prompt behind it had its first event.
	overtaken bool
}

// New returns the model of an idle engine.
func New() *Model { return &Model{rate: initialRate, firstEventDelay: initialDelay} }

// Rate is the prefill speed in tokens a second.
func (m *Model) Rate() float64 { return m.rate }

// QueuedTokens is the number of tokens that the engine still has to read.
func (m *Model) QueuedTokens(now time.Time) float64 {
	m.advance(now)
	return m.sent - m.prefilled
}

// Backlog is how long the engine needs for what it has to read.
func (m *Model) Backlog(now time.Time) time.Duration { return m.PrefillTime(m.QueuedTokens(now)) }

// PrefillTime is the time that the engine needs for a number of tokens.
func (m *Model) PrefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / m.rate * float64(time.Second))
}

// FirstEventDelay is the time from the end of a prefill to the first event.
func (m *Model) FirstEventDelay() time.Duration { return m.firstEventDelay }

// Send notes a prompt of which the engine has to read a number of tokens.
func (m *Model) Send(now time.Time, tokens float64) *Prompt {
	wait := m.Backlog(now)
	p := &Prompt{start: m.sent, end: m.sent + tokens, sentAt: now, expectedPrefill: wait + m.PrefillTime(tokens)}
	p.dueAt = now.Add(p.expectedPrefill + m.firstEventDelay)
	m.sent = p.end
	m.pending = append(m.pending, p)
	return p
}

// FirstEvent notes the first event of a prompt.
func (m *Model) FirstEvent(now time.Time, p *Prompt) {
	m.advance(now)
	m.remove(p)
	m.sampleRate(now, p)
	tail := min(max(now.Sub(p.sentAt)-p.expectedPrefill, 0), maxDelay)
	m.firstEventDelay += time.Duration(delayWeight * float64(tail-m.firstEventDelay))
	m.relaxedAt = now.Add(relaxAfter)
	m.prefilled = max(m.prefilled, min(p.end, m.sent))
	for _, q := range m.pending {
		q.overtaken = q.overtaken || q.end <= p.start
	}
}

// Overtaken reports whether the engine has read a prompt without a first event,
// because it has read one behind it. The report of the event was lost, or the
// router that should send it is gone.
func (m *Model) Overtaken(p *Prompt) bool { return p.overtaken }

// sampleRate measures the speed between two events if the engine was busy all the
// time, that is if the second prompt was sent before the first one was read.
func (m *Model) sampleRate(now time.Time, p *Prompt) {
	if p.end <= m.lastEventTokens {
		return
	}
	took := now.Sub(m.lastEventAt)
	if busy := p.sentAt.Before(m.lastEventAt.Add(-m.firstEventDelay)); busy && took < minSampleTime {
		return
	} else if busy {
		s := (p.end - m.lastEventTokens) / took.Seconds()
		m.rate = min(max(m.rate+rateWeight*(s-m.rate), minRate), maxRate)
	}
	m.lastEventTokens, m.lastEventAt = p.end, now
}

// Cancel notes that a prompt without a first event is no longer at the engine.
func (m *Model) Cancel(now time.Time, p *Prompt) {
	m.advance(now)
	m.remove(p)
	m.prefilled = min(m.prefilled+p.end-p.start, m.sent)
}

func (m *Model) remove(p *Prompt) {
	m.pending = slices.DeleteFunc(m.pending, func(q *Prompt) bool { return q == p })
}

// advance brings done up to a time.
func (m *Model) advance(now time.Time) {
	if d := now.Sub(m.updatedAt); d > 0 {
		m.prefilled = min(m.prefilled+m.rate*d.Seconds(), m.sent)
		m.updatedAt = now
	}
	m.relax(now)
	for _, p := range m.pending {
		if !p.overtaken && now.Sub(p.dueAt) > lateAfter {
			m.prefilled = min(m.prefilled, p.start)
			break
		}
	}
}

// relax moves the estimates back after a time without events.
func (m *Model) relax(now time.Time) {
	d := now.Sub(m.relaxedAt)
	if d <= 0 {
		return
	}
	m.relaxedAt = now
	m.firstEventDelay = initialDelay + time.Duration(float64(m.firstEventDelay-initialDelay)*math.Exp2(-d.Seconds()/delayHalfLife.Seconds()))
	m.rate = initialRate + (m.rate-initialRate)*math.Exp2(-d.Seconds()/rateHalfLife.Seconds())
}
