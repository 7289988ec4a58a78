// Package rwinboundrequest holds a caller's request as decoded by the router.
package rwinboundrequest

import (
	"net/http"
	"time"

	"redwingworks.example/internal/rwprompt"
)

// Request is a caller's request. It is immutable except for Body, which is read
// after the head.
type Request struct {
	// ID identifies one attempt of a caller and is unique.
	ID string
	// Host and Path select the route; Target is the path and query as sent by
	// the caller.
	Host, Path, Target, Method string
	// Key is the API key of a client account, or empty.
	Key string
	// Timeout is how long the caller waits, or 0 if it is not stated.
	Timeout time.Duration
	// LastEventID is the id of the last stream event that the caller has, or
	// empty.
	LastEventID string
	// Resumes is the id of the attempt that brought the first event of the
	// stream that the caller resumes, or empty.
	Resumes string
	Prompt  rwprompt.Prompt
	// Header holds the fields to forward to the upstream.
	Header http.Header
	Body   []byte
}
