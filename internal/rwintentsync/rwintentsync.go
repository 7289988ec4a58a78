// Package rwintentsync defines the message that replicates intents to another
// router.
package rwintentsync

import (
	"slices"

	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwvmlist"
)

// Sync asks another router to store intents.
type Sync struct {
	Version rwvmlist.Version `json:"version"`
	// Complete reports whether Intents, together with the parts before it,
	// contains every key that the sender may have executed.
	Complete bool              `json:"full,omitempty"`
	Intents  []rwintent.Intent `json:"traces"`
	// Part reports whether this is a part of a complete sync, of which more
	// parts follow.
	Part bool `json:"part,omitempty"`
}

// Split returns the sync as a sequence of messages with at most size intents
// each. Only the last one has Complete set, if s has.
func (s Sync) Split(size int) []Sync {
	var out []Sync
	for c := range slices.Chunk(s.Intents, size) {
		out = append(out, Sync{Version: s.Version, Part: true, Intents: c})
	}
	if len(out) == 0 {
		return []Sync{s}
	}
	last := &out[len(out)-1]
	last.Part, last.Complete = false, s.Complete
	return out
}
