// Package rwintent is the record that a key may have run.
package rwintent

import (
	"slices"
	"time"

	"redwingworks.example/internal/rwresult"
)

// Intent says that a router may have run the call of a key.
type Intent struct {
	// Key is scoped by client account.
	Key string `json:"key"`
	// Digest identifies the method, path and body of the call.
	Digest string `json:"digest"`
	// Router and Inc name the router incarnation that may have run the call; Inc
	// is 0 where a router only knows that it forwarded the call to By.
	Router string `json:"by,omitempty"`
	Inc    int64  `json:"inc,omitempty"`
	// OtherRouters are further routers that may have run it.
	OtherRouters []string `json:"also,omitempty"`
	// TTL is how long the trace must still be kept.
	TTL time.Duration `json:"left"`
	// Refused are attempts that were told that they didn't run. Only a handoff
	// has them; the key then is one that has not run.
	Refused []string `json:"refused,omitempty"`
	// Result is the known outcome, or nil.
	Result *rwresult.Result `json:"result,omitempty"`
}

// MayHaveRun reports whether a router may have run the call.
func (t Intent) MayHaveRun(name string) bool {
	return t.Router == name || slices.Contains(t.OtherRouters, name)
}
