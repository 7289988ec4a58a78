// Package rwplainservice emulates a plain service: it runs calls and logs each
// execution with its idempotency key.
package rwplainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const maxBody = 1 << 20

// Service is a stand-in for a plain service. Its exported fields must be set
// before the first call.
type Service struct {
	// Delay is the time that a call takes.
	Delay time.Duration
	// Fence makes the service refuse calls with a fencing token below the
	// highest seen. Calls without a token are not orders and are not checked.
	Fence bool

	mu             sync.Mutex
	log            []Execution
	refusedByFence int
	highestFence   int64
	fault          fault
	leaving        bool
}

// Execution is the log entry of one call.
type Execution struct {
	Request string    `json:"request"`
	Key     string    `json:"key"`
	Path    string    `json:"path"`
	Account string    `json:"account"`
	Kind    string    `json:"kind"`
	Fence   int64     `json:"fence"`
	Start   time.Time `json:"start"`
}

// fault is a failure of the next Count calls, or of all calls if Count is 0: the
// connection is closed before or after the call is executed, the response is
// delayed, or it has the id of another request.
type fault struct {
	Fault   string `json:"fault"`
	Count   int    `json:"count"`
	DelayMS int    `json:"delay_ms"`
}

var faults = []string{"", "drop_before", "drop_after", "delay", "foreign"}

// Handler returns the service's HTTP interface. Every path is a call, except those
// that control the stand-in.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /log", s.serveLog)
	m.HandleFunc("POST /admin/faults", s.setFault)
	m.HandleFunc("POST /admin/state", s.setState)
	m.HandleFunc("/", s.handleCall)
	return m
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("Redwing-Fence"), 10, 64)
	e := Execution{
		Request: r.Header.Get("Redwing-Request"),
		Key:     r.Header.Get("Idempotency-Key"),
		Path:    r.URL.Path,
		Account: r.Header.Get("Redwing-Account"),
		Kind:    r.Header.Get("Redwing-Kind"),
		Fence:   fence,
		Start:   time.Now(),
	}
	w.Header().Set("Redwing-Request", e.Request)
	f, status := s.execute(e)
	if f.Fault == "drop_before" || f.Fault == "drop_after" {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		writeRefusal(w, status)
		return
	}
	time.Sleep(s.Delay + time.Duration(f.DelayMS)*time.Millisecond)
	if f.Fault == "foreign" {
		w.Header().Set("Redwing-Request", "other-"+e.Request)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"request": e.Request, "key": e.Key, "echo": string(body)})
}

func writeRefusal(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Redwing-State", "leaving")
	}
	http.Error(w, http.StatusText(status), status)
}

// execute logs the call, unless it is refused or dropped before execution, and
// returns the fault to apply to its response and the status.
func (s *Service) execute(e Execution) (fault, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return fault{}, http.StatusServiceUnavailable
	}
	if s.Fence && e.Fence > 0 && e.Fence < s.highestFence {
		s.refusedByFence++
		return fault{}, http.StatusPreconditionFailed
	}
	f := s.fault
	if f.Count == 1 {
		s.fault = fault{}
	}
	if f.Count > 1 {
		s.fault.Count--
	}
	if f.Fault == "drop_before" {
		return f, http.StatusOK
	}
	s.highestFence = max(s.highestFence, e.Fence)
	s.log = append(s.log, e)
	return f, http.StatusOK
}

func (s *Service) serveLog(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log == nil {
		s.log = []Execution{}
	}
	w.Header().Set("Fence-Refused", strconv.Itoa(s.refusedByFence))
	_ = json.NewEncoder(w).Encode(s.log)
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	var f fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || !slices.Contains(faults, f.Fault) {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) setState(w http.ResponseWriter, r *http.Request) {
	var v struct{ State string }
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil || v.State != "live" && v.State != "leaving" {
		http.Error(w, "state must be live or leaving", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = v.State == "leaving"
	w.WriteHeader(http.StatusNoContent)
}
