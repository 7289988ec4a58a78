// Package rwboard holds published records with their revisions and serves
// reads and watches of them.
package rwboard

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"redwingworks.example/internal/rwrecord"
)

const maxWait = 60 * time.Second

// Board is the record set of the platform service.
type Board struct {
	mu      sync.Mutex
	rev     int64
	items   []rwrecord.Record
	changed chan struct{}
	calls   int64
}

type listing struct {
	Rev   int64             `json:"rev"`
	Items []rwrecord.Record `json:"items"`
}

// New returns an empty board.
func New() *Board {
	return &Board{changed: make(chan struct{})}
}

// Load publishes the records of a file.
func (b *Board) Load(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var items []rwrecord.Record
	if err := json.Unmarshal(data, &items); err != nil {
		return err
	}
	b.Publish(items)
	return nil
}

// Publish stores records under new revisions and wakes the watches.
func (b *Board) Publish(items []rwrecord.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range items {
		b.rev++
		r.Rev = b.rev
		b.put(r)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Board) put(r rwrecord.Record) {
	for i, old := range b.items {
		if old.Kind == r.Kind && old.Name == r.Name {
			b.items[i] = r
			return
		}
	}
	b.items = append(b.items, r)
}

// Handler serves the platform's HTTP interface.
func (b *Board) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/records", b.records)
	m.HandleFunc("GET /v1/watch", b.watch)
	m.HandleFunc("POST /admin/records", b.publish)
	m.HandleFunc("GET /admin/calls", b.serveCalls)
	return m
}

func (b *Board) after(rev int64) (listing, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := listing{Rev: b.rev, Items: []rwrecord.Record{}}
	for _, r := range b.items {
		if r.Rev > rev {
			l.Items = append(l.Items, r)
		}
	}
	return l, b.changed
}

func (b *Board) count() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
}

func (b *Board) records(w http.ResponseWriter, _ *http.Request) {
	b.count()
	l, _ := b.after(0)
	_ = json.NewEncoder(w).Encode(l)
}

func (b *Board) watch(w http.ResponseWriter, r *http.Request) {
	b.count()
	rev, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	wait := min(time.Duration(seconds)*time.Second, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed := b.after(rev)
		if len(l.Items) > 0 {
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_ = json.NewEncoder(w).Encode(l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (b *Board) publish(w http.ResponseWriter, r *http.Request) {
	var items []rwrecord.Record
	if err := json.NewDecoder(r.Body).Decode(&items); err != nil {
		http.Error(w, "bad records", http.StatusBadRequest)
		return
	}
	b.Publish(items)
	w.WriteHeader(http.StatusNoContent)
}

func (b *Board) serveCalls(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int64{"calls": b.calls})
}
