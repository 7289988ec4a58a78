package rwplacement

// affinitySlotsRatio is the fraction of an engine's slots that only requests whose parts it
// caches may take.
const affinitySlotsRatio = 0.07

// hasSlot reports whether the engine has a slot for the request. Where slots are short, the
// last ones are kept for requests whose parts the engine caches. Without them, these
// requests go to engines that prefill or copy the parts, which takes capacity from all and
// evicts other parts.
func (p *Placer) hasSlot(e *engine, r Request) bool {
	if e.running >= p.spec.Slots {
		return false
	}
	kept := int(float64(p.spec.Slots) * affinitySlotsRatio)
	return !p.slowPool() || e.running < p.spec.Slots-kept || e.cache.CachedTokens(r.Parts) >= minCopyTokens
}
