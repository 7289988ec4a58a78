// Package rwbundle is a set of configuration records that one router sends to
// another, as "push" or as the answer to "pull".
package rwbundle

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwrecord"
)

// MaxBytes is the largest sum of record sizes in a bundle of several records.
// A single record may be larger; the links admit 1.2 MB.
const MaxBytes = 256 << 10

// recordOverhead is the size of the envelope of a record, at most.
const recordOverhead = 200

// Bundle is a set of records.
type Bundle struct {
	// Items are ordered by revision.
	Items []rwrecord.Record `json:"items,omitempty"`
	// Leaving are upstreams known to be leaving.
	Leaving []rwleaving.Upstream `json:"leaving,omitempty"`
	// More is true if there are further records that didn't fit.
	More bool `json:"more,omitempty"`
}

// Decode reads a bundle. It fails with PeerMalformed.
func Decode(data []byte) (Bundle, error) {
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return Bundle{}, rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	for _, r := range b.Items {
		if r.Kind == "" || r.Name == "" || r.Rev <= 0 {
			return Bundle{}, rwfault.New(rwcode.PeerMalformed, "record without kind, name or revision")
		}
	}
	for _, l := range b.Leaving {
		if l.Name == "" {
			return Bundle{}, rwfault.New(rwcode.PeerMalformed, "leaving upstream without a name")
		}
	}
	return b, nil
}

// Split divides records, which are ordered by revision, into bundles of at
// most MaxBytes. Records of one revision stay together, so that a receiver can
// ask for the rest by the last revision it got.
func Split(items []rwrecord.Record) []Bundle {
	var out []Bundle
	size := 0
	for i, r := range items {
		n := len(r.Value) + len(r.Kind) + len(r.Name) + recordOverhead
		same := i > 0 && items[i-1].Rev == r.Rev
		if len(out) == 0 || (size+n > MaxBytes && !same) {
			out, size = append(out, Bundle{}), 0
		}
		last := &out[len(out)-1]
		last.Items = append(last.Items, r)
		size += n
	}
	for i := range out {
		out[i].More = i < len(out)-1
	}
	return out
}
