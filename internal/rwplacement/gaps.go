package rwplacement

import "time"

const (
	// gapPrefillRatio is the fraction of the shortest gap target that an engine may
	// spend on prefilling. The rest is for the steps in which streams get the tokens of
	// an event.
	gapPrefillRatio = 0.9
	// overdueLimit is how late the first event of the prompt that an engine prefills may
	// be until the engine counts as paused. What it is sent then makes its steps longer
	// when they are slow already.
	overdueLimit = 80 * time.Millisecond
	// longPromptStreamCost is the delay that each running stream counts as when a
	// prompt is so long that their events are late.
	longPromptStreamCost = 15 * time.Millisecond
)

// noteGap follows the shortest gap target, as Submit does the shortest target.
func (p *Placer) noteGap(r Request) {
	if r.GapTarget <= 0 {
		return
	}
	if p.minGap == 0 || r.GapTarget < p.minGap {
		p.minGap = r.GapTarget
	} else {
		p.minGap = scale(p.minGap, targetGrowthPerRequest)
	}
}

// paced reports whether prefilling is kept from delaying the events of streams. Faster
// engines prefill what their queue holds in a small part of the gap.
func (p *Placer) paced() bool { return p.minGap > 0 && p.slowPool() }

// gapWait returns for how long to keep a request from the engine, so that prefilling it
// doesn't delay the events of streams there. A prompt that is too long by itself starts
// once the engine has prefilled little in the time before. When an engine that pauses goes
// on isn't known; it is expected to take as long again.
func (p *Placer) gapWait(now time.Time, o option) time.Duration {
	if !p.paced() {
		return 0
	}
	wait := time.Duration(0)
	if overdue := o.engine.model.Overdue(now); overdue > overdueLimit {
		wait = overdue
	}
	limit := scale(p.minGap, gapPrefillRatio)
	room := limit - o.prefill
	if p.isLong(o) {
		room = limit / 4
	}
	return max(wait, o.engine.prefills.Wait(now, o.prefill, p.minGap, room))
}

// isLong reports whether events of the streams at the engine are late because of the
// prompt, whatever else the engine prefills.
func (p *Placer) isLong(o option) bool { return o.prefill > scale(p.minGap, gapPrefillRatio) }

// gapCost returns the delay that the late events of other streams count as. It sends long
// prompts to engines that run few streams.
func (p *Placer) gapCost(o option) time.Duration {
	if !p.paced() || !p.isLong(o) {
		return 0
	}
	return longPromptStreamCost * time.Duration(o.engine.running)
}
