// Package rwpause detects that a process was paused.
package rwpause

import "time"

// Limit is how late a tick may be. A process that was paused for longer must
// release what it owns before it acts, since others may have taken it over.
const Limit = time.Second

// Detector detects pauses by the times of successive ticks. It is not safe for
// concurrent use.
type Detector struct {
	interval time.Duration
	started  bool
	mono     time.Duration
	wall     time.Time
}

// New returns a detector for ticks that are due at each interval.
func New(interval time.Duration) *Detector { return &Detector{interval: interval} }

// Tick takes the monotonic time since any fixed point and the wall clock time.
// It returns how late the tick is and whether that means a pause. Both clocks are
// needed: suspending a VM may stop the monotonic clock, and a wall clock that is
// set back hides a pause. A wall clock that is set forward by more than Limit
// looks like a pause, which is harmless: the process rejoins.
func (p *Detector) Tick(mono time.Duration, wall time.Time) (late time.Duration, paused bool) {
	wall = wall.Round(0)
	if p.started {
		late = max(mono-p.mono, wall.Sub(p.wall)) - p.interval
	}
	p.started, p.mono, p.wall = true, mono, wall
	return max(late, 0), late > Limit
}
