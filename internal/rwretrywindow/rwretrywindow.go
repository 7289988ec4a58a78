// Package rwretrywindow bounds the repeats that a router sends, so that all routers
// together stay within the fleet's bound in any window.
package rwretrywindow

import "time"

const (
	// safetyFactor is how much of the fleet's bound is used; the rest is room for
	// routers that see other numbers of members or requests at the moment.
	safetyFactor = 0.8
	// bucketCount is into how many steps the window is divided.
	bucketCount = 20
)

// Budget counts the requests and repeats of one router for one service. It is
// not safe for concurrent use.
type Budget struct {
	ratio, extra float64
	bucketWidth  time.Duration
	// bucketStart is the start of the newest bucket.
	bucketStart time.Time
	requests    [bucketCount]float64
	retries     [bucketCount]float64
}

// New returns a budget for a bound: repeats in any window are at most share
// times the requests in it, and extra.
func New(share, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: share * safetyFactor, extra: extra * safetyFactor, bucketWidth: window / bucketCount}
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[0]++
}

// Allow takes a repeat from the budget, which is shared by a number of routers.
func (b *Budget) Allow(now time.Time, routers int) bool {
	b.advance(now)
	requests, repeats := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.retries[i]
	}
	if repeats+1 > b.ratio*requests+b.extra/float64(max(routers, 1)) {
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
