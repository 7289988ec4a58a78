// Package rwpicker chooses upstreams of plain services. It answers upstreams
// that fail, refuse, slow down or can't be reached while they look healthy: the
// choice follows the outcomes of this router's own requests, and a sick
// upstream gets a request now and then, so that no separate probes are needed.
// It holds no clock and no I/O.
package rwpicker

import (
	"math"
	"time"

	"redwingworks.example/internal/rwfailure"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
)

const (
	// otherZone is the load that an upstream of another zone must be below
	// this zone's to be preferred, as a part of its slots.
	otherZone = 0.35
	// failureScale weighs an upstream's failure rate against its load.
	failureScale = 3
	// failureWeight is the weight of one outcome in the rate.
	failureWeight = 0.3
	// refusedPause keeps requests off an upstream that refused one, downPause
	// off one that can't be reached; the latter doubles up to maxDownPause.
	refusedPause = 100 * time.Millisecond
	downPause    = 500 * time.Millisecond
	maxDownPause = 4 * time.Second
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.2
	// slowScale weighs a mean latency of twice the fastest's against load.
	slowScale = 0.5
	// explore is how often each upstream gets a request at least, so that the
	// latencies of all are known.
	explore = 3 * time.Second
	// exploreGain is what an upstream whose latency isn't known gains against
	// the others; it outweighs the zone of an idle one.
	exploreGain = otherZone + 0.05
	// forget drops what is known of an upstream that is no longer chosen.
	forget = time.Minute
)

// Picker is the state of one router for one service. It is not safe for
// concurrent use.
type Picker struct {
	zone  string
	stats map[string]*stat
}

type stat struct {
	active   int
	failures rwfailure.Rate
	// at is when a request last ended.
	at      time.Time
	latency time.Duration
	until   time.Time
	pause   time.Duration
	// used is when the upstream was last chosen.
	used time.Time
}

// New returns the state for a router of a zone.
func New(zone string) *Picker { return &Picker{zone: zone, stats: map[string]*stat{}} }

// Pick returns the upstream for a request and counts it as active. It fails if
// all upstreams are to be avoided.
func (s *Picker) Pick(now time.Time, list []rwinstance.Instance, avoid func(id string) bool) (rwinstance.Instance, bool) {
	fastest := time.Duration(math.MaxInt64)
	for _, in := range list {
		if st := s.stats[in.ID]; st != nil && st.latency > 0 {
			fastest = min(fastest, st.latency)
		}
	}
	best, bestCost := -1, math.Inf(1)
	for i, in := range list {
		if avoid(in.ID) {
			continue
		}
		if c := s.cost(now, in, fastest); c < bestCost {
			best, bestCost = i, c
		}
	}
	if best < 0 {
		return rwinstance.Instance{}, false
	}
	st := s.stat(now, list[best].ID)
	st.active++
	st.used = now
	return list[best], true
}

// cost is finite, so that the least bad upstream is chosen if all are sick.
func (s *Picker) cost(now time.Time, in rwinstance.Instance, fastest time.Duration) float64 {
	c := 0.0
	if in.Zone != s.zone {
		c += otherZone
	}
	st := s.stats[in.ID]
	if st == nil {
		return c - exploreGain
	}
	if now.Sub(st.used) > explore {
		c -= exploreGain
	}
	c += float64(st.active) / float64(in.Slots)
	c += failureScale * st.failures.At(now)
	if st.latency > fastest {
		c += slowScale * (float64(st.latency)/float64(fastest) - 1)
	}
	if now.Before(st.until) {
		c += 100 + st.until.Sub(now).Seconds()
	}
	return c
}

// Done notes the end of a request on an upstream.
func (s *Picker) Done(now time.Time, id string, end rwplacement.End, took time.Duration) {
	st := s.stat(now, id)
	st.active--
	st.at = now
	switch end {
	case rwplacement.Served:
		st.failures.Record(now, false, failureWeight)
		st.pause = 0
		if st.latency == 0 {
			st.latency = took
		}
		st.latency += time.Duration(latencyWeight * float64(took-st.latency))
	case rwplacement.Failed:
		st.failures.Record(now, true, failureWeight)
	case rwplacement.Refused:
		st.until = now.Add(refusedPause)
	case rwplacement.Unreachable:
		if !now.Before(st.until) {
			st.pause = min(max(2*st.pause, downPause), maxDownPause)
			st.until = now.Add(st.pause)
		}
	case rwplacement.Abandoned:
	}
}

func (s *Picker) stat(now time.Time, id string) *stat {
	st := s.stats[id]
	if st == nil {
		for old, x := range s.stats {
			if x.active == 0 && now.Sub(x.at) > forget {
				delete(s.stats, old)
			}
		}
		st = &stat{at: now}
		s.stats[id] = st
	}
	return st
}
