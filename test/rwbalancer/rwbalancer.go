// Package rwbalancer chooses a router for each request, as the load balancer
// in front of the fleet would.
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

// Balancer chooses among routers. Its fields are set before Run.
type Balancer struct {
	// Routers are the callers' addresses of the routers.
	Routers []string
	// Sticky sends all work of an account to one router; otherwise requests
	// take turns over the routers.
	Sticky bool
	// DetectionDelay is how long a change of /readyz goes unnoticed.
	DetectionDelay time.Duration
	// Ready asks a router whether it is ready.
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

// New returns a balancer that takes all routers to be ready.
func New(routers []string, sticky bool, notice time.Duration) *Balancer {
	return &Balancer{
		Routers:        routers,
		Sticky:         sticky,
		DetectionDelay: notice,
		Ready:          probeReadiness,
		states:         map[string]routerState{},
	}
}

// Run polls the routers' readiness until the context ends.
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
	out := !ready
	switch {
	case out == s.notReady:
		s.pending = false
	case !s.pending:
		s.pending, s.since = true, now
	}
	if s.pending && now.Sub(s.since) >= b.DetectionDelay {
		s.notReady, s.pending = out, false
	}
	b.states[addr] = s
}

// Pick returns a router for a request of the account, none of those to avoid
// if it can. It returns "" when no router is ready.
func (b *Balancer) Pick(account string, avoid ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in, fresh []int
	for i, addr := range b.Routers {
		if b.states[addr].notReady {
			continue
		}
		in = append(in, i)
		if !slices.Contains(avoid, addr) {
			fresh = append(fresh, i)
		}
	}
	if len(fresh) == 0 {
		fresh = in
	}
	if len(fresh) == 0 {
		return ""
	}
	if b.Sticky {
		return b.Routers[stickyIndex(account, fresh)]
	}
	b.next++
	return b.Routers[fresh[b.next%len(fresh)]]
}

// stickyIndex ranks positions in place of addresses, whose ports change from run to
// run, so that two runs spread the accounts in the same way.
func stickyIndex(account string, routers []int) int {
	var names []string
	for _, i := range routers {
		names = append(names, strconv.Itoa(i))
	}
	i, _ := strconv.Atoi(rwrendezvous.Top(account, names))
	return i
}
