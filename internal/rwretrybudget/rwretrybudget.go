// Package rwretrybudget bounds retries, so that a failure of many upstreams doesn't
// multiply the load on the others.
package rwretrybudget

import "redwingworks.example/internal/rwcode"

const (
	// retriesPerRequest is the number of retries that each new request adds to
	// the budget.
	retriesPerRequest = 0.1
	// Burst is the capacity of the token bucket. A new budget is full, so that
	// the first requests can be retried.
	Burst = 10
)

// Budget is a token bucket of retries. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// New returns a full budget.
func New() *Budget { return &Budget{tokens: Burst} }

// Deposit adds retriesPerRequest to the budget. It is called for each new
// request, but not for its retries.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+retriesPerRequest, Burst) }

// Allow reports whether a request may be retried after a failure with the code,
// and takes the retry from the budget. A retry after a grant that was not used is
// free, since nothing was sent.
func (b *Budget) Allow(c rwcode.Code) bool {
	switch {
	case !Retryable(c):
		return false
	case !MayHaveBeenSent(c):
		return true
	case b.tokens < 1:
		return false
	}
	b.tokens--
	return true
}

// Retryable reports whether a request that failed with the code may succeed when
// it is sent again.
func Retryable(c rwcode.Code) bool {
	switch c {
	case rwcode.UpstreamUnreachable, rwcode.UpstreamLeaving, rwcode.UpstreamRefused,
		rwcode.UpstreamTruncated, rwcode.UpstreamMalformed, rwcode.UpstreamMismatch,
		rwcode.UpstreamTimeout, rwcode.GrantExpired, rwcode.Paused:
		return true
	default:
		return false
	}
}

// MayHaveBeenSent reports whether a failure with a retryable code may come after
// an attempt to connect to an upstream. For a code that is not retryable, it
// always returns true.
func MayHaveBeenSent(c rwcode.Code) bool {
	return c != rwcode.GrantExpired && c != rwcode.Paused
}
