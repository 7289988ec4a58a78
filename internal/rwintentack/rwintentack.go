// Package rwintentack defines the answer to a sync of intents or a handoff.
package rwintentack

import "redwingworks.example/internal/rwvmlist"

// Ack reports whether the receiver has stored what it was sent and accepts the
// sender's incarnation and list version. If OK is false, it may have stored the
// intents all the same.
type Ack struct {
	OK bool `json:"ok"`
	// Seen is the highest list version that the receiver knows.
	Seen rwvmlist.Version `json:"seen"`
	// Inc is the receiver's incarnation.
	Inc int64 `json:"inc"`
}
