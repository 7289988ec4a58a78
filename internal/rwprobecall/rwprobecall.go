// Package rwprobecall defines an outgoing membership message.
package rwprobecall

import "redwingworks.example/internal/rwprobe"

// ProbeCall is a membership message to send to a router.
type ProbeCall struct {
	// ID identifies the answer; 0 means that no answer is expected.
	ID uint64
	// Addr is the receiver's peer address.
	Addr string
	// Method is "ping" or "probe".
	Method string
	// Probe is the content of the message.
	Probe rwprobe.Probe
}
