// Package rwpath describes faults of one direction of a connection.
package rwpath

import "time"

// Path is the state of one direction. The zero value forwards at once.
type Path struct {
	// Stop holds all bytes, and the end of the stream, until it is switched
	// off, as TCP does while packets are lost.
	Stop bool
	// Delay is the one-way latency.
	Delay time.Duration
	// Drip is the number of bytes to forward every DripGap; 0 for no limit.
	Drip    int
	DripGap time.Duration
	// ResetAfter is the number of bytes of a connection after which it is
	// reset; 0 for never.
	ResetAfter int64
}
