// Package rwdeployment is what a front router is told about its machine and
// about the bounds that it must keep.
package rwdeployment

import "time"

// Deployment is the setting of one process. It is immutable.
type Deployment struct {
	// Name is unique in the fleet.
	Name string
	// Zone is the availability zone, Region holds it.
	Zone, Region string
	// Front, Ready, Peer and Metrics are addresses to listen on: for callers,
	// for readiness checks, for other routers and for metrics.
	Front, Ready, Peer, Metrics string
	// Seeds are Peer addresses of some routers; they may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// MemoryBytes is the size at which the process is killed; 0 is unknown.
	MemoryBytes int64
	// CPUMillis is the processor time that the machine gives in thousandths of a
	// core; 0 is unknown.
	CPUMillis int
	// MaxDescriptors is the limit of open files; 0 is unknown.
	MaxDescriptors int
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio and RetryExtra bound the repeats that the whole fleet sends
	// in any RetryWindow: a part of the requests and a fixed number.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// EventDeadline is the time in which an event of a stream has to reach its
	// caller; 0 is unknown.
	EventDeadline time.Duration
	// ShareWindow is the time over which accounts' shares are compared.
	ShareWindow time.Duration
	// ConfigDeadline is the time in which a new configuration is in force.
	ConfigDeadline time.Duration
}
