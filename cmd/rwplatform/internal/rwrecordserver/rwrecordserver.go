// Package rwrecordserver holds published records with their revisions and serves
// reads and watches of them. It can emulate a platform service that is down,
// returns stale records or publishes VMs late.
package rwrecordserver

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"redwingworks.example/internal/rwrecord"
)

const maxWait = 60 * time.Second

// Server holds the records of the platform service and its emulated faults.
type Server struct {
	mu sync.Mutex
	// history holds every published record in the order of its revision.
	history []rwrecord.Record
	// changed is closed and replaced on every change of records or faults.
	changed chan struct{}
	// outage is "", "refuse" or "hang".
	outage string
	stale  stale
	// vmLag is the delay of published records of kind vm.
	vmLag time.Duration
	// calls counts calls by kind, and as "refused" those refused by an outage.
	calls map[string]int64
}

// stale makes some clients see only the records up to a revision.
type stale struct {
	// Rev is the revision of the old state; 0 ends the staleness.
	Rev int64 `json:"rev"`
	// Fraction is the part of the connections of the main address that see
	// the old state, 0 to 1. The replica address always shows it.
	Fraction float64 `json:"fraction"`
}

type listing struct {
	Rev   int64             `json:"rev"`
	Items []rwrecord.Record `json:"items"`
}

// New returns a Server without records.
func New() *Server {
	return &Server{changed: make(chan struct{}), calls: map[string]int64{}}
}

// Load publishes the records of a file.
func (s *Server) Load(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var items []rwrecord.Record
	if err := json.Unmarshal(data, &items); err != nil {
		return err
	}
	s.Publish(items)
	return nil
}

// Publish stores records under new revisions and notifies the watches. If vmLag
// is set, records of kind vm are stored after that delay.
func (s *Server) Publish(items []rwrecord.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var late []rwrecord.Record
	for _, r := range items {
		if r.Kind == "vm" && s.vmLag > 0 {
			late = append(late, r)
			continue
		}
		s.appendRecord(r)
	}
	s.notify()
	if len(late) > 0 {
		time.AfterFunc(s.vmLag, func() { s.publishLate(late) })
	}
}

func (s *Server) publishLate(items []rwrecord.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range items {
		s.appendRecord(r)
	}
	s.notify()
}

func (s *Server) appendRecord(r rwrecord.Record) {
	r.Rev = int64(len(s.history)) + 1
	s.history = append(s.history, r)
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the platform's HTTP interface. All connections to a replica are
// subject to staleness, only a fraction of those to the main address.
func (s *Server) Handler(replica bool) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/records", func(w http.ResponseWriter, r *http.Request) {
		s.serveRecords(w, r, replica, "records", 0, 0)
	})
	m.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		seconds, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		s.serveRecords(w, r, replica, "watch", after, min(time.Duration(seconds)*time.Second, maxWait))
	})
	m.HandleFunc("POST /admin/records", s.handlePublish)
	m.HandleFunc("POST /admin/outage", s.setOutage)
	m.HandleFunc("POST /admin/stale", s.setStale)
	m.HandleFunc("POST /admin/lag", s.setLag)
	m.HandleFunc("GET /admin/calls", s.serveCalls)
	return m
}

// newestAfter returns the newest record of each kind and name that the client may
// see, if its revision is above rev, and the current outage. The channel is closed
// on the next change.
func (s *Server) newestAfter(client string, replica bool, rev int64) (listing, string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := int64(len(s.history))
	if s.stale.Rev > 0 && (replica || connectionFraction(client) < s.stale.Fraction) {
		last = min(last, s.stale.Rev)
	}
	l := listing{Rev: last, Items: []rwrecord.Record{}}
	newest := map[[2]string]int64{}
	for _, r := range s.history[:last] {
		newest[[2]string{r.Kind, r.Name}] = r.Rev
	}
	for _, r := range s.history[:last] {
		if r.Rev > rev && newest[[2]string{r.Kind, r.Name}] == r.Rev {
			l.Items = append(l.Items, r)
		}
	}
	return l, s.outage, s.changed
}

// connectionFraction maps a client's address and port to a number from 0 to 1.
func connectionFraction(client string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(client))
	// FNV leaves the difference of neighbouring ports in the lowest bits; the
	// multiplication spreads it to the upper ones.
	return float64(h.Sum32()*2654435761) / (1 << 32)
}

func (s *Server) countCall(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call]++
}

// serveRecords responds as soon as there are records with a revision above rev, at
// the latest when the wait ends. An outage also affects calls that already wait.
func (s *Server) serveRecords(w http.ResponseWriter, r *http.Request, replica bool, call string, rev int64, wait time.Duration) {
	s.countCall(call)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ended := wait == 0
	for {
		l, outage, changed := s.newestAfter(r.RemoteAddr, replica, rev)
		if outage == "refuse" {
			s.countCall("refused")
			panic(http.ErrAbortHandler)
		}
		if outage == "" && (len(l.Items) > 0 || ended) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) handlePublish(w http.ResponseWriter, r *http.Request) {
	var items []rwrecord.Record
	if decode(w, r, &items) {
		s.Publish(items)
		w.WriteHeader(http.StatusNoContent)
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, "request body is not valid JSON for this path", http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) setOutage(w http.ResponseWriter, r *http.Request) {
	var v struct{ Mode string }
	if !decode(w, r, &v) {
		return
	}
	if v.Mode != "" && v.Mode != "refuse" && v.Mode != "hang" {
		http.Error(w, "mode must be refuse, hang or empty", http.StatusBadRequest)
		return
	}
	s.update(w, func() { s.outage = v.Mode })
}

func (s *Server) setStale(w http.ResponseWriter, r *http.Request) {
	var v stale
	if decode(w, r, &v) {
		s.update(w, func() { s.stale = v })
	}
}

func (s *Server) setLag(w http.ResponseWriter, r *http.Request) {
	var v struct {
		MS int `json:"ms"`
	}
	if decode(w, r, &v) {
		s.update(w, func() { s.vmLag = time.Duration(v.MS) * time.Millisecond })
	}
}

func (s *Server) update(w http.ResponseWriter, set func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set()
	s.notify()
	w.WriteHeader(http.StatusNoContent)
}

// serveCalls returns the number of calls by kind, and of those refused by an
// outage.
func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.calls)
}
