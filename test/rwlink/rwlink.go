// Package rwlink describes faults of the connections between two processes.
package rwlink

import "redwingworks.example/test/rwdirection"

// Link holds the faults of the connections from one source to one target. The
// zero value has none.
type Link struct {
	// Refuse resets existing and new connections.
	Refuse bool
	// Hang accepts new connections and never responds to them.
	Hang bool
	// Up is the direction from the connecting side, Down the opposite one.
	Up, Down rwdirection.Direction
}
