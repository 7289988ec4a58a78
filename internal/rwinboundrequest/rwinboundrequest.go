// Package rwinboundrequest is a caller's request as the router understands it.
package rwinboundrequest

import (
	"net/http"
	"time"

	"redwingworks.example/internal/rwprompt"
)

// Request is a caller's request. It is immutable but for Body, which is read
// after the head.
type Request struct {
	// ID names one attempt of a caller; it is unique.
	ID string
	// Host and Path select the route; Target is the path with the query as
	// the caller sent it.
	Host, Path, Target, Method string
	// Key belongs to a client account, or is empty.
	Key string
	// Timeout is how long the caller waits; 0 means that it didn't say.
	Timeout time.Duration
	// LastEventID is the id of the last stream event that the caller has, or empty.
	LastEventID string
	Prompt      rwprompt.Prompt
	// Header holds the fields that go on to the upstream.
	Header http.Header
	Body   []byte
}
