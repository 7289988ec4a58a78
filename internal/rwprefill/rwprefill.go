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
	// firstRate is the prefill speed in tokens a second that is assumed until
	// events show the real one.
	firstRate        = 120_000.0
	minRate, maxRate = 3_000.0, 1_000_000.0
	// rateWeight is the weight of a new sample of the speed.
	rateWeight = 0.1
	// sampleTime is the shortest time between two events that gives a sample.
	sampleTime = 25 * time.Millisecond
	// firstTail is the assumed time from the end of a prefill to the first
	// event, tailWeight the weight of a new sample of it.
	firstTail  = 40 * time.Millisecond
	tailWeight = 0.1
	maxTail    = 350 * time.Millisecond
	// tailHalf and rateHalf are the times in which an estimate moves half of
	// the way back to its first value once nothing has confirmed it for the
	// time quiet. A bad estimate keeps requests away, and with them the events
	// that would correct it.
	quiet    = 300 * time.Millisecond
	tailHalf = 300 * time.Millisecond
	rateHalf = 2 * time.Second
	// late is how long after its due time a missing event means that the
	// engine has not come that far.
	late = 120 * time.Millisecond
)

// Model is the estimate for one engine. It is not safe for concurrent use.
type Model struct {
	// granted is the number of tokens sent so far, done how many of them were
	// read as of at; done is never above granted.
	granted, done float64
	at            time.Time
	rate          float64
	tail          time.Duration
	// pending are the prompts without a first event, in the order of sending.
	pending []*Prompt
	// anchor is the last event, from which the speed is measured.
	anchor   float64
	anchorAt time.Time
	// relaxed is when the estimates were last confirmed or moved back.
	relaxed time.Time
}

// Prompt is one prompt on its way through an engine.
type Prompt struct {
	// from and to are its place in the engine's sequence of tokens.
	from, to float64
	sent     time.Time
	due      time.Time
	wait     time.Duration
	// passed is whether a prompt behind it had its first event.
	passed bool
}

// New returns the model of an idle engine.
func New() *Model { return &Model{rate: firstRate, tail: firstTail} }

// Rate is the prefill speed in tokens a second.
func (m *Model) Rate() float64 { return m.rate }

// QueuedTokens is the number of tokens that the engine still has to read.
func (m *Model) QueuedTokens(now time.Time) float64 {
	m.move(now)
	return m.granted - m.done
}

// Backlog is how long the engine needs for what it has to read.
func (m *Model) Backlog(now time.Time) time.Duration { return m.Read(m.QueuedTokens(now)) }

// Read is the time that the engine needs for a number of tokens.
func (m *Model) Read(tokens float64) time.Duration {
	return time.Duration(tokens / m.rate * float64(time.Second))
}

// FirstEventDelay is the time from the end of a prefill to the first event.
func (m *Model) FirstEventDelay() time.Duration { return m.tail }

// Send notes a prompt of which the engine has to read a number of tokens.
func (m *Model) Send(now time.Time, tokens float64) *Prompt {
	wait := m.Backlog(now)
	p := &Prompt{from: m.granted, to: m.granted + tokens, sent: now, wait: wait + m.Read(tokens)}
	p.due = now.Add(p.wait + m.tail)
	m.granted = p.to
	m.pending = append(m.pending, p)
	return p
}

// FirstEvent notes the first event of a prompt.
func (m *Model) FirstEvent(now time.Time, p *Prompt) {
	m.move(now)
	m.remove(p)
	m.sample(now, p)
	tail := min(max(now.Sub(p.sent)-p.wait, 0), maxTail)
	m.tail += time.Duration(tailWeight * float64(tail-m.tail))
	m.relaxed = now.Add(quiet)
	m.done = max(m.done, min(p.to, m.granted))
	for _, q := range m.pending {
		q.passed = q.passed || q.to <= p.from
	}
}

// Overtaken reports whether the engine has read a prompt without a first event,
// because it has read one behind it. The report of the event was lost, or the
// router that should send it is gone.
func (m *Model) Overtaken(p *Prompt) bool { return p.passed }

// sample measures the speed between two events if the engine was busy all the
// time, that is if the second prompt was sent before the first one was read.
func (m *Model) sample(now time.Time, p *Prompt) {
	if p.to <= m.anchor {
		return
	}
	took := now.Sub(m.anchorAt)
	if busy := p.sent.Before(m.anchorAt.Add(-m.tail)); busy && took < sampleTime {
		return
	} else if busy {
		s := (p.to - m.anchor) / took.Seconds()
		m.rate = min(max(m.rate+rateWeight*(s-m.rate), minRate), maxRate)
	}
	m.anchor, m.anchorAt = p.to, now
}

// Cancel notes that a prompt without a first event is no longer at the engine.
func (m *Model) Cancel(now time.Time, p *Prompt) {
	m.move(now)
	m.remove(p)
	m.done = min(m.done+p.to-p.from, m.granted)
}

func (m *Model) remove(p *Prompt) {
	m.pending = slices.DeleteFunc(m.pending, func(q *Prompt) bool { return q == p })
}

// move brings done up to a time.
func (m *Model) move(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.done = min(m.done+m.rate*d.Seconds(), m.granted)
		m.at = now
	}
	m.relax(now)
	for _, p := range m.pending {
		if !p.passed && now.Sub(p.due) > late {
			m.done = min(m.done, p.from)
			break
		}
	}
}

// relax moves the estimates back after a time without events.
func (m *Model) relax(now time.Time) {
	d := now.Sub(m.relaxed)
	if d <= 0 {
		return
	}
	m.relaxed = now
	m.tail = firstTail + time.Duration(float64(m.tail-firstTail)*math.Exp2(-d.Seconds()/tailHalf.Seconds()))
	m.rate = firstRate + (m.rate-firstRate)*math.Exp2(-d.Seconds()/rateHalf.Seconds())
}
