// Package rwslot is the right to run one request on an upstream.
package rwslot

import (
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwupstream"
)

// Slot is the right to run one request on one upstream, once.
type Slot struct {
	// Upstream is where to run the request.
	Upstream rwupstream.Upstream
	// Expires is when the slot must have been used; a later start is an
	// error, since the slot may belong to another request by then.
	Expires time.Time
	// ReportCost reports the cost so far of a running request. It may be nil.
	ReportCost func(cost float64)
	// Done gives the slot back: the cost of the work done, the times to the
	// first and the last byte, and the code of a failure or None. It must be
	// called exactly once.
	Done func(cost float64, first, total time.Duration, code rwcode.Code)
}
