// Package rwvm decodes records of entry VMs.
package rwvm

import (
	"encoding/json"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

// VM is an entry VM as the platform publishes it. The list lags behind
// reality.
type VM struct {
	Name string
	// Addr is the address for peers, HTTP the address for callers; both are
	// host:port with an IP address.
	Addr, HTTP string
	// Zone is the availability zone.
	Zone string
	// Region holds the zone.
	Region string
	// Leaving is whether the VM is being taken away.
	Leaving bool
}

type schema1 struct {
	Addr   string `json:"addr"`
	HTTP   string `json:"http"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	State  string `json:"state"`
}

// Decode reads a VM record; both schema versions have the same form. Errors
// are faults with the code RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (VM, error) {
	m := VM{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return m, rwfault.New(rwcode.RecordSchema, strconv.Itoa(r.Schema))
	}
	var v schema1
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return m, rwfault.Wrap(rwcode.RecordInvalid, err)
	}
	m.Addr, m.HTTP, m.Zone, m.Region = v.Addr, v.HTTP, v.Zone, v.Region
	m.Leaving = v.State == "leaving"
	if m.Addr == "" || m.Zone == "" {
		return m, rwfault.New(rwcode.RecordInvalid, "vm "+r.Name+": addr and zone are required")
	}
	return m, nil
}
