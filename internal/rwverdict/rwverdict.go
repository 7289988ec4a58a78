// Package rwverdict is the decision about a call.
package rwverdict

import "redwingworks.example/internal/rwresult"

// Step is what to do with a call.
type Step int

// The steps.
const (
	// Answer gives the caller Result.
	Answer Step = iota
	// Wait waits for the end of the same call, which is in progress.
	Wait
	// Run runs the call here.
	Run
	// Forward sends the call to the router To.
	Forward
)

// Verdict is the decision about a call.
type Verdict struct {
	Step   Step
	Result rwresult.Result
	To     string
	// Witnesses are the routers of which one has to remember the key before
	// the call may run, best first; none if no trace is needed.
	Witnesses []string
	// Young is whether the router To may have just started, so that it can't
	// tell yet which keys have run.
	Young bool
	// Fresh is whether this router keeps a trace that it didn't have before.
	Fresh bool
	// Holds is whether this router keeps a trace that counts.
	Holds bool
}
