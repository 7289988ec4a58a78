// Package rwpicker picks upstreams of plain services. It handles upstreams that
// fail, refuse, slow down or can't be reached while their health checks pass:
// it follows the outcomes of this router's own requests, and still sends a
// request to a failing upstream now and then, so that no separate probes are
// needed. The package reads no clock and does no I/O.
package rwpicker

import (
	"math"
	"time"

	"redwingworks.example/internal/rwfailure"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
)

const (
	// otherZoneCost is the additional load, as a fraction of the slots, that
	// the router's own zone may have before an upstream of another zone is
	// preferred.
	otherZoneCost = 0.35
	// failureCost weighs an upstream's failure rate against its load.
	failureCost = 3
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.3
	// refusedBackoff keeps requests off an upstream that refused one;
	// minUnreachableBackoff keeps them off one that can't be reached, and
	// doubles up to maxUnreachableBackoff.
	refusedBackoff        = 100 * time.Millisecond
	minUnreachableBackoff = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// latencyWeight is the weight of one response in the mean latency.
	latencyWeight = 0.2
	// latencyCost is the load that a mean latency of twice the fastest
	// upstream's counts as.
	latencyCost = 0.5
	// exploreInterval is how long an upstream may go without a request before
	// it is explored, so that the latencies of all upstreams are known.
	exploreInterval = 3 * time.Second
	// exploreBonus lowers the cost of an upstream that is to be explored; it is
	// larger than otherZoneCost.
	exploreBonus = otherZoneCost + 0.05
	// statsTTL is how long the stats of an upstream are kept at least after its
	// last request; they are removed when stats of a new upstream are added.
	statsTTL = time.Minute
)

// Picker picks upstreams for one router and one service. It is not safe for
// concurrent use.
type Picker struct {
	zone  string
	stats map[string]*stats
}

type stats struct {
	active   int
	failures rwfailure.Rate
	// lastEnded is when a request last ended.
	lastEnded  time.Time
	latency    time.Duration
	avoidUntil time.Time
	backoff    time.Duration
	// lastPicked is when the upstream was last picked.
	lastPicked time.Time
}

// New returns a picker for a router in a zone.
func New(zone string) *Picker { return &Picker{zone: zone, stats: map[string]*stats{}} }

// Pick returns the upstream for a request and counts the request as active. It
// returns false if all upstreams are to be avoided.
func (p *Picker) Pick(now time.Time, list []rwinstance.Instance, avoid func(id string) bool) (rwinstance.Instance, bool) {
	fastest := time.Duration(math.MaxInt64)
	for _, in := range list {
		if st := p.stats[in.ID]; st != nil && st.latency > 0 {
			fastest = min(fastest, st.latency)
		}
	}
	best, bestCost := -1, math.Inf(1)
	for i, in := range list {
		if avoid(in.ID) {
			continue
		}
		if c := p.cost(now, in, fastest); c < bestCost {
			best, bestCost = i, c
		}
	}
	if best < 0 {
		return rwinstance.Instance{}, false
	}
	st := p.statsOf(now, list[best].ID)
	st.active++
	st.lastPicked = now
	return list[best], true
}

// cost is always finite, so that the least bad upstream is picked if all are
// failing.
func (p *Picker) cost(now time.Time, in rwinstance.Instance, fastest time.Duration) float64 {
	c := 0.0
	if in.Zone != p.zone {
		c += otherZoneCost
	}
	st := p.stats[in.ID]
	if st == nil {
		return c - exploreBonus
	}
	if now.Sub(st.lastPicked) > exploreInterval {
		c -= exploreBonus
	}
	c += float64(st.active) / float64(in.Slots)
	c += failureCost * st.failures.At(now)
	if st.latency > fastest {
		c += latencyCost * (float64(st.latency)/float64(fastest) - 1)
	}
	if now.Before(st.avoidUntil) {
		c += 100 + st.avoidUntil.Sub(now).Seconds()
	}
	return c
}

// Done records the end of a request on an upstream.
func (p *Picker) Done(now time.Time, id string, end rwplacement.End, took time.Duration) {
	st := p.statsOf(now, id)
	st.active--
	st.lastEnded = now
	switch end {
	case rwplacement.Served:
		st.failures.Record(now, false, failureWeight)
		st.backoff = 0
		if st.latency == 0 {
			st.latency = took
		}
		st.latency += time.Duration(latencyWeight * float64(took-st.latency))
	case rwplacement.Failed:
		st.failures.Record(now, true, failureWeight)
	case rwplacement.Refused:
		st.avoidUntil = now.Add(refusedBackoff)
	case rwplacement.Unreachable:
		if !now.Before(st.avoidUntil) {
			st.backoff = min(max(2*st.backoff, minUnreachableBackoff), maxUnreachableBackoff)
			st.avoidUntil = now.Add(st.backoff)
		}
	case rwplacement.Abandoned:
	}
}

func (p *Picker) statsOf(now time.Time, id string) *stats {
	st := p.stats[id]
	if st == nil {
		for old, x := range p.stats {
			if x.active == 0 && now.Sub(x.lastEnded) > statsTTL {
				delete(p.stats, old)
			}
		}
		st = &stats{lastEnded: now}
		p.stats[id] = st
	}
	return st
}
