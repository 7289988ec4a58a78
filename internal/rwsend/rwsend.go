// Package rwsend is a membership message that has to be sent.
package rwsend

import "redwingworks.example/internal/rwprobe"

// Send is a message to a router.
type Send struct {
	// Call identifies the answer; 0 means that no answer is expected.
	Call uint64
	// Addr is the peer address of the receiver.
	Addr string
	// Method is "ping" or "probe".
	Method string
	// Probe is the message.
	Probe rwprobe.Probe
}
