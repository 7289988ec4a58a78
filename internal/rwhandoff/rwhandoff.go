// Package rwhandoff defines the message by which a leaving router hands its
// keys over to the routers of the next ranks.
package rwhandoff

import (
	"slices"

	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwvmlist"
)

// Handoff contains every key that the sender may have executed and for which
// the receiver is a successor.
type Handoff struct {
	Version rwvmlist.Version `json:"version"`
	// Inc is the receiver's incarnation. A later incarnation has lost the keys
	// that this one executed for the sender.
	Inc     int64             `json:"inc"`
	Intents []rwintent.Intent `json:"traces"`
	// Part reports whether another message follows. Only the last one transfers
	// the right to execute the sender's keys.
	Part bool `json:"part,omitempty"`
}

// Split returns the handoff as a sequence of messages with at most size intents
// each.
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
