// Package rwneed collects all that is wrong with a value, so that it can be
// corrected at once.
package rwneed

import (
	"strings"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// List is a list of needs that were not met. The zero value is empty.
type List struct {
	unmet []string
}

// Need adds what is needed unless it is met.
func (l *List) Need(met bool, what string) {
	if !met {
		l.unmet = append(l.unmet, what)
	}
}

// Fault returns one fault that names the value and lists everything, or nil.
func (l *List) Fault(code rwcode.Code, name string) error {
	if len(l.unmet) == 0 {
		return nil
	}
	return rwfault.New(code, name+": "+strings.Join(l.unmet, "; "))
}
