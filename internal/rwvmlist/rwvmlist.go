// Package rwvmlist defines the published VM list by which idempotency keys are
// assigned to routers.
package rwvmlist

import (
	"hash/fnv"
	"slices"

	"redwingworks.example/internal/rwrendezvous"
)

// handoffDepth is the number of routers, including the home router, that may
// take over a key in turn if all before them leave while the list stays the
// same. When all of them have left, the outcome of the key is unknown. Each
// additional rank costs a copy of the keys at every graceful shutdown.
const handoffDepth = 4

// Version orders lists by revision. The checksum distinguishes lists of the
// same revision: a router that has received only some of the records has a
// different list.
type Version struct {
	Rev      int64  `json:"rev"`
	Checksum uint64 `json:"sum"`
}

// List is an immutable list of published VMs.
type List struct {
	Version Version
	// Live are the names of the VMs in the state live, sorted.
	Live []string
	// All are the names of all published VMs, sorted.
	All []string
}

// New returns the list of a revision. The names in all include those in live.
func New(rev int64, live, all []string) List {
	l := List{Version: Version{Rev: rev}, Live: slices.Sorted(slices.Values(live)), All: slices.Sorted(slices.Values(all))}
	h := fnv.New64a()
	for _, set := range [][]string{l.Live, l.All} {
		for _, n := range set {
			_, _ = h.Write([]byte(n))
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte{1})
	}
	l.Version.Checksum = h.Sum64()
	return l
}

// Home returns the home router of a key, which is the live VM with the highest
// rank, or "" if no VM is live.
func (l List) Home(key string) string { return rwrendezvous.Top(key, l.Live) }

// Candidates returns the live VMs with the highest ranks for a key: its home,
// followed by those that may take it over in turn when the ones before have
// left.
func (l List) Candidates(key string) []string {
	order := rwrendezvous.Order(key, l.Live)
	return order[:min(handoffDepth, len(order))]
}
