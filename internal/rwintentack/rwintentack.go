// Package rwintentack is the answer to traces and handed-over keys.
package rwintentack

import "redwingworks.example/internal/rwvmlist"

// Ack says whether the receiver remembers what it was sent.
type Ack struct {
	OK bool `json:"ok"`
	// Seen is the highest list version that the receiver knows.
	Seen rwvmlist.Version `json:"seen"`
	// Inc is the receiver's incarnation.
	Inc int64 `json:"inc"`
}
