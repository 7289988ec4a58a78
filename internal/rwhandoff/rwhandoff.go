// Package rwhandoff passes the authority for keys to the router of the next
// rank.
package rwhandoff

import (
	"redwingworks.example/internal/rwlist"
	"redwingworks.example/internal/rwtrace"
)

// Handoff holds every key that the sender may have run and whose next rank is
// the receiver.
type Handoff struct {
	Version rwlist.Version `json:"version"`
	// Inc is the receiver's incarnation. A later one has lost the keys that
	// it ran for the sender.
	Inc    int64           `json:"inc"`
	Traces []rwtrace.Trace `json:"traces"`
}
