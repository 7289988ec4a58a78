// Package rwslot defines the slots that a policy gives to a request.
package rwslot

import (
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwupstream"
)

// Slot permits one request to run on one upstream, once.
type Slot struct {
	// Upstream is where to run the request.
	Upstream rwupstream.Upstream
	// Expires is the time by which the request must start. Later the slot may
	// belong to another request, so a later start is an error.
	Expires time.Time
	// ReportCost reports the cost so far of a running request. It may be nil.
	ReportCost func(cost float64)
	// RetryAfter reports that the upstream wants no requests for a time. It may be
	// nil, and must be called before Done.
	RetryAfter func(d time.Duration)
	// Done releases the slot. It takes the cost of the work done, the times to
	// the first and the last byte, and the code of a failure or None. It must
	// be called exactly once.
	Done func(cost float64, first, total time.Duration, code rwcode.Code)
}
