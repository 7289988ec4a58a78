// Package rwprobecall is a membership message that has to be sent.
package rwprobecall

import "redwingworks.example/internal/rwprobe"

// ProbeCall is a message to a router.
type ProbeCall struct {
	// ID identifies the answer; 0 means that no answer is expected.
	ID uint64
	// Addr is the peer address of the receiver.
	Addr string
	// Method is "ping" or "probe".
	Method string
	// Probe is the message.
	Probe rwprobe.Probe
}
