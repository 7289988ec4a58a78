package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	value             []byte
	revision, created int64
}

// change is one entry of the store's history.
type change struct {
	key      string
	item     item
	removed  bool
	revision int64
	at       time.Time
}

const (
	// storeDelay is how long an answer of the store takes.
	storeDelay = 4 * time.Millisecond
	// historyTime is how long the store keeps changes for watches.
	historyTime = 20 * time.Second
	pageItems   = 500
)

// store is a stand-in for the platform's metadata store. It loses nothing, and its
// answers are linearizable.
type store struct {
	addr string

	mu       sync.Mutex
	revision int64
	oldest   int64
	items    map[string]item
	history  []change
	changed  chan struct{}
}

func newStore(ip string) *store {
	s := &store{items: map[string]item{}, revision: 100, oldest: 100, changed: make(chan struct{})}
	s.addr = s.door(ip, nil)
	return s
}

// door opens a further address of the store and returns it. While busy says so, its
// calls get 503.
func (s *store) door(ip string, busy func() bool) string {
	l := listen(ip)
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if busy != nil && busy() {
				time.Sleep(storeDelay)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.serveUnless(w, r, busy)
		})}).Serve(l)
	}()
	return l.Addr().String()
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// serveUnless answers a call, and cuts a watch that waits when the store becomes busy.
func (s *store) serveUnless(w http.ResponseWriter, r *http.Request, busy func() bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if busy != nil {
		go func() {
			for ctx.Err() == nil && !busy() {
				time.Sleep(10 * time.Millisecond)
			}
			cancel()
		}()
	}
	s.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// put writes a value; its return is the acknowledgement.
func (s *store) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		cannotRun("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{value: data, revision: s.revision, created: s.revision}
	if old, ok := s.items[key]; ok {
		it.created = old.created
	}
	s.items[key] = it
	s.record(change{key: key, item: it, revision: s.revision, at: time.Now()})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(change{key: key, removed: true, revision: s.revision, at: time.Now()})
}

// record appends to the history. The caller holds the lock.
func (s *store) record(c change) {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.oldest = s.history[0].revision
		s.history = s.history[1:]
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.key(w, q.Get("key"))
	case "/api/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func entry(key string, it item) map[string]any {
	return map[string]any{"key": key, "value": it.value, "revision": it.revision, "created": it.created, "lease": 0}
}

func (s *store) key(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e := entry(key, it)
	e["asOf"] = rev
	reply(w, e)
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	entries := []any{}
	for _, k := range keys {
		entries = append(entries, entry(k, s.items[k]))
	}
	rev := s.revision
	s.mu.Unlock()
	reply(w, map[string]any{"entries": entries, "morePages": more, "asOf": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.After(wait)
	for last := false; ; {
		s.mu.Lock()
		changed, rev, gone := s.changed, s.revision, after < s.oldest || after > s.revision
		events := []any{}
		for _, c := range s.history {
			if c.revision <= after || !strings.HasPrefix(c.key, prefix) {
				continue
			}
			if c.removed {
				events = append(events, map[string]any{"key": c.key, "revision": c.revision, "removed": true})
			} else {
				events = append(events, entry(c.key, c.item))
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || last {
			reply(w, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
