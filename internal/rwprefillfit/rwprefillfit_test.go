package rwprefillfit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// samples adds samples of an engine that prefills 64,000 tokens a second and needs
// pairTime seconds for a pair.
func samples(f *Fit, n int, pairTime, noise float64) time.Time {
	rng := rand.New(rand.NewPCG(1, 2))
	now := start
	for range n {
		now = now.Add(20 * time.Millisecond)
		own, cached := 500+8_000*rng.Float64(), []float64{13_300, 6_300, 350}[rng.IntN(3)]
		s := Sample{Tokens: own, Pairs: Pairs(cached, own)}
		s.Took = time.Duration((own/64_000 + s.Pairs*pairTime + noise*rng.NormFloat64()) * 1e9)
		f.Add(now, s)
	}
	return now
}

// Guards against forecasts for long prompts that leave out the attention to the tokens
// before, which takes as long as the tokens themselves.
func TestPairsAreFound(t *testing.T) {
	f := New(10 * time.Second)
	now := samples(f, 400, 0.647e-9, 0.01)
	require.InDelta(t, 0.647e-9*64_000, f.PairCost(now), 0.25*0.647e-9*64_000)
	require.InDelta(t, 64_000, f.Rate(now, f.PairCost(now), 120_000), 7_000)
}

// Guards against a cost of pairs that is only noise.
func TestNoPairCost(t *testing.T) {
	f := New(10 * time.Second)
	require.Zero(t, f.PairCost(samples(f, minPairSamples/2, 0.647e-9, 0)))
	f = New(10 * time.Second)
	require.Less(t, f.PairCost(samples(f, 400, 0, 0.01)), 0.1*0.647e-9*64_000)
	f = New(10 * time.Second)
	for range 100 {
		f.Add(start, Sample{Tokens: 1000, Pairs: 1e6, Took: time.Millisecond})
	}
	require.Zero(t, f.PairCost(start), "tokens and pairs can't be told apart")
}

// Guards against a new or idle engine whose rate is far from that of its pool.
func TestRateStartsAndEndsAtThePrior(t *testing.T) {
	f := New(time.Second)
	require.InDelta(t, 50_000, f.Rate(start, 0, 50_000), 1)
	now := samples(f, 100, 0, 0)
	require.InDelta(t, 64_000, f.Rate(now, 0, 50_000), 5_000)
	require.InDelta(t, 50_000, f.Rate(now.Add(20*time.Second), 0, 50_000), 500)
	require.Less(t, f.Samples(now.Add(20*time.Second)), 0.1)
}
