// Package rwbatch emulates an engine's continuous batching: each step, every
// request of the batch gets one token, and waiting requests are admitted in
// their order of arrival as slots become free.
package rwbatch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxTokens bounds the answer to a request that names no length.
const maxTokens = 4096

// Batch is the state of one engine.
type Batch struct {
	name  string
	slots int
	step  time.Duration

	mu      sync.Mutex
	waiting []*job
	running []*job
	log     []Execution
}

// Execution is the log entry of one request.
type Execution struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Kind    string    `json:"kind"`
	Start   time.Time `json:"start"`
	Tokens  int       `json:"tokens"`
	Whole   bool      `json:"whole"`
}

type job struct {
	entry  int
	length int
	next   int
	gone   bool
	tokens chan int
}

// New returns an engine with the given number of slots and time between
// tokens.
func New(name string, slots int, step time.Duration) *Batch {
	return &Batch{name: name, slots: slots, step: step}
}

// Run advances the batch until the process ends.
func (b *Batch) Run() {
	for range time.Tick(b.step) {
		b.advance()
	}
}

func (b *Batch) advance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	kept := b.running[:0]
	for _, j := range b.running {
		if j.gone {
			continue
		}
		j.tokens <- j.next
		j.next++
		b.log[j.entry].Tokens++
		if j.next < j.length {
			kept = append(kept, j)
			continue
		}
		b.log[j.entry].Whole = true
		close(j.tokens)
	}
	b.running = kept
}

// Handler serves the engine's HTTP interface.
func (b *Batch) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", b.complete)
	m.HandleFunc("GET /log", b.serveLog)
	return m
}

type request struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// length is the number after the last "#" of the last message: the hidden cost
// of the request, which the router can't know beforehand.
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

func (b *Batch) complete(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Redwing-Request")
	j := b.add(id, r, q.length())
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Redwing-Request", id)
	f := http.NewResponseController(w)
	for {
		select {
		case <-r.Context().Done():
			b.drop(j)
			return
		case i, ok := <-j.tokens:
			if !ok {
				_, _ = fmt.Fprintf(w, "data: [DONE]\n\n")
				return
			}
			b.writeChunk(w, id, i, j.length)
			_ = f.Flush()
		}
	}
}

func (b *Batch) writeChunk(w http.ResponseWriter, id string, i, length int) {
	if i+1 < length {
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":\"%s/%d \"}\n\n", id, i, id, i)
		return
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":\"%s/%d \",\"finish\":\"stop\",\"usage\":%d}\n\n", id, i, id, i, length)
}

func (b *Batch) add(id string, r *http.Request, length int) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := &job{entry: len(b.log), length: length, tokens: make(chan int, maxTokens)}
	b.log = append(b.log, Execution{
		ID:      id,
		Account: r.Header.Get("Redwing-Account"),
		Kind:    r.Header.Get("Redwing-Kind"),
		Start:   time.Now(),
	})
	b.waiting = append(b.waiting, j)
	return j
}

func (b *Batch) drop(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.gone = true
}

func (b *Batch) serveLog(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = json.NewEncoder(w).Encode(b.log)
}
