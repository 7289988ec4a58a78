// Package rwresponse is the result of one request.
package rwresponse

import (
	"time"

	"redwingworks.example/test/rwverdict"
)

// Response is the result of one request, after all its repeats.
type Response struct {
	Verdict rwverdict.Verdict
	// Code and Outcome are those of the last refusal. A transport failure has
	// the code "connection" and no outcome.
	Code, Outcome string
	// Detail says what was wrong.
	Detail string
	// Router is the address of the last router asked.
	Router string
	// RequestID is the identifier that the router gave the request.
	RequestID string
	// Attempts is the number of times that the caller sent the request.
	Attempts int
	// FailedOutcomes lists the outcome of each attempt that did not succeed.
	FailedOutcomes []string
	// Tokens is the number of chunks received in the last attempt.
	Tokens int
	// TimeToFirstToken and Total count from the start of the first attempt.
	TimeToFirstToken, TotalTime time.Duration
	// RetryAfter is whether the refusal told the caller when to come back.
	RetryAfter bool
}
