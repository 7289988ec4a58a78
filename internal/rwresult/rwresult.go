// Package rwresult defines the result of a call as routers store it and send it
// to each other.
package rwresult

import (
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwoutcome"
)

// Result is a response or a fault. It is immutable.
type Result struct {
	// Code is the name of the fault's code, or "" for a response.
	Code    string            `json:"code,omitempty"`
	Outcome rwoutcome.Outcome `json:"outcome"`
	Detail  string            `json:"detail,omitempty"`
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration `json:"retry,omitempty"`
	// Status, ContentType and Body are from the upstream's response.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Fault returns a Result that is a fault.
func Fault(code rwcode.Code, o rwoutcome.Outcome, detail string) Result {
	return Result{Code: code.String(), Outcome: o, Detail: detail}
}

// Unknown returns the Result of a call whose outcome is unknown.
func Unknown(detail string) Result {
	return Fault(rwcode.OutcomeUnknown, rwoutcome.Unknown, detail)
}
