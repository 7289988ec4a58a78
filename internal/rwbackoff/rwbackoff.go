// Package rwbackoff holds work back from an upstream that can't be reached:
// after a delay that doubles with each failure, one trial decides.
package rwbackoff

import "time"

const (
	// minDelay is about the time in which a process restarts its listener.
	minDelay = 100 * time.Millisecond
	// maxDelay bounds how long a recovered upstream stays unused.
	maxDelay = 3200 * time.Millisecond
)

// Backoff is the state of one upstream. The zero value lets work through.
type Backoff struct {
	delay time.Duration
	// delayStart is when the current delay began; work that was granted before
	// it says nothing about a failure after it.
	delayStart time.Time
	retryAt    time.Time
	trial      bool
}

// Allows reports whether new work may go to the upstream.
func (b *Backoff) Allows(now time.Time) bool {
	return b.delay == 0 || (!b.trial && !now.Before(b.retryAt))
}

// RetryAt is when the trial may start, zero when work isn't held back or the
// trial runs.
func (b *Backoff) RetryAt() time.Time {
	if b.delay == 0 || b.trial {
		return time.Time{}
	}
	return b.retryAt
}

// Granted notes that work was granted, and reports whether it is the trial.
func (b *Backoff) Granted() bool {
	if b.delay == 0 {
		return false
	}
	b.trial = true
	return true
}

// Failed notes that work that was granted at a time could not reach the
// upstream. Of many failures at once, the first counts.
func (b *Backoff) Failed(now, granted time.Time, trial bool) {
	if !trial && b.delay > 0 && !granted.After(b.delayStart) {
		return
	}
	b.delay = min(max(2*b.delay, minDelay), maxDelay)
	b.delayStart = now
	b.retryAt = now.Add(b.delay)
	b.trial = false
}

// Reached notes that the upstream answered work that was granted at a time.
func (b *Backoff) Reached(granted time.Time, trial bool) {
	if trial || granted.After(b.delayStart) {
		*b = Backoff{}
	}
}

// Returned notes that a grant came back unused.
func (b *Backoff) Returned(trial bool) {
	if trial {
		b.trial = false
	}
}
