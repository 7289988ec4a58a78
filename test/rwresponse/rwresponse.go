// Package rwresponse defines the result of a request as its caller sees it.
package rwresponse

import (
	"time"

	"redwingworks.example/test/rwverdict"
)

// Response is the result of a request after all its attempts.
type Response struct {
	Verdict rwverdict.Verdict
	// Code and Outcome are from the last error response. A connection failure
	// has the code "connection" and no outcome.
	Code, Outcome string
	// Detail describes the error.
	Detail string
	// Router is the address of the router of the last attempt.
	Router string
	// RequestID is the ID that the router assigned to the request.
	RequestID string
	// Attempts is the number of times that the caller sent the request.
	Attempts int
	// FailedOutcomes are the outcomes of the attempts that did not succeed.
	FailedOutcomes []string
	// Tokens is the number of tokens received in the last attempt.
	Tokens int
	// Picked is when the router of the last attempt was chosen. Sent is when its
	// request had been written or, if it failed before that, when it failed.
	Picked, Sent time.Time
	// Unused is how long the connection of the last attempt had carried no
	// request when this one was sent; 0 if the connection was new.
	Unused time.Duration
	// TimeToFirstToken and TotalTime count from the start of the first attempt.
	TimeToFirstToken, TotalTime time.Duration
	// RetryAfter reports whether the error response had a Retry-After header.
	RetryAfter bool
}
