// Package rwdirection describes faults of one direction of a connection.
package rwdirection

import "time"

// Direction holds the faults of one direction. The zero value has none.
type Direction struct {
	// Stall holds back all bytes and the end of the stream until it is cleared,
	// as TCP does while packets are lost.
	Stall bool
	// Delay is the one-way latency.
	Delay time.Duration
	// ThrottleBytes is the number of bytes to forward every ThrottleInterval; 0
	// for no limit.
	ThrottleBytes    int
	ThrottleInterval time.Duration
	// ResetAfter is the number of bytes of a connection after which it is
	// reset; 0 for never.
	ResetAfter int64
}
