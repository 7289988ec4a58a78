// Package rwpull defines the message of the method "pull".
package rwpull

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// maxChecksums is the maximum number of checksums in a message.
const maxChecksums = 1024

// Pull requests records.
type Pull struct {
	// After selects the records with higher revisions.
	After int64 `json:"after"`
	// Checksums, if not empty, selects instead the records of the buckets whose
	// checksums differ in the receiver's store; routers that know parts leave out those
	// up to After.
	Checksums []uint64 `json:"sums,omitempty"`
	// Parts is whether the sender can ask for records in parts.
	Parts bool `json:"parts,omitempty"`
}

// Decode decodes a message. It fails with PeerMalformed.
func Decode(data []byte) (Pull, error) {
	var p Pull
	if err := json.Unmarshal(data, &p); err != nil {
		return Pull{}, rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if p.After < 0 || len(p.Checksums) > maxChecksums {
		return Pull{}, rwfault.New(rwcode.PeerMalformed, "pull has a negative revision or too many checksums")
	}
	return p, nil
}
