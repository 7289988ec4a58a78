// Package rwpull is the message of the method "pull".
package rwpull

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// maxChecksums bounds a decoded message.
const maxChecksums = 1024

// Pull asks for records.
type Pull struct {
	// After asks for records of higher revisions.
	After int64 `json:"after"`
	// Checksums, if there are any, asks instead for the records of the buckets in
	// which the sums of the receiver's store differ.
	Checksums []uint64 `json:"sums,omitempty"`
}

// Decode reads a message. It fails with PeerMalformed.
func Decode(data []byte) (Pull, error) {
	var p Pull
	if err := json.Unmarshal(data, &p); err != nil {
		return Pull{}, rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if p.After < 0 || len(p.Checksums) > maxChecksums {
		return Pull{}, rwfault.New(rwcode.PeerMalformed, "pull with a negative revision or too many sums")
	}
	return p, nil
}
