// Package rwack is the answer to traces and handed-over keys.
package rwack

import "redwingworks.example/internal/rwlist"

// Ack says whether the receiver remembers what it was sent.
type Ack struct {
	OK bool `json:"ok"`
	// Seen is the highest list version that the receiver knows.
	Seen rwlist.Version `json:"seen"`
	// Inc is the receiver's incarnation.
	Inc int64 `json:"inc"`
}
