// Package rwresult is the outcome of a call as routers keep it and send it to
// each other.
package rwresult

import (
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwoutcome"
)

// Result is an answer or a fault. It is immutable.
type Result struct {
	// Code is the text of the fault's code, or "" for an answer.
	Code    string            `json:"code,omitempty"`
	Outcome rwoutcome.Outcome `json:"outcome"`
	Detail  string            `json:"detail,omitempty"`
	// RetryAfter is the time after which the caller may try again.
	RetryAfter time.Duration `json:"retry,omitempty"`
	// Status, Type and Body are the upstream's answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Fault returns a result without an answer.
func Fault(code rwcode.Code, o rwoutcome.Outcome, detail string) Result {
	return Result{Code: code.String(), Outcome: o, Detail: detail}
}

// Unknown returns the result of a key of which nothing can be known.
func Unknown(detail string) Result {
	return Fault(rwcode.OutcomeUnknown, rwoutcome.Unknown, detail)
}
