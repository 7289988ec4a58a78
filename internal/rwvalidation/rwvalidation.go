// Package rwvalidation collects all that is wrong with a value, so that it can be
// corrected at once.
package rwvalidation

import (
	"strings"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Problems is a list of needs that were not met. The zero value is empty.
type Problems struct {
	unmet []string
}

// Require adds what is needed unless it is met.
func (l *Problems) Require(met bool, what string) {
	if !met {
		l.unmet = append(l.unmet, what)
	}
}

// Err returns one fault that names the value and lists everything, or nil.
func (l *Problems) Err(code rwcode.Code, name string) error {
	if len(l.unmet) == 0 {
		return nil
	}
	return rwfault.New(code, name+": "+strings.Join(l.unmet, "; "))
}
