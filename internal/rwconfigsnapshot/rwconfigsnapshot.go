// Package rwconfigsnapshot is what is in force at one moment: the configuration and
// the upstreams that may get work.
package rwconfigsnapshot

import (
	"maps"
	"time"

	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwrouteconfig"
)

// Snapshot is one view. It is immutable.
type Snapshot struct {
	// Config is nil before the first configuration.
	Config *rwrouteconfig.Config
	// Rev is the revision of the platform's store that the view reflects, At
	// the time when it was made.
	Rev int64
	At  time.Time

	services map[string][]rwinstance.Instance
	names    map[string][]string
	leaving  map[string][]rwinstance.Instance
	ids      map[string]rwinstance.Instance
}

// New returns a view of a configuration and all known upstreams.
func New(plan *rwrouteconfig.Config, rev int64, at time.Time, instances []rwinstance.Instance) *Snapshot {
	p := &Snapshot{
		Config: plan, Rev: rev, At: at,
		services: map[string][]rwinstance.Instance{}, names: map[string][]string{}, leaving: map[string][]rwinstance.Instance{}, ids: map[string]rwinstance.Instance{},
	}
	for _, in := range instances {
		p.ids[in.ID] = in
		if in.Leaving {
			p.leaving[in.Service] = append(p.leaving[in.Service], in)
		} else {
			p.services[in.Service] = append(p.services[in.Service], in)
			p.names[in.Service] = append(p.names[in.Service], in.ID)
		}
	}
	return p
}

// Usable returns the upstreams of a service that may get work, ordered by ID.
func (p *Snapshot) Usable(service string) []rwinstance.Instance { return p.services[service] }

// IDs returns the ids of the upstreams of a service that may get work, in the
// order of Usable.
func (p *Snapshot) IDs(service string) []string { return p.names[service] }

// Leaving returns the upstreams of a service that are leaving.
func (p *Snapshot) Leaving(service string) []rwinstance.Instance { return p.leaving[service] }

// Known returns an upstream that may get work or is leaving.
func (p *Snapshot) Known(id string) (rwinstance.Instance, bool) {
	in, ok := p.ids[id]
	return in, ok
}

// Instance returns an upstream that may get work.
func (p *Snapshot) Instance(id string) (rwinstance.Instance, bool) {
	in, ok := p.ids[id]
	return in, ok && !in.Leaving
}

// Count returns the number of upstreams that may get work, and of those that
// are leaving.
func (p *Snapshot) Count() (usable, leaving int) {
	for _, in := range p.ids {
		if in.Leaving {
			leaving++
		} else {
			usable++
		}
	}
	return usable, leaving
}

// SameUpstreams reports whether both views have the same upstreams.
func (p *Snapshot) SameUpstreams(other *Snapshot) bool { return maps.Equal(p.ids, other.ids) }
