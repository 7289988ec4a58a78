// Package rwbackoff holds work back from an upstream that can't be reached:
// after a delay that doubles with each failure, one trial decides.
package rwbackoff

import "time"

const (
	// firstDelay is about the time in which a process restarts its listener.
	firstDelay = 100 * time.Millisecond
	// maxDelay bounds how long a recovered upstream stays unused.
	maxDelay = 3200 * time.Millisecond
)

// Backoff is the state of one upstream. The zero value lets work through.
type Backoff struct {
	delay time.Duration
	// since is when the current delay began; work that was granted before
	// it says nothing about a failure after it.
	since time.Time
	until time.Time
	trial bool
}

// Allows reports whether new work may go to the upstream.
func (b *Backoff) Allows(now time.Time) bool {
	return b.delay == 0 || (!b.trial && !now.Before(b.until))
}

// RetryAt is when the trial may start, zero when work isn't held back or the
// trial runs.
func (b *Backoff) RetryAt() time.Time {
	if b.delay == 0 || b.trial {
		return time.Time{}
	}
	return b.until
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
	if !trial && b.delay > 0 && !granted.After(b.since) {
		return
	}
	b.delay = min(max(2*b.delay, firstDelay), maxDelay)
	b.since = now
	b.until = now.Add(b.delay)
	b.trial = false
}

// Reached notes that the upstream answered work that was granted at a time.
func (b *Backoff) Reached(granted time.Time, trial bool) {
	if trial || granted.After(b.since) {
		*b = Backoff{}
	}
}

// Returned notes that a grant came back unused.
func (b *Backoff) Returned(trial bool) {
	if trial {
		b.trial = false
	}
}
