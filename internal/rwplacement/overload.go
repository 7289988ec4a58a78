package rwplacement

import "time"

const (
	// crowdedSlotRatio is the fraction of a cell's slots from whose use on the cell counts
	// as crowded: what one request takes, another one lacks.
	crowdedSlotRatio = 0.75
	// minSlack is the time that a request may still wait when it is granted because it
	// would otherwise be late.
	minSlack = 30 * time.Millisecond
)

// crowded reports whether the engines of a slow pool are nearly full.
func (p *Placer) crowded() bool {
	if !p.slowPool() {
		return false
	}
	running := 0
	for _, id := range p.availableIDs {
		running += p.engines[id].running
	}
	return float64(running) >= crowdedSlotRatio*float64(p.spec.Slots*len(p.availableIDs))
}

// outOfTime reports whether a request would be late if it waited longer, while the engines
// have room. Refusing it would serve nobody.
func (p *Placer) outOfTime(now time.Time, w *queuedRequest, o option) bool {
	return !p.crowded() && o.forecast+minSlack >= p.timeLeft(now, w)
}

// lateWithCachedParts reports whether a request would be late on an idle engine that caches its shared
// parts, while the cell is crowded.
func (p *Placer) lateWithCachedParts(w *queuedRequest, o option) bool {
	m := o.engine.model
	need := m.FirstEventDelay() + m.PrefillTime(uniqueWork(m, w.request))
	return p.crowded() && need > scale(w.request.Target, forecastTargetRatio)
}

// yields reports whether the request goes after all others. In a crowded cell this holds
// for requests that come back after a refusal: for their callers, the target has mostly
// passed, so that they earn little for the place that they take from another request.
// Requests of accounts that are far below their share don't yield.
func (p *Placer) yields(now time.Time, w *queuedRequest) bool {
	return w.retry && p.crowded() && !p.starved(now, w)
}

// compareYields orders requests that yield after the others.
func compareYields(x, y *queuedRequest) int {
	switch {
	case x.yields == y.yields:
		return 0
	case y.yields:
		return -1
	default:
		return 1
	}
}
