// Package rwprefill estimates how far an engine has come with the prompts that
// were sent to it. An engine prefills prompts one after the other, but only the
// first event of each is visible, and it follows the end of the prefill by
// several steps. Counting a prompt as queued until its first event makes a
// saturated engine look busier than it is: engines were at 60% utilisation
// while requests were refused. The model therefore advances between events at
// the prefill rate that it measures, and each event corrects it. The package
// reads no clock.
package rwprefill

import (
	"math"
	"slices"
	"time"

	"redwingworks.example/internal/rwprefillfit"
)

const (
	// initialRate is the prefill rate in tokens per second that is assumed
	// until events show the real one.
	initialRate      = 120_000.0
	minRate, maxRate = 3_000.0, 1_000_000.0
	// rateWeight is the weight of a new sample in the rate.
	rateWeight = 0.1
	// minSampleTime is the shortest time between two events that gives a rate
	// sample.
	minSampleTime = 25 * time.Millisecond
	// initialDelay is the assumed delay from the end of a prefill to the first
	// event; delayWeight is the weight of a new sample in the delay.
	initialDelay = 40 * time.Millisecond
	delayWeight  = 0.1
	maxDelay     = 350 * time.Millisecond
	// delayHalfLife and rateHalfLife are the half-lives with which an estimate
	// returns to its initial value once no event has confirmed it for
	// relaxAfter. A bad estimate keeps requests away, and with them the events
	// that would correct it.
	relaxAfter    = 300 * time.Millisecond
	delayHalfLife = 300 * time.Millisecond
	rateHalfLife  = 2 * time.Second
	// lateAfter is how long after its due time a missing event means that the
	// engine has not started the prompt.
	lateAfter = 120 * time.Millisecond
)

// Model estimates the progress of one engine. It is not safe for concurrent
// use.
type Model struct {
	// sent is the number of tokens sent so far; prefilled is how many of them
	// were prefilled as of updatedAt, and never above sent.
	sent, prefilled float64
	updatedAt       time.Time
	rate            float64
	firstEventDelay time.Duration
	// pending holds the prompts without a first event in the order of sending.
	pending []*Prompt
	// lastEventTokens and lastEventAt are the position and the time of the
	// event from which the next rate sample is measured.
	lastEventTokens float64
	lastEventAt     time.Time
	// relaxedAt is when the estimates were last confirmed or relaxed; it may
	// lie relaxAfter ahead.
	relaxedAt time.Time
	// fit measures the engine beside the estimates above; calibrated is whether
	// they follow it.
	fit        fit
	calibrated bool
}

// Prompt is a prompt that was sent to an engine.
type Prompt struct {
	// start and end are its position in the engine's sequence of tokens.
	start, end      float64
	sentAt          time.Time
	dueAt           time.Time
	expectedPrefill time.Duration
	// sample is what the engine has to prefill; startAt is the earliest time at
	// which it can begin.
	sample  rwprefillfit.Sample
	startAt time.Time
	// overtaken is whether a later prompt has had its first event.
	overtaken bool
}

// New returns the model of an idle engine.
func New() *Model {
	return &Model{rate: initialRate, firstEventDelay: initialDelay, fit: newFit(nil)}
}

// Rate returns the prefill rate in tokens per second.
func (m *Model) Rate() float64 { return m.rate }

// QueuedTokens returns the number of tokens that the engine has yet to prefill.
func (m *Model) QueuedTokens(now time.Time) float64 {
	m.advance(now)
	return m.sent - m.prefilled
}

// Backlog returns how long the engine needs to prefill its queued tokens.
func (m *Model) Backlog(now time.Time) time.Duration { return m.PrefillTime(m.QueuedTokens(now)) }

// PrefillTime returns how long the engine needs to prefill a number of tokens.
func (m *Model) PrefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / m.rate * float64(time.Second))
}

// FirstEventDelay returns the time from the end of a prefill to the first
// event.
func (m *Model) FirstEventDelay() time.Duration { return m.firstEventDelay }

// Send records that a prompt was sent; tokens is how many of its tokens are not
// cached.
func (m *Model) Send(now time.Time, tokens float64) *Prompt {
	wait := m.Backlog(now)
	p := &Prompt{start: m.sent, end: m.sent + tokens, sentAt: now, expectedPrefill: wait + m.PrefillTime(tokens)}
	p.dueAt = now.Add(p.expectedPrefill + m.firstEventDelay)
	m.sent = p.end
	m.pending = append(m.pending, p)
	return p
}

// FirstEvent records the first event of a prompt.
func (m *Model) FirstEvent(now time.Time, p *Prompt) {
	m.advance(now)
	m.remove(p)
	m.fit.firstEvent(now, p, p.end >= m.sent)
	if m.calibrated {
		delay := min(max(now.Sub(p.sentAt)-p.expectedPrefill, 0), maxFitDelay)
		m.firstEventDelay += time.Duration(delayWeight * float64(delay-m.firstEventDelay))
		m.rate = m.fit.rate(now)
		m.passed(p)
		return
	}
	m.sampleRate(now, p)
	delay := min(max(now.Sub(p.sentAt)-p.expectedPrefill, 0), maxDelay)
	m.firstEventDelay += time.Duration(delayWeight * float64(delay-m.firstEventDelay))
	m.relaxedAt = now.Add(relaxAfter)
	m.passed(p)
}

// passed records that the engine has prefilled a prompt and all before it.
func (m *Model) passed(p *Prompt) {
	m.prefilled = max(m.prefilled, min(p.end, m.sent))
	for _, q := range m.pending {
		q.overtaken = q.overtaken || q.end <= p.start
	}
}

// Overtaken reports whether a prompt without a first event must have been
// prefilled, because a later prompt has had its first event. The report of the
// event was lost, or the router that would send it has failed.
func (m *Model) Overtaken(p *Prompt) bool { return p.overtaken }

// sampleRate measures the rate between two events if the engine was busy all
// the time, that is if the second prompt was sent before the first one was
// prefilled.
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

// Cancel records that a prompt without a first event is no longer at the
// engine.
func (m *Model) Cancel(now time.Time, p *Prompt) {
	m.advance(now)
	m.remove(p)
	m.prefilled = min(m.prefilled+p.end-p.start, m.sent)
}

func (m *Model) remove(p *Prompt) {
	m.pending = slices.DeleteFunc(m.pending, func(q *Prompt) bool { return q == p })
}

// advance brings prefilled up to the given time.
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

// relax moves the estimates towards their initial values after a time without
// events.
func (m *Model) relax(now time.Time) {
	if m.calibrated {
		if now.After(m.relaxedAt) {
			m.rate = m.fit.rate(now)
			m.relaxedAt = now
		}
		return
	}
	d := now.Sub(m.relaxedAt)
	if d <= 0 {
		return
	}
	m.relaxedAt = now
	m.firstEventDelay = initialDelay + time.Duration(float64(m.firstEventDelay-initialDelay)*math.Exp2(-d.Seconds()/delayHalfLife.Seconds()))
	m.rate = initialRate + (m.rate-initialRate)*math.Exp2(-d.Seconds()/rateHalfLife.Seconds())
}
