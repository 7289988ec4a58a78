// Package rwretrybudget bounds retries, so that a fault of many upstreams does not
// multiply the load on the others.
package rwretrybudget

import "redwingworks.example/internal/rwcode"

const (
	// share is the number of retries that each fresh request earns.
	share = 0.1
	// Burst is the largest number of retries that can be saved up; a new
	// budget starts with it, so that the first requests can be retried.
	Burst = 10
)

// Budget is a token bucket of retries. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// New returns a full budget.
func New() *Budget { return &Budget{tokens: Burst} }

// Deposit counts a request that is not a retry.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+share, Burst) }

// Allow reports whether a request may be retried after a failure with the
// code, and takes the retry from the budget. A retry after a grant that was
// not used costs nothing: it sends nothing again.
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

// Retryable reports whether a failure with the code may go away when the
// request is sent again.
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

// MayHaveBeenSent reports whether a failure with the code may come after an attempt to
// reach an upstream.
func MayHaveBeenSent(c rwcode.Code) bool {
	return c != rwcode.GrantExpired && c != rwcode.Paused
}
