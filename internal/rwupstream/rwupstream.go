// Package rwupstream decodes records of upstreams: model engines and plain
// services.
package rwupstream

import (
	"encoding/json"
	"net"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

// Upstream is a back end that runs requests.
type Upstream struct {
	Name string
	// Pools are the models or the plain service it runs; never empty.
	Pools []string
	// Zone is its availability zone.
	Zone string
	// Addr is host:port, the host an IP address.
	Addr string
	// Engine is true for a model engine and false for a plain service.
	Engine bool
	// Window is the number of concurrent requests to start from; positive.
	Window int
	// Fence is whether it refuses an order with an old fencing number.
	Fence bool
	// Leaving is whether it must get no new work.
	Leaving bool
	// Inc is its incarnation: a new start has a higher one.
	Inc int64
}

type schema1 struct {
	Pool   string `json:"pool"`
	Zone   string `json:"zone"`
	Addr   string `json:"addr"`
	Type   string `json:"type"`
	Window int    `json:"window"`
	Fence  bool   `json:"fence"`
	State  string `json:"state"`
	Inc    int64  `json:"inc"`
}

type schema2 struct {
	schema1
	Pools []string `json:"pools"`
}

// Decode reads an upstream of either schema version. Errors are faults with
// the code RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Upstream, error) {
	var v schema2
	u := Upstream{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return u, rwfault.New(rwcode.RecordSchema, strconv.Itoa(r.Schema))
	}
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return u, rwfault.Wrap(rwcode.RecordInvalid, err)
	}
	u.Pools = v.Pools
	if r.Schema == 1 {
		u.Pools = []string{v.Pool}
	}
	u.Zone, u.Addr, u.Window, u.Fence, u.Inc = v.Zone, v.Addr, v.Window, v.Fence, v.Inc
	u.Engine = v.Type == "engine"
	u.Leaving = v.State == "leaving"
	return u, u.check(v)
}

func (u Upstream) check(v schema2) error {
	if len(u.Pools) == 0 || u.Pools[0] == "" {
		return u.invalid("no pool")
	}
	host, _, err := net.SplitHostPort(u.Addr)
	if err != nil || net.ParseIP(host) == nil {
		return u.invalid("addr is not an IP address and a port")
	}
	if v.Type != "engine" && v.Type != "service" {
		return u.invalid("type is neither engine nor service")
	}
	if v.State != "live" && v.State != "leaving" {
		return u.invalid("state is neither live nor leaving")
	}
	if u.Window < 1 {
		return u.invalid("window must be positive")
	}
	if u.Zone == "" {
		return u.invalid("no zone")
	}
	return nil
}

func (u Upstream) invalid(why string) error {
	return rwfault.New(rwcode.RecordInvalid, "upstream "+u.Name+": "+why)
}
