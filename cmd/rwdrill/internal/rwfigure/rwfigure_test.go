package rwfigure_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwdrill/internal/rwfigure"
)

// Guards against a missed bound, or a figure that was not measured, that is
// printed as met.
func TestVerdicts(t *testing.T) {
	cases := map[string]rwfigure.Figure{
		"a 3 u <=5 baseline=9 met":          {Name: "a", Value: 3, Unit: "u", Bound: 5, Baseline: 9},
		"a 6 u <=5 baseline=- missed":       {Name: "a", Value: 6, Unit: "u", Bound: 5, Baseline: math.NaN()},
		"a 0.96 u >=0.97 baseline=1 missed": {Name: "a", Value: 0.96, Unit: "u", Bound: 0.97, AtLeast: true, Baseline: 1},
		"a - u <=5 baseline=1 not_measured": {Name: "a", Value: math.NaN(), Unit: "u", Bound: 5, Baseline: 1},
		"a - u >=5 baseline=1 not_measured": {Name: "a", Value: math.NaN(), Unit: "u", Bound: 5, AtLeast: true, Baseline: 1},
		"a 0.97 u >=0.97 baseline=0.5 met":  {Name: "a", Value: 0.97, Unit: "u", Bound: 0.97, AtLeast: true, Baseline: 0.5},
		"a 0.123 u <=0.2 baseline=0.25 met": {Name: "a", Value: 0.123, Unit: "u", Bound: 0.2, Baseline: 0.25},
		"a 0.201 u <=0.2 baseline=0 missed": {Name: "a", Value: 0.201, Unit: "u", Bound: 0.2, Baseline: 0},
	}
	for want, f := range cases {
		require.Equal(t, want, f.String())
	}
}
