// Package rwupstream decodes records of upstreams: model engines and plain
// services.
package rwupstream

import (
	"encoding/json"
	"net/netip"
	"slices"
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

// MaxWindow bounds Window.
const MaxWindow = 1 << 16

// value has the fields of both schema versions. A record may carry the field
// of the other version too, as long as it says the same.
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

// Decode reads an upstream of either schema version. Errors are faults with
// the code RecordSchema or RecordInvalid.
func Decode(r rwrecord.Record) (Upstream, error) {
	u := Upstream{Name: r.Name}
	if r.Schema != 1 && r.Schema != 2 {
		return u, rwfault.New(rwcode.RecordSchema, "upstream "+r.Name+": schema "+strconv.Itoa(r.Schema))
	}
	var v value
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return u, rwfault.Wrap(rwcode.RecordInvalid, err).WithDetail("upstream " + r.Name)
	}
	if v.Pool != "" && v.Pools != nil && (len(v.Pools) != 1 || v.Pools[0] != v.Pool) {
		return u, u.invalid("pool and pools contradict each other")
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

func (u Upstream) check(v value) error {
	addr, err := netip.ParseAddrPort(u.Addr)
	switch {
	case u.Name == "":
		return u.invalid("no name")
	case len(u.Pools) == 0 || slices.Contains(u.Pools, ""):
		return u.invalid("no pool")
	case err != nil || addr.Port() == 0:
		return u.invalid("addr is not an IP address and a port")
	case v.Type != "engine" && v.Type != "service":
		return u.invalid("type is neither engine nor service")
	case v.State != "live" && v.State != "leaving":
		return u.invalid("state is neither live nor leaving")
	case u.Window < 1 || u.Window > MaxWindow:
		return u.invalid("window must be from 1 to " + strconv.Itoa(MaxWindow))
	case u.Inc < 0:
		return u.invalid("inc is negative")
	case u.Zone == "":
		return u.invalid("no zone")
	}
	return u.distinct()
}

func (u Upstream) distinct() error {
	for i, p := range u.Pools {
		if slices.Contains(u.Pools[:i], p) {
			return u.invalid("pool " + p + " is repeated")
		}
	}
	return nil
}

func (u Upstream) invalid(why string) error {
	return rwfault.New(rwcode.RecordInvalid, "upstream "+u.Name+": "+why)
}
