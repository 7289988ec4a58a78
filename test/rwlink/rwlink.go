// Package rwlink describes faults of connections between two processes.
package rwlink

import "redwingworks.example/test/rwdirection"

// Link is the state of the connections from one source to one target. The
// zero value forwards everything.
type Link struct {
	// Refuse resets present and new connections.
	Refuse bool
	// Hang accepts new connections and never answers them.
	Hang bool
	// Up is the direction from the connecting side, Down the other one.
	Up, Down rwdirection.Direction
}
