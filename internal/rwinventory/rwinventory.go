// Package rwinventory describes what an engine says of its cache.
package rwinventory

import "redwingworks.example/internal/rwprompt"

// Inventory is the response of an engine that was asked for its cache.
type Inventory struct {
	// Parts are the prompt parts in the cache.
	Parts []rwprompt.Part
	// Leaving is whether the engine reports that it is leaving, which it may do in
	// the response of a failed call too.
	Leaving bool
}
