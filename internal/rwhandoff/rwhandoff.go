// Package rwhandoff passes the authority for keys to the router of the next
// rank.
package rwhandoff

import (
	"slices"

	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwvmlist"
)

// Handoff holds every key that the sender may have run and whose next rank is
// the receiver.
type Handoff struct {
	Version rwvmlist.Version `json:"version"`
	// Inc is the receiver's incarnation. A later one has lost the keys that
	// it ran for the sender.
	Inc     int64             `json:"inc"`
	Intents []rwintent.Intent `json:"traces"`
	// Part is whether another message follows. Only the last one passes the
	// authority on.
	Part bool `json:"part,omitempty"`
}

// Split returns the handoff as a sequence of messages with at most size
// traces.
func (h Handoff) Split(size int) []Handoff {
	var out []Handoff
	for c := range slices.Chunk(h.Intents, size) {
		out = append(out, Handoff{Version: h.Version, Inc: h.Inc, Intents: c, Part: true})
	}
	if len(out) == 0 {
		return []Handoff{h}
	}
	out[len(out)-1].Part = false
	return out
}
