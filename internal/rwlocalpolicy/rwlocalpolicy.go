// Package rwlocalpolicy is the baseline policy: round robin over the upstreams of a
// pool with a local queue in each router and no exchange between routers. The
// measurements compare the fleet policy with it.
package rwlocalpolicy

import (
	"context"
	"sync"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslot"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwupstream"
)

const (
	slotLifetime = time.Second
	maxWaiting   = 10000
	refusalDelay = time.Second
)

// Policy hands out slots in order of arrival.
type Policy struct {
	// Snapshot returns the configuration in force.
	Snapshot func() *rwsnapshot.Snapshot

	mu      sync.Mutex
	next    map[string]int
	running map[string]int
	waiting map[string][]chan rwupstream.Upstream
}

// New returns a policy with no running requests.
func New(view func() *rwsnapshot.Snapshot) *Policy {
	return &Policy{
		Snapshot: view,
		next:     map[string]int{},
		running:  map[string]int{},
		waiting:  map[string][]chan rwupstream.Upstream{},
	}
}

// Acquire waits for a slot. It fails with QueueFull, CallerGone or
// DeadlineExceeded.
func (p *Policy) Acquire(ctx context.Context, q *rwrequest.Request) (*rwslot.Slot, error) {
	turn, err := p.enter(q.Pool)
	if err != nil {
		return nil, err
	}
	select {
	case u := <-turn:
		return p.slot(q.Pool, u), nil
	case <-ctx.Done():
		p.abandon(q.Pool, turn)
		return nil, rwfault.New(rwcode.DeadlineExceeded, q.ID)
	}
}

func (p *Policy) enter(pool string) (chan rwupstream.Upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting[pool]) >= maxWaiting {
		return nil, rwfault.New(rwcode.QueueFull, pool).WithRetryAfter(refusalDelay)
	}
	turn := make(chan rwupstream.Upstream, 1)
	p.waiting[pool] = append(p.waiting[pool], turn)
	p.serve(pool)
	return turn, nil
}

func (p *Policy) serve(pool string) {
	for len(p.waiting[pool]) > 0 {
		u, ok := p.pick(pool)
		if !ok {
			return
		}
		p.running[u.Name]++
		p.waiting[pool][0] <- u
		p.waiting[pool] = p.waiting[pool][1:]
	}
}

func (p *Policy) pick(pool string) (rwupstream.Upstream, bool) {
	list := p.Snapshot().PoolUpstreams(pool)
	for range list {
		u := list[p.next[pool]%len(list)]
		p.next[pool]++
		if p.running[u.Name] < u.Window {
			return u, true
		}
	}
	return rwupstream.Upstream{}, false
}

func (p *Policy) slot(pool string, u rwupstream.Upstream) *rwslot.Slot {
	return &rwslot.Slot{
		Upstream: u,
		Expires:  time.Now().Add(slotLifetime),
		Done: func(float64, time.Duration, time.Duration, rwcode.Code) {
			p.release(pool, u.Name)
		},
	}
}

func (p *Policy) release(pool, upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[upstream]--
	p.serve(pool)
}

func (p *Policy) abandon(pool string, turn chan rwupstream.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.waiting[pool] {
		if t == turn {
			p.waiting[pool] = append(p.waiting[pool][:i], p.waiting[pool][i+1:]...)
			return
		}
	}
	u := <-turn
	p.running[u.Name]--
	p.serve(pool)
}
