// Package rwretrywindow limits the retries of a router so that all routers
// together stay within the fleet's retry budget in every time window.
package rwretrywindow

import "time"

const (
	// safetyFactor is the fraction of the fleet's budget that is used. The rest
	// allows for routers that currently see a different number of members or
	// requests.
	safetyFactor = 0.8
	// bucketCount is the number of buckets per window.
	bucketCount = 20
)

// Budget counts the requests and retries of one router for one service. It is
// not safe for concurrent use.
type Budget struct {
	ratio, extra float64
	bucketWidth  time.Duration
	// bucketStart is the start of the newest bucket.
	bucketStart time.Time
	requests    [bucketCount]float64
	retries     [bucketCount]float64
}

// New returns a budget that allows at most ratio times the number of requests,
// plus extra, retries in every window.
func New(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio * safetyFactor, extra: extra * safetyFactor, bucketWidth: window / bucketCount}
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[0]++
}

// Allow reports whether a retry is within the budget, which is shared by the
// given number of routers, and counts it if so.
func (b *Budget) Allow(now time.Time, routers int) bool {
	b.advance(now)
	requests, retries := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+1 > b.ratio*requests+b.extra/float64(max(routers, 1)) {
		return false
	}
	b.retries[0]++
	return true
}

func (b *Budget) advance(now time.Time) {
	if b.bucketStart.IsZero() {
		b.bucketStart = now
	}
	for n := 0; now.Sub(b.bucketStart) >= b.bucketWidth; n++ {
		if n >= bucketCount {
			b.bucketStart = now
			return
		}
		copy(b.requests[1:], b.requests[:])
		copy(b.retries[1:], b.retries[:])
		b.requests[0], b.retries[0] = 0, 0
		b.bucketStart = b.bucketStart.Add(b.bucketWidth)
	}
}
