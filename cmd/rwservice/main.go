// Command rwservice is a stand-in for a plain service: it logs each execution
// with its idempotency key.
package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"
)

const (
	headerTimeout = 5 * time.Second
	maxBody       = 1 << 20
)

// Execution is the log entry of one call.
type Execution struct {
	Request string    `json:"request"`
	Key     string    `json:"key"`
	Path    string    `json:"path"`
	Account string    `json:"account"`
	Start   time.Time `json:"start"`
}

type service struct {
	delay time.Duration
	mu    sync.Mutex
	log   []Execution
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen string
	s := &service{}
	c := &cobra.Command{Use: "rwservice", Short: "Plain service stand-in", SilenceUsage: true}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().DurationVar(&s.delay, "delay", 5*time.Millisecond, "time that a call takes")
	c.RunE = func(*cobra.Command, []string) error {
		m := http.NewServeMux()
		m.HandleFunc("GET /log", s.serveLog)
		m.HandleFunc("/", s.call)
		h := &http.Server{Addr: listen, Handler: m, ReadHeaderTimeout: headerTimeout}
		return h.ListenAndServe()
	}
	return c
}

func (s *service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	e := Execution{
		Request: r.Header.Get("Redwing-Request"),
		Key:     r.Header.Get("Idempotency-Key"),
		Path:    r.URL.Path,
		Account: r.Header.Get("Redwing-Account"),
		Start:   time.Now(),
	}
	s.mu.Lock()
	s.log = append(s.log, e)
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set("Redwing-Request", e.Request)
	_ = json.NewEncoder(w).Encode(map[string]string{"request": e.Request, "key": e.Key, "echo": string(body)})
}

func (s *service) serveLog(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.log)
}
