// Package rwlimit bounds a resource that is in use, such as open connections,
// running requests or bytes of memory.
package rwlimit

import "sync/atomic"

// Limit counts the units in use. It is safe for concurrent use.
type Limit struct {
	limit int64
	used  atomic.Int64
}

// New returns a limit with no units in use.
func New(limit int64) *Limit { return &Limit{limit: limit} }

// TryAcquire takes n units and reports whether they were available. If they were
// not, it takes none.
func (l *Limit) TryAcquire(n int64) bool {
	if l.used.Add(n) <= l.limit {
		return true
	}
	l.used.Add(-n)
	return false
}

// Release returns n units. A negative n takes units even beyond the limit.
func (l *Limit) Release(n int64) { l.used.Add(-n) }

// InUse returns the number of units in use.
func (l *Limit) InUse() int64 { return l.used.Load() }
