// Package rwprefillfit measures what prefilling a prompt costs an engine: a time for
// each token that isn't cached, and a time for each pair of such a token with a token
// before it, for which attention is computed. With long prompts the second part is as
// large as the first: where a million pairs take 0.65 ms, a prompt of 17,000 tokens of
// which 3,700 aren't cached takes 60 ms for its tokens and 36 ms for its pairs.
//
// The fit is a least-squares regression over samples whose weight decays. The package
// reads no clock.
package rwprefillfit

import (
	"math"
	"time"
)

const (
	// pairsUnit scales pairs to the magnitude of tokens.
	pairsUnit = 1e-4
	// maxPairCost bounds the cost of a pair, in tokens: a token then costs twice as
	// much at a context of 10,000 tokens. Samples that are mostly noise would
	// otherwise give any ratio.
	maxPairCost = 1e-4
	// minPairSamples is the least weight of the samples from which the cost of
	// pairs is taken.
	minPairSamples = 40
	// halfWeightTokens is the size of a sample from which its weight no longer grows
	// with the square of the size: one prompt of 50,000 tokens would otherwise count
	// as much as 150 common ones.
	halfWeightTokens = 4_000
	// priorSamples is the weight of the prior: it counts as this many samples of
	// halfWeightTokens.
	priorSamples = 4
)

// Sample is one observation of an engine.
type Sample struct {
	// Tokens is the number of tokens that were prefilled; Pairs is the number of
	// pairs of one of them with a token before it.
	Tokens, Pairs float64
	// Took is how long the engine was busy with them.
	Took time.Duration
}

// Pairs returns the number of pairs for a prompt of which the last tokens aren't
// cached.
func Pairs(cached, uncached float64) float64 { return uncached * (cached + uncached/2) }

// Fit is a regression over the samples of one engine or of a pool of them. It is not
// safe for concurrent use.
type Fit struct {
	halfLife time.Duration
	at       time.Time
	// n is the weight of the samples; the others are sums of products.
	n, tt, tp, pp, ts, ps float64
}

// New returns an empty fit whose samples lose half of their weight in halfLife.
func New(halfLife time.Duration) *Fit { return &Fit{halfLife: halfLife} }

// Add adds a sample.
func (f *Fit) Add(now time.Time, s Sample) {
	f.decay(now)
	t, p, took := s.Tokens, s.Pairs*pairsUnit, s.Took.Seconds()
	w := 1 / (1 + t/halfWeightTokens)
	f.n++
	f.tt += w * t * t
	f.tp += w * t * p
	f.pp += w * p * p
	f.ts += w * t * took
	f.ps += w * p * took
}

// Samples returns the weight of the samples.
func (f *Fit) Samples(now time.Time) float64 {
	f.decay(now)
	return f.n
}

// PairCost returns the cost of a pair in tokens, or 0 while it isn't known.
func (f *Fit) PairCost(now time.Time) float64 {
	f.decay(now)
	det := f.tt*f.pp - f.tp*f.tp
	if f.n < minPairSamples || det <= 0.01*f.tt*f.pp {
		return 0
	}
	a, b := (f.ts*f.pp-f.ps*f.tp)/det, (f.ps*f.tt-f.ts*f.tp)/det
	if a <= 0 {
		return maxPairCost
	}
	return min(max(b/a*pairsUnit, 0), maxPairCost)
}

// Rate returns the prefill rate in tokens per second, where a pair counts as pairCost
// tokens. With few samples it is close to the prior.
func (f *Fit) Rate(now time.Time, pairCost, prior float64) float64 {
	f.decay(now)
	q := pairCost / pairsUnit
	const weight = priorSamples * halfWeightTokens * halfWeightTokens / 2
	work := f.tt + 2*q*f.tp + q*q*f.pp + weight
	took := f.ts + q*f.ps + weight/prior
	return work / took
}

func (f *Fit) decay(now time.Time) {
	d := now.Sub(f.at)
	if d <= 0 {
		return
	}
	f.at = now
	x := math.Exp2(-d.Seconds() / f.halfLife.Seconds())
	f.n, f.tt, f.tp, f.pp, f.ts, f.ps = f.n*x, f.tt*x, f.tp*x, f.pp*x, f.ts*x, f.ps*x
}
