// Package rwupstream decodes records of upstreams, which are model engines or
// plain services.
package rwupstream

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwvalidation"
)

// Upstream is a back end that runs requests.
type Upstream struct {
	Name string
	// Pools are the models or the plain service that it serves. There is at
	// least one.
	Pools []string
	// Zone is its availability zone.
	Zone string
	// Addr is host:port, the host an IP address.
	Addr string
	// Engine is true for a model engine and false for a plain service.
	Engine bool
	// Window is the initial number of concurrent requests. It is positive.
	Window int
	// ChecksFence reports whether it refuses a request with an old fencing
	// token.
	ChecksFence bool
	// Leaving reports whether it must get no new work.
	Leaving bool
	// Inc is its incarnation, which increases with each restart.
	Inc int64
}

// MaxWindow is the largest allowed Window.
const MaxWindow = 1 << 16

// value has the fields of both schema versions. A record may also have the
// fields of the other version if they agree.
type value struct {
	Pool   string   `json:"pool"`
	Pools  []string `json:"pools"`
	Zone   string   `json:"zone"`
	Addr   string   `json:"addr"`
	Type   string   `json:"type"`
	Window int      `json:"window"`
	Fence  bool     `json:"fence"`
	State  string   `json:"state"`
	Inc    int64    `json:"inc"`
}

// Decode decodes an upstream record of either schema version. It fails with
// RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Upstream, error) {
	u := Upstream{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return u, rwfault.New(rwcode.RecordSchema, "upstream "+r.Name+": schema "+strconv.Itoa(r.Schema))
	}
	var v value
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return u, rwfault.Wrap(rwcode.RecordInvalid, err).WithDetail("upstream " + r.Name)
	}
	u.Pools = v.Pools
	if r.Schema == 1 {
		u.Pools = []string{v.Pool}
	}
	u.Zone, u.Addr, u.Window, u.ChecksFence, u.Inc = v.Zone, v.Addr, v.Window, v.Fence, v.Inc
	u.Engine = v.Type == "engine"
	u.Leaving = v.State == "leaving"
	return u, u.check(v)
}

func (u Upstream) check(v value) error {
	var l rwvalidation.Problems
	addr, err := netip.ParseAddrPort(u.Addr)
	agree := v.Pool == "" || v.Pools == nil || (len(v.Pools) == 1 && v.Pools[0] == v.Pool)
	l.Require(u.Name != "", "no name")
	l.Require(len(u.Pools) > 0 && !slices.Contains(u.Pools, ""), "no pool")
	l.Require(agree, "pool and pools contradict each other")
	for i, p := range u.Pools {
		l.Require(!slices.Contains(u.Pools[:i], p), "pool "+p+" is repeated")
	}
	l.Require(err == nil && addr.Port() != 0, "addr is not an IP address and a port")
	l.Require(v.Type == "engine" || v.Type == "service", "type is neither engine nor service")
	l.Require(v.State == "live" || v.State == "leaving", "state is neither live nor leaving")
	l.Require(u.Window >= 1 && u.Window <= MaxWindow, "window must be from 1 to "+strconv.Itoa(MaxWindow))
	l.Require(u.Inc >= 0, "inc is negative")
	l.Require(u.Zone != "", "no zone")
	return l.Err(rwcode.RecordInvalid, "upstream "+u.Name)
}
