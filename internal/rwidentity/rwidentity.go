// Package rwidentity says which router a process is.
package rwidentity

// Identity names one incarnation of a router.
type Identity struct {
	// Name is the name of the VM's record.
	Name string `json:"name"`
	// Zone is the availability zone, Region holds it.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Addr is the address for peers.
	Addr string `json:"addr"`
	// Inc is the incarnation: the start time in microseconds. A process that
	// starts again has a higher one and none of the earlier memory.
	Inc int64 `json:"inc"`
	// Capacity is the processor time that the VM gives in thousandths of a
	// core; 0 is unknown.
	Capacity int `json:"capacity,omitempty"`
}
