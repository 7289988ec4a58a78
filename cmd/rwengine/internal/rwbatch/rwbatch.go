// Package rwbatch emulates the continuous batching of an engine: in each step every
// request of the batch gets one token, and waiting requests are admitted to free
// slots in order of arrival.
package rwbatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingworks.example/cmd/rwengine/internal/rwmeter"
	"redwingworks.example/cmd/rwengine/internal/rwprefixcache"
	"redwingworks.example/cmd/rwengine/internal/rwstreamfault"
)

const (
	// maxTokens bounds the length of any response.
	maxTokens = 4096
	// maxLoadHistory bounds the history that delayed load reports are taken
	// from, in steps.
	maxLoadHistory = 1000
)

// Batch is the state of one engine. Its exported fields must be set before Run.
type Batch struct {
	// Prefill is the time to the first token when the prompt is not cached.
	Prefill time.Duration
	// LoadLag is the minimum age of the reported load.
	LoadLag time.Duration
	// Fence makes the engine refuse orders with a fencing token below the
	// highest seen.
	Fence bool

	slots        int
	stepInterval time.Duration

	mu           sync.Mutex
	waiting      []*job
	running      []*job
	log          []Execution
	orders       []order
	cache        *rwprefixcache.Cache
	meter        *rwmeter.Meter
	loadHistory  []load
	fault        rwstreamfault.Fault
	leaving      bool
	highestFence int64
}

// Execution is the log entry of one request.
type Execution struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Kind    string    `json:"kind"`
	Start   time.Time `json:"start"`
	// First is the time of the first token, End of the last.
	First time.Time `json:"first"`
	End   time.Time `json:"end"`
	// From is the index of the first token of a resumed request, Tokens the
	// number of generated tokens.
	From     int  `json:"from"`
	Tokens   int  `json:"tokens"`
	Complete bool `json:"whole"`
	// Cancelled is set if the request ended before its last token.
	Cancelled bool `json:"cancelled"`
}

type job struct {
	id          string
	account     string
	kind        string
	logIndex    int
	length      int
	nextToken   int
	prefix      string
	prefillDone time.Time
	// released is set when no more tokens are needed: the request was cancelled or
	// its handler has returned.
	released bool
	tokens   chan int
}

type load struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
}

type order struct {
	Fence int64           `json:"fence"`
	Body  json.RawMessage `json:"body"`
}

// New returns a Batch with the given number of slots, time between tokens and
// number of cached prefixes.
func New(slots int, step time.Duration, cached int) *Batch {
	return &Batch{
		slots:        slots,
		stepInterval: step,
		cache:        rwprefixcache.New(cached),
		meter:        rwmeter.New(slots),
	}
}

// Run advances the batch periodically; it does not return.
func (b *Batch) Run() {
	for now := range time.Tick(b.stepInterval) {
		b.Advance(now)
	}
}

// Advance runs one step at the given time.
func (b *Batch) Advance(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meter.AddBusyTime(len(b.running), now)
	b.admit(now)
	kept := b.running[:0]
	for _, j := range b.running {
		if b.generateToken(j, now) {
			kept = append(kept, j)
		}
	}
	b.running = kept
	b.loadHistory = append(b.loadHistory, load{now, len(b.running), len(b.waiting)})
	if len(b.loadHistory) > maxLoadHistory {
		b.loadHistory = b.loadHistory[1:]
	}
}

func (b *Batch) admit(now time.Time) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		if j.released {
			b.log[j.logIndex].Cancelled = true
			close(j.tokens)
			continue
		}
		j.prefillDone = now
		if !b.cache.Use(j.prefix) {
			j.prefillDone = now.Add(b.Prefill)
		}
		b.running = append(b.running, j)
	}
}

// generateToken sends the next token of a request once its prefill is done. It
// reports whether the request keeps its slot.
func (b *Batch) generateToken(j *job, now time.Time) bool {
	e := &b.log[j.logIndex]
	if j.released {
		e.Cancelled = true
		close(j.tokens)
		return false
	}
	if now.Before(j.prefillDone) {
		return true
	}
	if e.Tokens == 0 {
		e.First = now
	}
	e.Tokens++
	e.End = now
	b.meter.CountToken(j.account, j.kind, now)
	j.tokens <- j.nextToken
	j.nextToken++
	if j.nextToken < j.length {
		return true
	}
	e.Complete = true
	close(j.tokens)
	return false
}

