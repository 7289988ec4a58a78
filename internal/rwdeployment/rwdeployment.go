// Package rwdeployment describes the machine of a front router and the bounds
// that the router must keep.
package rwdeployment

import "time"

// Deployment is the settings of one process. It is immutable.
type Deployment struct {
	// Name is unique in the fleet.
	Name string
	// Zone is the availability zone; Region is the region that contains it.
	Zone, Region string
	// Front, Ready, Peer and Metrics are addresses to listen on: for callers,
	// readiness checks, other routers and metrics.
	Front, Ready, Peer, Metrics string
	// Relay is the address to listen on for callers' connections that other
	// routers relay, or empty if the router takes none and relays none. All routers
	// of the fleet use the same port for it.
	Relay string
	// Seeds are the Peer addresses of some routers; they may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// MemoryBytes is the size at which the process is killed, or 0 if it is not
	// known.
	MemoryBytes int64
	// CPUMillis is the CPU time of the machine in thousandths of a core, or 0
	// if it is not known.
	CPUMillis int
	// MaxDescriptors is the limit on open files, or 0 if it is not known.
	MaxDescriptors int
	// LinkBitsPerSecond is the rate of the machine's link each way, or 0 if it is not
	// known.
	LinkBitsPerSecond float64
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio and RetryExtra bound the retries that the fleet sends in any
	// RetryWindow: a fraction of the requests plus a fixed number.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// EventDeadline is the time within which a stream event must reach its
	// caller, or 0 if it is not known.
	EventDeadline time.Duration
	// ShareWindow is the time over which accounts' shares are compared.
	ShareWindow time.Duration
	// Heartbeat is how often upstreams write their entries in the store, or 0 if it
	// is not known.
	Heartbeat time.Duration
	// ColdOverage and ColdSlack bound the requests that the fleet sends a cold
	// upstream in any second: the rate that it bears, times ColdOverage, plus
	// ColdSlack. Both are 0 if they are not known.
	ColdOverage, ColdSlack float64
	// EvacuateDeadline is the time within which an evacuated availability zone
	// must get no more work, or 0 if it is not known.
	EvacuateDeadline time.Duration
	// ConfigDeadline is the time within which a new configuration must be
	// active.
	ConfigDeadline time.Duration
}
