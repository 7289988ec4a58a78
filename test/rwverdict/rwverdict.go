// Package rwverdict classifies how a request ended for its caller.
package rwverdict

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict classifies the end of a request as its caller sees it.
type Verdict int

// The verdicts. No fault may cause Wrong: the response looked complete but was
// not, or it belonged to another request.
const (
	Complete Verdict = iota // whole
	Refused                 // refused
	Broken                  // broken
	Wrong                   // wrong
)
