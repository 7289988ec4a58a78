package rwcost_test

import (
	"flag"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwcost"
)

// A fixed seed makes the result the same on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against estimates that follow the hint instead of the learned mean.
func TestEstimate(t *testing.T) {
	c := rwcost.New()
	require.Equal(t, 1.0, c.Estimate("a", "k", 1e9), "nothing learned")
	c.Learn("b", "other", 40)
	require.Equal(t, 40.0, c.Estimate("a", "k", 0), "mean of all kinds")
	c.Learn("b", "k", 80)
	require.Equal(t, 80.0, c.Estimate("a", "k", 0), "mean of the kind")
	c.Learn("a", "k", 20)
	require.Equal(t, 20.0, c.Estimate("a", "k", 0), "mean of the account and kind")
	require.Equal(t, 25.0, c.Estimate("a", "k", 40), "a quarter from the hint")
	require.InDelta(t, 15.0, c.Estimate("a", "k", 1e-9), 1e-6, "a hint far too low")
	require.Equal(t, c.Max(), c.Estimate("a", "k", 1e9), "no more than the largest cost seen")
}

// Guards against a hint, however absurd, that moves the estimate out of the range
// of what requests cost.
func TestEstimateStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rwcost.New()
		largest := 1.0
		for _, cost := range rapid.SliceOfN(rapid.Float64Range(0.5, 5000), 1, 50).Draw(t, "costs") {
			c.Learn("a", "k", cost)
			largest = max(largest, cost)
		}
		for _, hint := range []float64{rapid.Float64().Draw(t, "hint"), math.NaN(), math.Inf(1), math.Inf(-1)} {
			e := c.Estimate("a", "k", hint)
			require.GreaterOrEqual(t, e, 0.75*0.5)
			require.LessOrEqual(t, e, largest)
		}
	})
}

// Guards against a mean that one outlier dominates, or that doesn't follow a
// change of the load.
func TestMeanFollows(t *testing.T) {
	c := rwcost.New()
	for range 100 {
		c.Learn("a", "k", 100)
	}
	c.Learn("a", "k", 1000)
	require.Less(t, c.Estimate("a", "k", 0), 160.0)
	for range 100 {
		c.Learn("a", "k", 300)
	}
	require.InDelta(t, 300, c.Estimate("a", "k", 0), 3)
}
