// Package rwduty decides for which part of the time an engine may prefill. It answers
// the load of long prompts beside running streams: an engine prefills in chunks between
// the steps that generate tokens, so that while it prefills without a break, each event
// of its streams takes several chunks longer. On a slow engine that exceeds the target
// for the time between two events, for all streams that run there. The longest pauses
// of the streams that ended show which engines these are. The package reads no clock
// and does no I/O.
package rwduty

import "time"

const (
	// lateRatio is the fraction of the target from which a pause counts as late. The
	// rest is the transit from the engine to the caller.
	lateRatio = 0.95
	// decrease is the factor for a late stream, and increase what each stream in time
	// adds: the ratio settles where one in 20 streams is late.
	decrease = 0.96
	increase = 0.002
	// minRatio bounds the ratio from below. Less would leave an engine idle because of
	// pauses that have other causes.
	minRatio = 0.5
)

// Duty is the part of its time for which one engine may prefill. Use New.
type Duty struct {
	// ratio is between minRatio and 1.
	ratio float64
	// freeAt is when the time has passed that the prompts sent so far may take.
	freeAt time.Time
}

// New returns the duty of an engine that may prefill without a break.
func New() *Duty { return &Duty{ratio: 1} }

// Ratio returns the part of its time for which the engine may prefill, at most 1.
func (d *Duty) Ratio() float64 { return d.ratio }

// Observe records the longest pause between two events of a stream that the engine has
// served to its end, and the target for it. A target of zero is none.
func (d *Duty) Observe(pause, target time.Duration) {
	switch {
	case target <= 0 || pause <= 0:
	case float64(pause) > lateRatio*float64(target):
		d.ratio = max(d.ratio*decrease, minRatio)
	default:
		d.ratio = min(d.ratio+increase, 1)
	}
}

// Send records that a prompt was sent which takes a time to prefill.
func (d *Duty) Send(now time.Time, prefill time.Duration) {
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(time.Duration(float64(prefill) / d.ratio))
}

// Wait returns for how long the engine should get no further prompt, beyond what it
// has to prefill, which takes backlog. It is zero for an engine that may prefill
// without a break.
func (d *Duty) Wait(now time.Time, backlog time.Duration) time.Duration {
	if d.ratio >= 1 {
		return 0
	}
	return max(d.freeAt.Sub(now)-backlog, 0)
}
