// Package rwdecision defines what a router does with a non-idempotent call.
package rwdecision

import "redwingworks.example/internal/rwresult"

// Action is what to do with a call.
type Action int

// The actions.
const (
	// Answer returns Result to the caller.
	Answer Action = iota
	// Wait waits for the end of the same call, which is in progress.
	Wait
	// Run executes the call on this router.
	Run
	// Forward sends the call to the router To.
	Forward
)

// Decision is an action with its parameters.
type Decision struct {
	Action Action
	Result rwresult.Result
	To     string
	// Witnesses are the candidates, best first, of which one must store the
	// intent before the call may be executed. Empty if no witness is needed.
	Witnesses []string
	// TargetRecovering reports whether the router To may have just started, so
	// that it doesn't know yet which keys have been executed.
	TargetRecovering bool
	// NewIntent reports whether this router stored an intent that it didn't
	// have before.
	NewIntent bool
	// SelfIsWitness reports whether the intent stored on this router counts as
	// that of a witness.
	SelfIsWitness bool
}
