// Package rwdecision is the decision about a call.
package rwdecision

import "redwingworks.example/internal/rwresult"

// Action is what to do with a call.
type Action int

// The steps.
const (
	// Answer gives the caller Result.
	Answer Action = iota
	// Wait waits for the end of the same call, which is in progress.
	Wait
	// Run runs the call here.
	Run
	// Forward sends the call to the router To.
	Forward
)

// Decision is the decision about a call.
type Decision struct {
	Action Action
	Result rwresult.Result
	To     string
	// Witnesses are the routers of which one has to remember the key before
	// the call may run, best first; none if no trace is needed.
	Witnesses []string
	// TargetRecovering is whether the router To may have just started, so that it can't
	// tell yet which keys have run.
	TargetRecovering bool
	// NewIntent is whether this router keeps a trace that it didn't have before.
	NewIntent bool
	// SelfIsWitness is whether this router keeps a trace that counts.
	SelfIsWitness bool
}
