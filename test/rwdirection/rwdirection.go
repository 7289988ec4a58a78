// Package rwdirection describes faults of one direction of a connection.
package rwdirection

import "time"

// Direction is the state of one direction. The zero value forwards at once.
type Direction struct {
	// Stall holds all bytes, and the end of the stream, until it is switched
	// off, as TCP does while packets are lost.
	Stall bool
	// Delay is the one-way latency.
	Delay time.Duration
	// ThrottleBytes is the number of bytes to forward every DripGap; 0 for no limit.
	ThrottleBytes    int
	ThrottleInterval time.Duration
	// ResetAfter is the number of bytes of a connection after which it is
	// reset; 0 for never.
	ResetAfter int64
}
