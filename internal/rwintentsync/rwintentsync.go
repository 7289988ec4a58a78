// Package rwintentsync carries traces from the router that may run their keys.
package rwintentsync

import (
	"slices"

	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwvmlist"
)

// Sync asks another router to remember traces.
type Sync struct {
	Version rwvmlist.Version `json:"version"`
	// Complete is whether Traces holds every key that the sender may have run.
	Complete bool              `json:"full,omitempty"`
	Intents  []rwintent.Intent `json:"traces"`
	// Part is whether a full note follows, of which these are a part.
	Part bool `json:"part,omitempty"`
}

// Split returns the note as a sequence of notes with at most size traces, of
// which the last is the full one.
func (n Sync) Split(size int) []Sync {
	var out []Sync
	for c := range slices.Chunk(n.Intents, size) {
		out = append(out, Sync{Version: n.Version, Part: true, Intents: c})
	}
	if len(out) == 0 {
		return []Sync{n}
	}
	last := &out[len(out)-1]
	last.Part, last.Complete = false, n.Complete
	return out
}
