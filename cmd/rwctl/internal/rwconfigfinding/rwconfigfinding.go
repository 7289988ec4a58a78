// Package rwconfigfinding describes what a check of a front router's configuration
// found.
package rwconfigfinding

//go:generate go tool stringer -type=Severity -linecomment

// Severity is how serious a finding is.
type Severity int

// The severities, the most serious last.
const (
	Warning Severity = iota // warning
	Error                   // error
)

// MarshalText implements encoding.TextMarshaler.
func (i Severity) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Finding is one error or warning. It never holds a key.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the kind of entry and its quoted name, such as `route "r"`.
	Place string `json:"place"`
	// Text describes the problem.
	Text string `json:"text"`
}

// String returns the finding as a line of text.
func (f Finding) String() string { return f.Severity.String() + ": " + f.Place + ": " + f.Text }
