// Package rwresult is the outcome of a call as routers keep it and send it to
// each other.
package rwresult

import (
	"net/http"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
)

// Result is an answer or a fault. It is immutable.
type Result struct {
	// Code is the text of the fault's code, or "" for an answer.
	Code    string            `json:"code,omitempty"`
	Outcome rwoutcome.Outcome `json:"outcome"`
	Detail  string            `json:"detail,omitempty"`
	// Retry is the time after which the caller may try again.
	Retry time.Duration `json:"retry,omitempty"`
	// Status, ContentType and Body are the upstream's answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Of returns the result of a call.
func Of(a *rwdispatch.Answer, err error) Result {
	if err != nil {
		f := rwfault.From(err)
		return Result{Code: f.Code.String(), Outcome: f.Outcome, Detail: f.Error(), Retry: f.RetryAfter}
	}
	return Result{Outcome: rwoutcome.Ran, Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
}

// Fault returns a result without an answer.
func Fault(code rwcode.Code, o rwoutcome.Outcome, detail string) Result {
	return Result{Code: code.String(), Outcome: o, Detail: detail}
}

// Unknown returns the result of a key of which nothing can be known.
func Unknown(detail string) Result {
	return Fault(rwcode.OutcomeUnknown, rwoutcome.Unknown, detail)
}

// Answer returns the result in the form of rwdispatch.
func (r Result) Answer() (*rwdispatch.Answer, error) {
	if r.Code != "" {
		return nil, rwfault.New(rwcode.Parse(r.Code), r.Detail).WithOutcome(r.Outcome).WithRetryAfter(r.Retry)
	}
	h := http.Header{}
	h.Set("Content-Type", r.ContentType)
	return &rwdispatch.Answer{Status: r.Status, Header: h, Body: r.Body}, nil
}
