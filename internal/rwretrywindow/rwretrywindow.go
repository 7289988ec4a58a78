// Package rwretrywindow bounds the repeats that a router sends, so that all routers
// together stay within the fleet's bound in any window.
package rwretrywindow

import "time"

const (
	// part is how much of the fleet's bound is used; the rest is room for
	// routers that see other numbers of members or requests at the moment.
	part = 0.8
	// buckets is into how many steps the window is divided.
	buckets = 20
)

// Budget counts the requests and repeats of one router for one service. It is
// not safe for concurrent use.
type Budget struct {
	share, extra float64
	step         time.Duration
	// from is the start of the newest bucket.
	from     time.Time
	requests [buckets]float64
	repeats  [buckets]float64
}

// New returns a budget for a bound: repeats in any window are at most share
// times the requests in it, and extra.
func New(share, extra float64, window time.Duration) *Budget {
	return &Budget{share: share * part, extra: extra * part, step: window / buckets}
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.roll(now)
	b.requests[0]++
}

// Allow takes a repeat from the budget, which is shared by a number of routers.
func (b *Budget) Allow(now time.Time, routers int) bool {
	b.roll(now)
	requests, repeats := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if repeats+1 > b.share*requests+b.extra/float64(max(routers, 1)) {
		return false
	}
	b.repeats[0]++
	return true
}

func (b *Budget) roll(now time.Time) {
	if b.from.IsZero() {
		b.from = now
	}
	for n := 0; now.Sub(b.from) >= b.step; n++ {
		if n >= buckets {
			b.from = now
			return
		}
		copy(b.requests[1:], b.requests[:])
		copy(b.repeats[1:], b.repeats[:])
		b.requests[0], b.repeats[0] = 0, 0
		b.from = b.from.Add(b.step)
	}
}
