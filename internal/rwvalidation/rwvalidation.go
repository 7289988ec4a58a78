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
func (p *Problems) Require(ok bool, rule string) {
	if !ok {
		p.unmet = append(p.unmet, rule)
	}
}

// Err returns one fault that names the value and lists everything, or nil.
func (p *Problems) Err(code rwcode.Code, name string) error {
	if len(p.unmet) == 0 {
		return nil
	}
	return rwfault.New(code, name+": "+strings.Join(p.unmet, "; "))
}
