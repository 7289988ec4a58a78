// Package rwrendezvous ranks names for a key by rendezvous hashing: adding or
// removing a name moves only the keys for which that name ranks first.
package rwrendezvous

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Score returns the score of a name for a key. Equal inputs give equal scores
// in every process.
func Score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// WeightedScore returns a score with which names rank first for a fraction of
// the keys in proportion to their shares. A share must be above 0; with equal
// shares the order is that of Score.
func WeightedScore(key, name string, share float64) float64 {
	// fraction is the score scaled into the open interval from 0 to 1.
	fraction := (float64(Score(key, name)>>11) + 0.5) / (1 << 53)
	return -share / math.Log(fraction)
}

// mix is the 64-bit finaliser of MurmurHash3. FNV-1a alone leaves the high
// bits of names that differ only in the last byte correlated.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Top returns the name with the highest score, or "" if there are no names.
func Top(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range names {
		s := Score(key, n)
		if best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}

// Order returns the names in descending order of score.
func Order(key string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
	})
	return out
}
