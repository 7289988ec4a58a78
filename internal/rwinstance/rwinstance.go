// Package rwinstance describes one incarnation of an upstream as it registered
// itself.
package rwinstance

import "time"

// Instance is one incarnation of an upstream. It is immutable.
type Instance struct {
	// ID identifies the incarnation; a later one with another StartMillis may
	// reuse it.
	ID      string
	Service string
	// Addr is host:port, where the host is an IP address.
	Addr string
	Zone string
	// Software is the version of the software that it runs. A stream may go on
	// only at an upstream with the software that began it.
	Software string
	// Slots is the number of requests that it runs concurrently, at least 1.
	Slots int
	// Leaving is whether it must get no new work.
	Leaving bool
	// StartMillis is its start time in Unix milliseconds, or 0 if it is not
	// known.
	StartMillis int64
	// Evacuated is whether the operator empties its availability zone: it must
	// get no work until the operator takes the zone back.
	Evacuated bool
	// Cold is how long it stays cold, as of its entry, or 0 if it says that it
	// isn't.
	Cold time.Duration
}
