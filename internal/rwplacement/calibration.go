package rwplacement

import (
	"time"

	"redwingworks.example/internal/rwprefill"
)

const (
	// poolHalfLife is the half-life of the samples of all engines together.
	poolHalfLife = 10 * time.Second
	// calibrationInterval is how long a calibration is used.
	calibrationInterval = 100 * time.Millisecond
	// slowPoolRate is the measured prefill rate in tokens per second below which
	// the engines of a pool count as slow, and fastPoolRate the one above which
	// they no longer do. Models of engines start at 120,000, which suits the rates
	// above; below, forecasts at that rate promise twice what the engines do, and
	// a third of what was granted came late.
	slowPoolRate, fastPoolRate = 80_000, 95_000
	// minPoolSamples is the least number of samples that show a slow pool.
	minPoolSamples = 30
)

// calibrate measures the engines of the pool. If they are slow, their models start
// and, without events, return to what the pool shows, and they count attention.
func (p *Placer) calibrate(now time.Time) {
	if now.Sub(p.calibrationAt) < calibrationInterval {
		return
	}
	p.calibrationAt = now
	limit := float64(slowPoolRate)
	if p.slowPool() {
		limit = fastPoolRate
	}
	if p.pool.Samples(now) < minPoolSamples {
		return
	}
	var c rwprefill.Calibration
	if plain := p.pool.Rate(now, 0, limit); plain < limit {
		c.PairCost = p.pool.PairCost(now)
		c.Rate = p.pool.Rate(now, c.PairCost, plain)
	}
	p.calibration = c
	for _, e := range p.engines {
		e.model.WithCalibration(c)
	}
}

// slowPool reports whether the engines are slower than the rate at which models start.
func (p *Placer) slowPool() bool { return p.calibration.Rate > 0 }

// uniqueWork returns what a request costs, in tokens, if its shared parts are cached.
func uniqueWork(m *rwprefill.Model, r Request) float64 {
	return m.Work(float64(promptTokens(r)-r.UniqueTokens), float64(r.UniqueTokens))
}

// work returns what the request costs at the engine, in tokens.
func (o option) work(r Request) float64 {
	return o.engine.model.Work(float64(promptTokens(r))-o.uncachedTokens, o.uncachedTokens)
}
