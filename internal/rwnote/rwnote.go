// Package rwnote carries traces from the router that may run their keys.
package rwnote

import (
	"slices"

	"redwingworks.example/internal/rwlist"
	"redwingworks.example/internal/rwtrace"
)

// Note asks another router to remember traces.
type Note struct {
	Version rwlist.Version `json:"version"`
	// Full is whether Traces holds every key that the sender may have run.
	Full   bool            `json:"full,omitempty"`
	Traces []rwtrace.Trace `json:"traces"`
	// Part is whether a full note follows, of which these are a part.
	Part bool `json:"part,omitempty"`
}

// Split returns the note as a sequence of notes with at most size traces, of
// which the last is the full one.
func (n Note) Split(size int) []Note {
	var out []Note
	for c := range slices.Chunk(n.Traces, size) {
		out = append(out, Note{Version: n.Version, Part: true, Traces: c})
	}
	if len(out) == 0 {
		return []Note{n}
	}
	last := &out[len(out)-1]
	last.Part, last.Full = false, n.Full
	return out
}
