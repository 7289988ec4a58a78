// Package rwmaxmin computes max-min fair shares.
package rwmaxmin

import (
	"math"
	"slices"
)

// Share returns the share of each claimant that asks for more than it gets
// when a capacity is divided max-min fairly: claimants below the level get all
// they ask for. It is infinite if the demands fit into the capacity.
func Share(capacity float64, demands []float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	left := capacity
	for i, d := range sorted {
		even := left / float64(len(sorted)-i)
		if d > even {
			return even
		}
		left -= d
	}
	return math.Inf(1)
}
