// Package rwinflight keeps a table of the requests that a router has in
// progress, so that its shutdown can name those that it cuts.
package rwinflight

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Request describes a request in progress.
type Request struct {
	ID string
	// Route is empty until the request is routed.
	Route string
	// Upstream is empty unless an attempt is in progress.
	Upstream string
	// Sent counts the upstreams that got the request in earlier attempts.
	Sent int
	// Start is when the router began to handle the request.
	Start time.Time
}

// Table holds the requests in progress. The zero value is an empty table. It is
// safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// last is the key of the request that was added last.
	last uint64
	// reported is the last key at the last call of LatestUnreported.
	reported uint64
	// requests has increasing keys in the order in which they were added.
	requests map[uint64]Request
}

// Add adds a request and returns its key.
func (t *Table) Add(r Request) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = map[uint64]Request{}
	}
	t.last++
	t.requests[t.last] = r
	return t.last
}

// Update changes the request with a key, if it is in the table. The function
// must not call the table.
func (t *Table) Update(key uint64, change func(*Request)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.requests[key]; ok {
		change(&r)
		t.requests[key] = r
	}
}

// Remove removes the request with a key.
func (t *Table) Remove(key uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, key)
}

// Latest returns at most limit requests, those that were added last first, and
// the number of all requests in the table.
func (t *Table) Latest(limit int) (latest []Request, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest(0, limit)
}

// LatestUnreported returns the same as Latest, but without the requests that an
// earlier call of it counted.
func (t *Table) LatestUnreported(limit int) (latest []Request, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest, total = t.latest(t.reported, limit)
	t.reported = t.last
	return latest, total
}

// latest returns what Latest does of the requests that were added after the one
// with a key. The caller holds the lock.
func (t *Table) latest(after uint64, limit int) (latest []Request, total int) {
	keys := slices.Sorted(maps.Keys(t.requests))
	first, _ := slices.BinarySearch(keys, after+1)
	keys = keys[first:]
	for _, key := range slices.Backward(keys[max(0, len(keys)-limit):]) {
		latest = append(latest, t.requests[key])
	}
	return latest, len(keys)
}
