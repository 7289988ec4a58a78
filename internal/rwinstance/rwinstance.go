// Package rwinstance is one incarnation of an upstream as it registered
// itself.
package rwinstance

// Instance is one start of an upstream. It is immutable.
type Instance struct {
	// ID names the start; it can come back with another Born.
	ID      string
	Service string
	// Addr is host:port, the host an IP address.
	Addr string
	Zone string
	// Slots is how many requests it runs at once, at least 1.
	Slots int
	// Leaving is whether it must get no new work.
	Leaving bool
	// StartMillis is the time of its start in Unix milliseconds, or 0 if it is not
	// known.
	StartMillis int64
}
