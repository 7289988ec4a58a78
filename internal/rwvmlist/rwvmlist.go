// Package rwvmlist is the published list of VMs as idempotency keys use it.
package rwvmlist

import (
	"hash/fnv"
	"slices"

	"redwingworks.example/internal/rwrendezvous"
)

// handoffDepth is how many routers, the home included, may leave before the list
// changes without a key being unknown. Each further one costs a copy of the
// keys at every graceful shutdown.
const handoffDepth = 4

// Version orders lists by revision. The sum tells lists of the same revision apart, which
// exist while a router has received only a part of the records.
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

// New returns a list of a revision. The names in all include those in live.
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

// Home is the live VM of the highest rank for a key, or "".
func (l List) Home(key string) string { return rwrendezvous.Top(key, l.Live) }

// Candidates are the live VMs of the highest ranks for a key: its home, and those
// that may hold the key one after the other when the ones before have left.
func (l List) Candidates(key string) []string {
	order := rwrendezvous.Order(key, l.Live)
	return order[:min(handoffDepth, len(order))]
}
