// Package rwconfigsnapshot holds the configuration and the upstreams that are
// active at one moment.
package rwconfigsnapshot

import (
	"maps"
	"time"

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

	usable    map[string][]rwinstance.Instance
	usableIDs map[string][]string
	leaving   map[string][]rwinstance.Instance
	byID      map[string]rwinstance.Instance
}

// New returns a snapshot of a configuration and all known upstreams.
func New(config *rwrouteconfig.Config, rev int64, at time.Time, instances []rwinstance.Instance) *Snapshot {
	s := &Snapshot{
		Config: config, Rev: rev, At: at,
		usable: map[string][]rwinstance.Instance{}, usableIDs: map[string][]string{}, leaving: map[string][]rwinstance.Instance{}, byID: map[string]rwinstance.Instance{},
	}
	for _, in := range instances {
		s.byID[in.ID] = in
		if in.Leaving {
			s.leaving[in.Service] = append(s.leaving[in.Service], in)
		} else {
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

// Usable returns the upstreams of a service that may get work, in the order
// given to New.
func (s *Snapshot) Usable(service string) []rwinstance.Instance { return s.usable[service] }

// IDs returns the ids of the upstreams of a service that may get work, in the
// order of Usable.
func (s *Snapshot) IDs(service string) []string { return s.usableIDs[service] }

// Leaving returns the upstreams of a service that are leaving.
func (s *Snapshot) Leaving(service string) []rwinstance.Instance { return s.leaving[service] }

// Known returns an upstream that may get work or is leaving.
func (s *Snapshot) Known(id string) (rwinstance.Instance, bool) {
	in, ok := s.byID[id]
	return in, ok
}

// Instance returns an upstream that may get work.
func (s *Snapshot) Instance(id string) (rwinstance.Instance, bool) {
	in, ok := s.byID[id]
	return in, ok && !in.Leaving
}

// Count returns the number of upstreams that may get work and the number of
// those that are leaving.
func (s *Snapshot) Count() (usable, leaving int) {
	for _, in := range s.byID {
		if in.Leaving {
			leaving++
		} else {
			usable++
		}
	}
	return usable, leaving
}

// SameUpstreams reports whether both snapshots have the same upstreams. How long
// they stay cold doesn't count, since that changes with each entry of a cold one.
func (s *Snapshot) SameUpstreams(other *Snapshot) bool {
	return maps.EqualFunc(s.byID, other.byID, func(a, b rwinstance.Instance) bool {
		a.Cold, b.Cold = 0, 0
		return a == b
	})
}
