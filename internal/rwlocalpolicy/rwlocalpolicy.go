// Package rwlocalpolicy is the baseline policy: round robin over the upstreams of
// a pool, with a local queue in each router and no communication between routers.
// The measurements compare the fleet policy with it.
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
	slotLifetime        = time.Second
	maxQueueLength      = 10000
	queueFullRetryAfter = time.Second
)

// Policy assigns slots to requests in order of arrival.
type Policy struct {
	// Snapshot returns the active configuration.
	Snapshot func() *rwsnapshot.Snapshot

	mu      sync.Mutex
	next    map[string]int
	running map[string]int
	waiting map[string][]chan rwupstream.Upstream
}

// New returns a policy with no running requests.
func New(snapshot func() *rwsnapshot.Snapshot) *Policy {
	return &Policy{
		Snapshot: snapshot,
		next:     map[string]int{},
		running:  map[string]int{},
		waiting:  map[string][]chan rwupstream.Upstream{},
	}
}

// Acquire waits for a slot. It fails with QueueFull, or with DeadlineExceeded when
// the context ends for any reason.
func (p *Policy) Acquire(ctx context.Context, q *rwrequest.Request) (*rwslot.Slot, error) {
	assigned, err := p.enqueue(q.Pool)
	if err != nil {
		return nil, err
	}
	select {
	case u := <-assigned:
		return p.slot(q.Pool, u), nil
	case <-ctx.Done():
		p.cancel(q.Pool, assigned)
		return nil, rwfault.New(rwcode.DeadlineExceeded, q.ID)
	}
}

func (p *Policy) enqueue(pool string) (chan rwupstream.Upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting[pool]) >= maxQueueLength {
		return nil, rwfault.New(rwcode.QueueFull, pool).WithRetryAfter(queueFullRetryAfter)
	}
	assigned := make(chan rwupstream.Upstream, 1)
	p.waiting[pool] = append(p.waiting[pool], assigned)
	p.dispatch(pool)
	return assigned, nil
}

// dispatch assigns free upstreams of a pool to the requests that wait for it.
func (p *Policy) dispatch(pool string) {
	for len(p.waiting[pool]) > 0 {
		u, ok := p.nextFreeUpstream(pool)
		if !ok {
			return
		}
		p.running[u.Name]++
		p.waiting[pool][0] <- u
		p.waiting[pool] = p.waiting[pool][1:]
	}
}

// nextFreeUpstream returns the next upstream of a pool, in round-robin order, that
// has a free slot.
func (p *Policy) nextFreeUpstream(pool string) (rwupstream.Upstream, bool) {
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
	p.dispatch(pool)
}

// cancel removes a request from the queue. If it got a slot at the same moment,
// the slot is released.
func (p *Policy) cancel(pool string, assigned chan rwupstream.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.waiting[pool] {
		if t == assigned {
			p.waiting[pool] = append(p.waiting[pool][:i], p.waiting[pool][i+1:]...)
			return
		}
	}
	u := <-assigned
	p.running[u.Name]--
	p.dispatch(pool)
}
