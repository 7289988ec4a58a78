// Package rwbundle defines the message with configuration records that one
// router sends to another as a "push" or as the answer to a "pull".
package rwbundle

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwrecord"
)

// MaxBytes limits the sum of the record sizes in a bundle. A single record or those of
// one revision may be larger; the links accept messages up to 1.2 MB.
const MaxBytes = 256 << 10

// recordOverhead is the maximum size of a record's envelope in bytes.
const recordOverhead = 200

// Bundle is a set of records.
type Bundle struct {
	// Items are sorted by revision.
	Items []rwrecord.Record `json:"items,omitempty"`
	// Leaving are the upstreams known to be leaving.
	Leaving []rwleaving.Upstream `json:"leaving,omitempty"`
	// More reports whether there are further records that didn't fit.
	More bool `json:"more,omitempty"`
	// InParts reports whether the records are left out, because they have to be asked
	// for in parts.
	InParts bool `json:"inParts,omitempty"`
}

// IsLarge reports whether the records exceed MaxBytes, so that they may not fit a
// message.
func (b Bundle) IsLarge() bool {
	size := 0
	for _, r := range b.Items {
		size += recordSize(r)
	}
	return size > MaxBytes
}

func recordSize(r rwrecord.Record) int {
	return len(r.Value) + len(r.Kind) + len(r.Name) + recordOverhead
}

// Decode decodes a bundle. It fails with PeerMalformed.
func Decode(data []byte) (Bundle, error) {
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return Bundle{}, rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if err := CheckRecords(b.Items); err != nil {
		return Bundle{}, err
	}
	for _, l := range b.Leaving {
		if l.Name == "" {
			return Bundle{}, rwfault.New(rwcode.PeerMalformed, "leaving upstream has no name")
		}
	}
	return b, nil
}

// CheckRecords fails with PeerMalformed if a record lacks what all records have.
func CheckRecords(items []rwrecord.Record) error {
	for _, r := range items {
		if r.Kind == "" || r.Name == "" || r.Rev <= 0 {
			return rwfault.New(rwcode.PeerMalformed, "record has no kind, name or revision")
		}
	}
	return nil
}

// Split divides records, which must be sorted by revision, into bundles of at
// most MaxBytes. Records of one revision stay together even beyond that, so that
// a receiver can request the rest by the last revision that it got.
func Split(items []rwrecord.Record) []Bundle {
	var out []Bundle
	size := 0
	for i, r := range items {
		n := recordSize(r)
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
