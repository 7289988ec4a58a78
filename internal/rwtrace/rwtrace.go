// Package rwtrace is the record that a key may have run.
package rwtrace

import (
	"slices"
	"time"

	"redwingworks.example/internal/rwresult"
)

// Trace says that a router may have run the call of a key.
type Trace struct {
	// Key is scoped by client account.
	Key string `json:"key"`
	// Digest identifies the method, path and body of the call.
	Digest string `json:"digest"`
	// By and Inc name the router incarnation that may have run the call; Inc
	// is 0 where a router only knows that it forwarded the call to By.
	By  string `json:"by,omitempty"`
	Inc int64  `json:"inc,omitempty"`
	// Also are further routers that may have run it.
	Also []string `json:"also,omitempty"`
	// Left is how long the trace must still be kept.
	Left time.Duration `json:"left"`
	// Refused are attempts that were told that they didn't run. Only a handoff
	// has them; the key then is one that has not run.
	Refused []string `json:"refused,omitempty"`
	// Result is the known outcome, or nil.
	Result *rwresult.Result `json:"result,omitempty"`
}

// May reports whether a router may have run the call.
func (t Trace) May(name string) bool { return t.By == name || slices.Contains(t.Also, name) }
