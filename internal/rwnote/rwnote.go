// Package rwnote carries traces from the router that may run their keys.
package rwnote

import (
	"redwingworks.example/internal/rwlist"
	"redwingworks.example/internal/rwtrace"
)

// Note asks another router to remember traces.
type Note struct {
	Version rwlist.Version `json:"version"`
	// Full is whether Traces holds every key that the sender may have run.
	Full   bool            `json:"full,omitempty"`
	Traces []rwtrace.Trace `json:"traces"`
}
