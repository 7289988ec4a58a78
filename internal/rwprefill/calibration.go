package rwprefill

import (
	"time"

	"redwingworks.example/internal/rwprefillfit"
)

const (
	// fitHalfLife is the half-life of an engine's own samples. It is long because first
	// events come in steps: few samples give engines of one speed different rates.
	fitHalfLife = 20 * time.Second
	// maxFitDelay bounds the delay of a first event. It is several steps of a full
	// chunk: chunks of 4,096 tokens take 100 ms on slow engines.
	maxFitDelay = time.Second
	// fitDelayWeight is the weight of a small prompt in the delay; prompts of
	// fitDelayTokens have half of it.
	fitDelayWeight = 0.1
	fitDelayTokens = 2_000
)

// Calibration is what the samples of a pool of engines show.
type Calibration struct {
	// Rate is the prefill rate in tokens per second that is assumed of an engine
	// without samples of its own. If it is 0, models don't use the samples.
	Rate float64
	// PairCost is the cost of a pair of tokens, in tokens.
	PairCost float64
}

// fit measures an engine from the times between first events. An engine prefills
// prompts in order, so it was busy with a prompt from the end of the one before, or from
// its arrival if that is later. These times add up to the time that it was busy, also
// where several prompts ended in one chunk; a rate for each pair of events would weigh
// the short times most, and read 130,000 tokens per second where engines do 40,000.
type fit struct {
	own, pool   *rwprefillfit.Fit
	calibration Calibration
	// delay is the time from the end of a prefill to the first event while no prompt
	// is prefilled after it.
	delay time.Duration
	// tokens and finishedAt are the position and the time up to which the engine
	// is known to have prefilled.
	tokens     float64
	finishedAt time.Time
}

func newFit(pool *rwprefillfit.Fit) fit {
	return fit{own: rwprefillfit.New(fitHalfLife), pool: pool, delay: initialDelay}
}

// NewPooled returns the model of an idle engine that adds its samples to those of a
// pool.
func NewPooled(pool *rwprefillfit.Fit) *Model {
	m := New()
	m.fit = newFit(pool)
	return m
}

// WithCalibration sets the calibration and returns the model.
func (m *Model) WithCalibration(c Calibration) *Model {
	m.fit.calibration = c
	m.calibrated = c.Rate > 0
	return m
}

// Work returns what a prompt costs, in tokens.
func (m *Model) Work(cached, uncached float64) float64 {
	return uncached + m.fit.calibration.PairCost*rwprefillfit.Pairs(cached, uncached)
}

// SendPrompt records that a prompt was sent, of which some tokens are cached once they
// have been copied in copyTime.
func (m *Model) SendPrompt(now time.Time, cached, uncached float64, copyTime time.Duration) *Prompt {
	p := m.Send(now, m.Work(cached, uncached))
	p.sample = rwprefillfit.Sample{Tokens: uncached, Pairs: rwprefillfit.Pairs(cached, uncached)}
	p.startAt = now.Add(copyTime)
	return p
}

// firstEvent adds the sample of a prompt; last is whether no prompt was sent after it.
func (f *fit) firstEvent(now time.Time, p *Prompt, last bool) {
	if p.end <= f.tokens || p.startAt.IsZero() {
		return
	}
	// If a prompt before this one has no first event, the time can't be divided
	// between them.
	alone := p.start <= f.tokens
	f.tokens = p.end
	begun := p.startAt
	idle := !f.finishedAt.After(begun)
	if !idle {
		begun = f.finishedAt
	}
	f.finishedAt = now.Add(-f.delay)
	if !alone {
		return
	}
	s := p.sample
	s.Took = max(f.finishedAt.Sub(begun), 0)
	f.own.Add(now, s)
	if f.pool != nil {
		f.pool.Add(now, s)
	}
	if !idle || !last {
		// Chunks of prompts behind this one made the steps to its first event
		// longer.
		return
	}
	// The delay is that of small prompts on an idle engine and the rate is mostly that
	// of large ones: with the same samples for both, a delay that is too long makes the
	// engine look fast, which makes the delay longer.
	work := s.Tokens + f.calibration.PairCost*s.Pairs
	delay := min(max(now.Sub(begun)-time.Duration(work/f.rate(now)*float64(time.Second)), 0), maxFitDelay)
	weight := fitDelayWeight / (1 + work*work/fitDelayTokens/fitDelayTokens)
	f.delay += time.Duration(weight * float64(delay-f.delay))
}

func (f *fit) rate(now time.Time) float64 {
	prior := f.calibration.Rate
	if prior <= 0 {
		prior = initialRate
	}
	return f.own.Rate(now, f.calibration.PairCost, prior)
}

// Overdue returns by how much the first event of the prompt that the engine prefills now
// is later than expected, or 0.
func (m *Model) Overdue(now time.Time) time.Duration {
	for _, p := range m.pending {
		if !p.overtaken {
			return max(now.Sub(p.dueAt), 0)
		}
	}
	return 0
}
