// Package rwupdate defines a membership update, which routers gossip with their
// probes.
package rwupdate

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
)

// The states of an update, as encoded on the wire.
const (
	Alive    = "a"
	Suspect  = "s"
	Dead     = "d"
	Upstream = "u"
)

// Update is the state of a router or a leaving upstream.
type Update struct {
	// State is Alive, Suspect, Dead or Upstream.
	State string
	// Identity is complete in the state Alive. In the other states only Name
	// and Inc are sent; in the state Upstream they are the leaving upstream's.
	Identity rwidentity.Identity
	// Refutations counts the suspicions that the router refuted.
	Refutations uint64
	// Leaving reports whether the router is shutting down.
	Leaving bool
}

const (
	upstreamFields = 3
	stateFields    = 5
	aliveFields    = 8
	// capacityFields is the number of fields of a live router whose capacity is
	// known.
	capacityFields = aliveFields + 1
)

// MarshalJSON encodes the update as an array without field names, which keeps
// the update of a suspect under 50 bytes.
func (u Update) MarshalJSON() ([]byte, error) {
	id := u.Identity
	list := []any{u.State, id.Name, id.Inc}
	if u.State != Upstream {
		list = append(list, u.Refutations, boolToInt(u.Leaving))
	}
	if u.State == Alive {
		list = append(list, id.Zone, id.Region, id.Addr)
		if id.Capacity > 0 {
			list = append(list, id.Capacity)
		}
	}
	return json.Marshal(list)
}

// UnmarshalJSON decodes the array of MarshalJSON. It fails with PeerMalformed.
func (u *Update) UnmarshalJSON(data []byte) error {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	leaving := 0
	v := Update{}
	fields := []any{&v.State, &v.Identity.Name, &v.Identity.Inc, &v.Refutations, &leaving, &v.Identity.Zone, &v.Identity.Region, &v.Identity.Addr, &v.Identity.Capacity}
	if len(list) < upstreamFields || len(list) > capacityFields {
		return rwfault.New(rwcode.PeerMalformed, "update has a wrong number of fields")
	}
	for i, raw := range list {
		if err := json.Unmarshal(raw, fields[i]); err != nil {
			return rwfault.Wrap(rwcode.PeerMalformed, err)
		}
	}
	v.Leaving = leaving != 0
	want := map[string]int{Alive: aliveFields, Suspect: stateFields, Dead: stateFields, Upstream: upstreamFields}
	if v.State == Alive && len(list) == capacityFields {
		want[Alive] = capacityFields
	}
	if want[v.State] != len(list) || v.Identity.Capacity < 0 || v.Identity.Name == "" || v.Identity.Inc < 0 {
		return rwfault.New(rwcode.PeerMalformed, "invalid update of state "+v.State)
	}
	if v.State == Alive && v.Identity.Addr == "" {
		return rwfault.New(rwcode.PeerMalformed, "update has no address")
	}
	*u = v
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
