// Package rwvm decodes records of entry VMs.
package rwvm

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwvalidation"
)

// VM is an entry VM as the platform publishes it. The published list lags behind
// the actual VMs.
type VM struct {
	Name string
	// Addr is the address for peers, HTTP the address for callers; both are
	// host:port with an IP address.
	Addr, HTTP string
	// Zone is the availability zone.
	Zone string
	// Region is the region of the zone.
	Region string
	// Leaving reports whether the VM is being removed.
	Leaving bool
}

type schema1 struct {
	Addr   string `json:"addr"`
	HTTP   string `json:"http"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	State  string `json:"state"`
}

// Decode decodes a VM record. Both schema versions have the same fields. It
// fails with RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (VM, error) {
	m := VM{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return m, rwfault.New(rwcode.RecordSchema, "vm "+r.Name+": schema "+strconv.Itoa(r.Schema))
	}
	var v schema1
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return m, rwfault.Wrap(rwcode.RecordInvalid, err).WithDetail("vm " + r.Name)
	}
	m.Addr, m.HTTP, m.Zone, m.Region = v.Addr, v.HTTP, v.Zone, v.Region
	m.Leaving = v.State == "leaving"
	return m, m.check(v)
}

func (m VM) check(v schema1) error {
	var l rwvalidation.Problems
	l.Require(m.Name != "", "no name")
	l.Require(address(m.Addr), "addr is not an IP address and a port")
	l.Require(address(m.HTTP), "http is not an IP address and a port")
	l.Require(m.Zone != "", "no zone")
	l.Require(m.Region != "", "no region")
	l.Require(v.State == "live" || v.State == "leaving", "state is neither live nor leaving")
	return l.Err(rwcode.RecordInvalid, "vm "+m.Name)
}

func address(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}
