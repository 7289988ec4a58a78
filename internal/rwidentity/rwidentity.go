// Package rwidentity identifies routers.
package rwidentity

// Identity identifies one incarnation of a router.
type Identity struct {
	// Name is the name of the VM's record.
	Name string `json:"name"`
	// Zone is the availability zone, Region the region of the zone.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Addr is the address for peers.
	Addr string `json:"addr"`
	// Inc is the incarnation: the start time in microseconds. A restarted
	// process has a higher one and none of the earlier memory.
	Inc int64 `json:"inc"`
	// Capacity is the CPU time of the VM in thousandths of a core; 0 means
	// unknown.
	Capacity int `json:"capacity,omitempty"`
}
