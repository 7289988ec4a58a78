// Package rwlag notices that a process doesn't get the processor in time. A
// router in that state reads requests late, so that it forwards requests whose
// callers have left, and holds ever more of them in memory.
package rwlag

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// tick is the step of the measurement.
	tick = 50 * time.Millisecond
	// Limit is the lateness from which the process is behind. A machine whose
	// share is a quota stands still for up to a tenth of a second without
	// being overloaded.
	Limit = 150 * time.Millisecond
	// hold is how long the process counts as behind after it was late.
	hold = 200 * time.Millisecond
)

// Lag measures how late timers fire.
type Lag struct {
	// Measured, if set before Run, is told after each step how late its timer
	// fired.
	Measured func(now time.Time, late time.Duration)

	// until is the end of the time in which the process counts as behind, in
	// nanoseconds since start.
	until atomic.Int64
	start time.Time
}

// New returns a measurement; Run has to be called.
func New() *Lag { return &Lag{start: time.Now()} }

// Run measures until the context ends.
func (l *Lag) Run(ctx context.Context) error {
	for {
		due := time.Now().Add(tick)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(tick):
		}
		now := time.Now()
		l.note(now, due)
		if l.Measured != nil {
			l.Measured(now, now.Sub(due))
		}
	}
}

func (l *Lag) note(now, due time.Time) {
	if now.Sub(due) >= Limit {
		l.until.Store(int64(now.Add(hold).Sub(l.start)))
	}
}

// Behind reports whether the process was late a moment ago.
func (l *Lag) Behind() bool { return int64(time.Since(l.start)) < l.until.Load() }
