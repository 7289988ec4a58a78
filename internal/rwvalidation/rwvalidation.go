// Package rwvalidation collects all problems of a value, so that they can be
// corrected together.
package rwvalidation

import (
	"strings"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Problems is a list of violated rules. The zero value is empty.
type Problems struct {
	unmet []string
}

// Require adds the rule unless ok is true.
func (p *Problems) Require(ok bool, rule string) {
	if !ok {
		p.unmet = append(p.unmet, rule)
	}
}

// Err returns a single fault that names the value and lists all violated rules,
// or nil if there are none.
func (p *Problems) Err(code rwcode.Code, name string) error {
	if len(p.unmet) == 0 {
		return nil
	}
	return rwfault.New(code, name+": "+strings.Join(p.unmet, "; "))
}
