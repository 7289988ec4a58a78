// Package rwfakeplatform is a fake platform service for tests, with one replica
// for each reader. A replica may be down, hang, serve stale data or answer
// watches without waiting.
package rwfakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingworks.example/internal/rwrecord"
)

// The modes of a replica. In mode "" it works normally.
const (
	// Down answers with status 503.
	Down = "down"
	// Hang never answers.
	Hang = "hang"
	// Stale serves the records from the time when the mode was set.
	Stale = "stale"
	// Quick answers watches at once with all records.
	Quick = "quick"
)

// Replicas is an HTTP handler for all replicas. The first path element is the
// name of the replica.
type Replicas struct {
	mu            sync.Mutex
	rev           int64
	items         []rwrecord.Record
	changed       chan struct{}
	modes         map[string]string
	staleListings map[string]listing
	calls         map[string]int
}

type listing struct {
	Rev   int64             `json:"rev"`
	Items []rwrecord.Record `json:"items"`
}

// New returns replicas without records.
func New() *Replicas {
	return &Replicas{
		changed:       make(chan struct{}),
		modes:         map[string]string{},
		staleListings: map[string]listing{},
		calls:         map[string]int{},
	}
}

// Publish stores records under new revisions and returns the last one.
func (r *Replicas) Publish(items ...rwrecord.Record) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		r.rev++
		item.Rev = r.rev
		r.put(item)
	}
	r.notifyWatchers()
	return r.rev
}

// put copies the slice, since stale replicas still use the old one.
func (r *Replicas) put(item rwrecord.Record) {
	var items []rwrecord.Record
	for _, old := range r.items {
		if old.Kind != item.Kind || old.Name != item.Name {
			items = append(items, old)
		}
	}
	r.items = append(items, item)
}

func (r *Replicas) notifyWatchers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Set sets the mode of a replica.
func (r *Replicas) Set(name, mode string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[name] = mode
	r.staleListings[name] = listing{r.rev, r.items}
	r.notifyWatchers()
}

// Calls returns the number of requests to a replica, or to all for "".
func (r *Replicas) Calls(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name != "" {
		return r.calls[name]
	}
	sum := 0
	for _, n := range r.calls {
		sum += n
	}
	return sum
}

// ServeHTTP implements http.Handler.
func (r *Replicas) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	name, path, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	r.mu.Lock()
	r.calls[name]++
	r.mu.Unlock()
	after, _ := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	end := time.NewTimer(time.Duration(seconds) * time.Second)
	defer end.Stop()
	for {
		l, mode, changed := r.listingFor(name, after)
		switch {
		case mode == Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case mode == Hang:
			<-q.Context().Done()
			return
		case mode == Quick || len(l.Items) > 0 || path == "v1/records":
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			_ = json.NewEncoder(w).Encode(l)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (r *Replicas) listingFor(name string, after int64) (listing, string, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mode := r.modes[name]
	all := listing{r.rev, r.items}
	if mode == Stale {
		all = r.staleListings[name]
	}
	l := listing{Rev: all.Rev, Items: []rwrecord.Record{}}
	for _, item := range all.Items {
		if item.Rev > after || mode == Quick {
			l.Items = append(l.Items, item)
		}
	}
	return l, mode, r.changed
}
