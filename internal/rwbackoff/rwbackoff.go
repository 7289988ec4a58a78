// Package rwbackoff implements exponential back-off from an upstream that can't
// be reached or refuses work: after a delay that doubles with each failure, one
// trial request decides whether the upstream gets work again.
package rwbackoff

import "time"

const (
	// minDelay is about the time that a process takes to reopen its listener
	// after a restart.
	minDelay = 100 * time.Millisecond
	// maxDelay bounds the time for which a recovered upstream stays unused.
	maxDelay = 3200 * time.Millisecond
)

// Backoff is the state of one upstream. The zero value allows work.
type Backoff struct {
	// delay is the current delay, 0 while all work is allowed.
	delay time.Duration
	// delayStart is when the current delay began. Results of work that was
	// granted before then don't change the state.
	delayStart time.Time
	retryAt    time.Time
	// trial is whether the trial request is running.
	trial bool
}

// Allows reports whether new work may go to the upstream.
func (b *Backoff) Allows(now time.Time) bool {
	return b.delay == 0 || (!b.trial && !now.Before(b.retryAt))
}

// RetryAt returns when the trial may start, zero while all work is allowed or the
// trial is running.
func (b *Backoff) RetryAt() time.Time {
	if b.delay == 0 || b.trial {
		return time.Time{}
	}
	return b.retryAt
}

// Granted records that work was granted and reports whether it is the trial.
func (b *Backoff) Granted() bool {
	if b.delay == 0 {
		return false
	}
	b.trial = true
	return true
}

// Failed records that work that was granted at the given time did not reach the
// upstream or was refused by it. Of many failures at once, only the first
// counts.
func (b *Backoff) Failed(now, granted time.Time, trial bool) {
	if !trial && b.delay > 0 && !granted.After(b.delayStart) {
		return
	}
	b.delay = min(max(2*b.delay, minDelay), maxDelay)
	b.delayStart = now
	b.retryAt = now.Add(b.delay)
	b.trial = false
}

// Reached records that work that was granted at the given time reached the
// upstream.
func (b *Backoff) Reached(granted time.Time, trial bool) {
	if trial || granted.After(b.delayStart) {
		*b = Backoff{}
	}
}

// Returned records that a grant was returned unused.
func (b *Backoff) Returned(trial bool) {
	if trial {
		b.trial = false
	}
}
