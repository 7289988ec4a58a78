// Package rwdialect is the seam to the head fields that callers and upstreams
// of a platform use.
package rwdialect

import (
	"net/http"
	"time"

	"redwingworks.example/internal/rwinboundrequest"
)

// Dialect translates heads. All functions must be set.
type Dialect struct {
	// Decode reads the head of a caller's request.
	Decode func(*http.Request) rwinboundrequest.Request
	// Encode returns the head fields of a request to an upstream.
	Encode func(rwinboundrequest.Request, ForwardOptions) http.Header
	// Inspect reads the head of an upstream's answer.
	Inspect func(*http.Response) ResponseInfo
}

// ForwardOptions is what the router adds to a request.
type ForwardOptions struct {
	// Account is the name of the client account, or empty.
	Account string
	// Instance is the only incarnation that may run the request.
	Instance string
	// TimeLeft is the time that the upstream has.
	TimeLeft time.Duration
	// LastEventID is the id of the last stream event that the caller has, or empty.
	LastEventID string
	// CopySource is the address of an engine to copy prompt parts from, or empty.
	CopySource string
}

// ResponseInfo is what the head of an answer says.
type ResponseInfo struct {
	// RequestID is the request that is answered, or empty.
	RequestID string
	// NotRun is whether the upstream says that it didn't run the request.
	NotRun bool
	// WrongInstance is whether another incarnation has the address now.
	WrongInstance bool
	// Authentic is whether the answer bears the upstream's signature and is
	// its own body.
	Authentic bool
	// KeepAlive is how long the upstream keeps the idle connection; 0 means
	// that it didn't say.
	KeepAlive time.Duration
}