// Handler returns the engine's HTTP interface.
func (b *Batch) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", b.handleCompletion)
	m.HandleFunc("DELETE /v1/requests/{id}", b.handleCancel)
	m.HandleFunc("GET /load", b.serveLoad)
	m.HandleFunc("POST /orders", b.handleOrder)
	m.HandleFunc("GET /log", b.serveJSON(func() any { return b.log }))
	m.HandleFunc("GET /orders", b.serveJSON(func() any { return b.orders }))
	m.HandleFunc("GET /service", b.serveJSON(func() any { return b.meter }))
	m.HandleFunc("GET /cache", b.serveJSON(func() any { return b.cache }))
	m.HandleFunc("POST /admin/state", b.setState)
	m.HandleFunc("POST /admin/faults", b.setFault)
	return m
}

type request struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// length returns the number of tokens of the response: the number after the last
// "#" of the last message, or else max_tokens. It emulates a cost that routers
// can't know in advance.
func (r request) length() int {
	n := r.MaxTokens
	if len(r.Messages) > 0 {
		last := r.Messages[len(r.Messages)-1].Content
		if i := strings.LastIndexByte(last, '#'); i >= 0 {
			if v, err := strconv.Atoi(last[i+1:]); err == nil {
				n = v
			}
		}
	}
	return min(max(n, 1), maxTokens)
}

func (r request) prefix() string {
	if len(r.Messages) == 0 {
		return ""
	}
	return r.Messages[0].Content
}

func (b *Batch) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, "request body is not valid JSON for this path", http.StatusBadRequest)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Redwing-Resume"))
	if from < 0 || from >= q.length() {
		http.Error(w, "resume offset is outside the response", http.StatusBadRequest)
		return
	}
	j, fault, ok := b.enqueue(r, q, from)
	if !ok {
		w.Header().Set("Redwing-State", "leaving")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	defer b.release(j)
	fault.Write(r.Context(), w, j.id, j.length, j.tokens)
}

func (b *Batch) enqueue(r *http.Request, q request, from int) (*job, rwstreamfault.Fault, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		return nil, rwstreamfault.Fault{}, false
	}
	j := &job{
		id:        r.Header.Get("Redwing-Request"),
		account:   r.Header.Get("Redwing-Account"),
		kind:      r.Header.Get("Redwing-Kind"),
		logIndex:  len(b.log),
		length:    q.length(),
		nextToken: from,
		prefix:    q.prefix(),
		tokens:    make(chan int, q.length()-from),
	}
	b.log = append(b.log, Execution{ID: j.id, Account: j.account, Kind: j.kind, Start: time.Now(), From: from})
	b.waiting = append(b.waiting, j)
	return j, b.takeFault(), true
}

func (b *Batch) takeFault() rwstreamfault.Fault {
	f := b.fault
	if f.Count == 1 {
		b.fault = rwstreamfault.Fault{}
	}
	if f.Count > 1 {
		b.fault.Count--
	}
	return f
}

func (b *Batch) release(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.released = true
	e := &b.log[j.logIndex]
	e.Cancelled = !e.Complete
}

// handleCancel cancels a request. Its stream ends without the last chunk.
func (b *Batch) handleCancel(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for _, list := range [][]*job{b.waiting, b.running} {
		for _, j := range list {
			if j.id == r.PathValue("id") && !j.released {
				j.released, found = true, true
			}
		}
	}
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (b *Batch) serveLoad(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := time.Now().Add(-b.LoadLag)
	var l load
	for _, past := range b.loadHistory {
		if past.At.After(limit) {
			break
		}
		l = past
	}
	_ = json.NewEncoder(w).Encode(l)
}

func (b *Batch) handleOrder(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fence, _ := strconv.ParseInt(r.Header.Get("Redwing-Fence"), 10, 64)
	if b.Fence && fence < b.highestFence {
		http.Error(w, "fence_stale", http.StatusPreconditionFailed)
		return
	}
	o := order{Fence: fence}
	if err := json.NewDecoder(r.Body).Decode(&o.Body); err != nil {
		http.Error(w, "order is not valid JSON", http.StatusBadRequest)
		return
	}
	b.highestFence = max(b.highestFence, fence)
	b.orders = append(b.orders, o)
	w.WriteHeader(http.StatusNoContent)
}

// serveJSON serves a value that is read and encoded under the lock.
func (b *Batch) serveJSON(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		data, err := json.Marshal(value())
		b.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	}
}

func (b *Batch) setState(w http.ResponseWriter, r *http.Request) {
	var v struct{ State string }
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil || v.State != "live" && v.State != "leaving" {
		http.Error(w, "state must be live or leaving", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = v.State == "leaving"
	w.WriteHeader(http.StatusNoContent)
}

func (b *Batch) setFault(w http.ResponseWriter, r *http.Request) {
	var f rwstreamfault.Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || !f.Valid() {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
	w.WriteHeader(http.StatusNoContent)
}
