// Package rwintentack defines the answer to a sync of intents or a handoff.
package rwintentack

import "redwingworks.example/internal/rwvmlist"

// Ack reports whether the receiver has stored what it was sent.
type Ack struct {
	OK bool `json:"ok"`
	// Seen is the highest list version that the receiver knows.
	Seen rwvmlist.Version `json:"seen"`
	// Inc is the receiver's incarnation.
	Inc int64 `json:"inc"`
}
