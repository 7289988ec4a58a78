// Package rwdialect is the seam to the head fields that callers and upstreams
// of a platform use.
package rwdialect

import (
	"net/http"
	"time"

	"redwingworks.example/internal/rwinbound"
)

// Dialect translates heads. All functions must be set.
type Dialect struct {
	// Decode reads the head of a caller's request.
	Decode func(*http.Request) rwinbound.Request
	// Encode returns the head fields of a request to an upstream.
	Encode func(rwinbound.Request, Order) http.Header
	// Judge reads the head of an upstream's answer.
	Judge func(*http.Response) Judgement
}

// Order is what the router adds to a request.
type Order struct {
	// Account is the name of the client account, or empty.
	Account string
	// Instance is the only incarnation that may run the request.
	Instance string
	// Left is the time that the upstream has.
	Left time.Duration
	// After is the id of the last stream event that the caller has, or empty.
	After string
	// Source is the address of an engine to copy prompt parts from, or empty.
	Source string
}

// Judgement is what the head of an answer says.
type Judgement struct {
	// ID is the request that is answered, or empty.
	ID string
	// NotRun is whether the upstream says that it didn't run the request.
	NotRun bool
	// Wrong is whether another incarnation has the address now.
	Wrong bool
	// Genuine is whether the answer bears the upstream's signature and is
	// its own body.
	Genuine bool
	// KeepAlive is how long the upstream keeps the idle connection; 0 means
	// that it didn't say.
	KeepAlive time.Duration
}
