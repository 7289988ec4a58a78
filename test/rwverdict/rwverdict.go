// Package rwverdict says how a request ended for its caller.
package rwverdict

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict is the end of a request as its caller sees it.
type Verdict int

// The verdicts. Wrong is the only one that no fault may cause: the answer
// looked complete but was not, or belonged to another request.
const (
	Complete Verdict = iota // whole
	Refused                 // refused
	Broken                  // broken
	Wrong                   // wrong
)
