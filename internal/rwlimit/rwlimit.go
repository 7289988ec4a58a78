// Package rwlimit bounds an amount that is in use at one time, such as open
// connections, running requests or bytes in memory.
package rwlimit

import "sync/atomic"

// Limit counts what is in use. It is safe for concurrent use.
type Limit struct {
	limit int64
	used  atomic.Int64
}

// New returns a limit of which nothing is in use.
func New(limit int64) *Limit { return &Limit{limit: limit} }

// TryAcquire adds n and reports whether the sum is within the limit. If it is not,
// nothing is added.
func (l *Limit) TryAcquire(n int64) bool {
	if l.used.Add(n) <= l.limit {
		return true
	}
	l.used.Add(-n)
	return false
}

// Release returns n that was taken.
func (l *Limit) Release(n int64) { l.used.Add(-n) }

// InUse is what is in use now.
func (l *Limit) InUse() int64 { return l.used.Load() }
