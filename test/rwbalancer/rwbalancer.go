// Package rwbalancer simulates the load balancer in front of the fleet.
package rwbalancer

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"redwingworks.example/internal/rwrendezvous"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
)

// Balancer chooses routers for requests. Its fields are set before Run.
type Balancer struct {
	// Routers are the addresses of the routers for callers.
	Routers []string
	// Sticky sends all requests of an account to the same router. Without it,
	// requests are distributed round-robin.
	Sticky bool
	// DetectionDelay is how long a changed readiness must last to take effect.
	DetectionDelay time.Duration
	// Ready reports whether a router is ready.
	Ready func(ctx context.Context, addr string) bool

	mu     sync.Mutex
	next   int
	states map[string]routerState
}

type routerState struct {
	notReady bool
	pending  bool
	since    time.Time
}

// New returns a balancer that assumes that all routers are ready.
func New(routers []string, sticky bool, detectionDelay time.Duration) *Balancer {
	return &Balancer{
		Routers:        routers,
		Sticky:         sticky,
		DetectionDelay: detectionDelay,
		Ready:          probeReadiness,
		states:         map[string]routerState{},
	}
}

// Run polls the readiness of the routers until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, addr := range b.Routers {
		all.Go(func() { b.poll(ctx, addr) })
	}
	all.Wait()
}

func (b *Balancer) poll(ctx context.Context, addr string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		b.recordReadiness(addr, b.Ready(ctx, addr), time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func probeReadiness(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *Balancer) recordReadiness(addr string, ready bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[addr]
	notReady := !ready
	switch {
	case notReady == s.notReady:
		s.pending = false
	case !s.pending:
		s.pending, s.since = true, now
	}
	if s.pending && now.Sub(s.since) >= b.DetectionDelay {
		s.notReady, s.pending = notReady, false
	}
	b.states[addr] = s
}

// Pick returns a router for a request of the account, preferably none of those
// to avoid. It returns "" when no router is ready.
func (b *Balancer) Pick(account string, avoid ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, preferred []int
	for i, addr := range b.Routers {
		if b.states[addr].notReady {
			continue
		}
		ready = append(ready, i)
		if !slices.Contains(avoid, addr) {
			preferred = append(preferred, i)
		}
	}
	if len(preferred) == 0 {
		preferred = ready
	}
	if len(preferred) == 0 {
		return ""
	}
	if b.Sticky {
		return b.Routers[stickyIndex(account, preferred)]
	}
	b.next++
	return b.Routers[preferred[b.next%len(preferred)]]
}

// stickyIndex ranks indexes instead of addresses, whose ports change with every
// run, so that two runs distribute the accounts in the same way.
func stickyIndex(account string, routers []int) int {
	var names []string
	for _, i := range routers {
		names = append(names, strconv.Itoa(i))
	}
	i, _ := strconv.Atoi(rwrendezvous.Top(account, names))
	return i
}
