// Package rwdialect abstracts the header fields that the callers and upstreams
// of a platform use.
package rwdialect

import (
	"net/http"
	"time"

	"redwingworks.example/internal/rwinboundrequest"
)

// Dialect translates between header fields and the router's types. All
// functions must be set.
type Dialect struct {
	// Decode reads the head of a caller's request.
	Decode func(*http.Request) rwinboundrequest.Request
	// Encode returns the header fields of a request to an upstream.
	Encode func(rwinboundrequest.Request, ForwardOptions) http.Header
	// Inspect reads the head of an upstream's response.
	Inspect func(*http.Response) ResponseInfo
}

// ForwardOptions is what the router adds to a forwarded request.
type ForwardOptions struct {
	// Account is the name of the client account, or empty.
	Account string
	// Instance is the only incarnation that may run the request.
	Instance string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// LastEventID is the id of the last stream event that the caller has, or
	// empty.
	LastEventID string
	// CopySource is the address of an engine to copy prompt parts from, or
	// empty.
	CopySource string
}

// ResponseInfo is the decoded head of a response.
type ResponseInfo struct {
	// RequestID is the id of the request that the response answers, or empty.
	RequestID string
	// NotRun is whether the upstream reports that it didn't run the request.
	NotRun bool
	// WrongInstance is whether the address now belongs to another incarnation, which
	// doesn't say yet that the request didn't run.
	WrongInstance bool
	// Authentic is whether the response carries the upstream's signature and its
	// body is the one that the upstream sent.
	Authentic bool
	// Leaving is whether the upstream reports that it is leaving.
	Leaving bool
	// RetryAfter is for how long the upstream, which refuses the request, wants none
	// from this router, or 0 if it doesn't say so.
	RetryAfter time.Duration
	// Unreadable is the name of a header field that was ignored because it has no
	// valid value, or empty.
	Unreadable string
	// KeepAlive is how long the upstream keeps an idle connection open, or 0 if
	// it is not stated.
	KeepAlive time.Duration
}
