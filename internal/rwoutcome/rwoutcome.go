// Package rwoutcome defines what is known about the execution of a request.
package rwoutcome

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is what is known about the execution of a request.
type Outcome int

// The outcomes.
const (
	NotRun  Outcome = iota // not_run
	Ran                    // ran
	Unknown                // unknown
)
