// Package rwconfigsnapshot holds the configuration and the upstreams that are
// active at one moment.
package rwconfigsnapshot

import (
	"maps"
	"time"

	"redwingworks.example/internal/rwevacuation"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwrouteconfig"
)

// Snapshot is a configuration with the known upstreams. It is immutable.
type Snapshot struct {
	// Config is nil before the first configuration.
	Config *rwrouteconfig.Config
	// Rev is the revision of the platform's store that the snapshot reflects, in the
	// store's era Era; At is when the snapshot was made.
	Rev, Era int64
	At       time.Time
	// Evacuations are those of zones, by zone. An upstream there is Known, with
	// Evacuated set, and usable again once the zone is taken back.
	Evacuations []rwevacuation.Evacuation

	usable    map[string][]rwinstance.Instance
	usableIDs map[string][]string
	leaving   map[string][]rwinstance.Instance
	evacuated map[string][]rwinstance.Instance
	byID      map[string]rwinstance.Instance
}

// New returns a snapshot of a configuration and all known upstreams.
func New(config *rwrouteconfig.Config, rev int64, at time.Time, instances []rwinstance.Instance) *Snapshot {
	s := &Snapshot{
		Config: config, Rev: rev, At: at,
		usable: map[string][]rwinstance.Instance{}, usableIDs: map[string][]string{}, leaving: map[string][]rwinstance.Instance{},
		evacuated: map[string][]rwinstance.Instance{}, byID: map[string]rwinstance.Instance{},
	}
	for _, in := range instances {
		s.byID[in.ID] = in
		switch {
		case in.Leaving:
			s.leaving[in.Service] = append(s.leaving[in.Service], in)
		case in.Evacuated:
			s.evacuated[in.Service] = append(s.evacuated[in.Service], in)
		default:
			s.usable[in.Service] = append(s.usable[in.Service], in)
			s.usableIDs[in.Service] = append(s.usableIDs[in.Service], in.ID)
		}
	}
	return s
}

// WithEra returns the snapshot of a revision in an era of the store.
func (s *Snapshot) WithEra(era int64) *Snapshot {
	out := *s
	out.Era = era
	return &out
}

// WithEvacuations returns the snapshot with evacuations of zones, by which its
// upstreams are marked already.
func (s *Snapshot) WithEvacuations(list []rwevacuation.Evacuation) *Snapshot {
	out := *s
	out.Evacuations = list
	return &out
}

// Usable returns the upstreams of a service that may get work, in the order
// given to New.
func (s *Snapshot) Usable(service string) []rwinstance.Instance { return s.usable[service] }

// IDs returns the ids of the upstreams of a service that may get work, in the
// order of Usable.
func (s *Snapshot) IDs(service string) []string { return s.usableIDs[service] }

// Leaving returns the upstreams of a service that are leaving.
func (s *Snapshot) Leaving(service string) []rwinstance.Instance { return s.leaving[service] }

// Evacuated returns the upstreams of a service that get no work until their zone is
// taken back. Those that are leaving aren't among them.
func (s *Snapshot) Evacuated(service string) []rwinstance.Instance { return s.evacuated[service] }

// Known returns an upstream that may get work, is leaving or is evacuated.
func (s *Snapshot) Known(id string) (rwinstance.Instance, bool) {
	in, ok := s.byID[id]
	return in, ok
}

// Instance returns an upstream that may get work.
func (s *Snapshot) Instance(id string) (rwinstance.Instance, bool) {
	in, ok := s.byID[id]
	return in, ok && !in.Leaving && !in.Evacuated
}

// Count returns the number of upstreams that may get work, of those that are leaving,
// and of the others whose zone is evacuated.
func (s *Snapshot) Count() (usable, leaving, evacuated int) {
	for _, in := range s.byID {
		switch {
		case in.Leaving:
			leaving++
		case in.Evacuated:
			evacuated++
		default:
			usable++
		}
	}
	return usable, leaving, evacuated
}

// InZone returns the number of known upstreams in an availability zone.
func (s *Snapshot) InZone(zone string) int {
	n := 0
	for _, in := range s.byID {
		if in.Zone == zone {
			n++
		}
	}
	return n
}

// SameUpstreams reports whether both snapshots have the same upstreams. How long
// they stay cold doesn't count, since that changes with each entry of a cold one.
func (s *Snapshot) SameUpstreams(other *Snapshot) bool {
	return maps.EqualFunc(s.byID, other.byID, func(a, b rwinstance.Instance) bool {
		a.Cold, b.Cold = 0, 0
		return a == b
	})
}
