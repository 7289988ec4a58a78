// Package rwfleetpolicy is the entry side of the fleet policy: requests wait here,
// levels are declared to the owners of cells, and each grant is bound to the
// best waiting request.
package rwfleetpolicy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdemand"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwpause"
	"redwingworks.example/internal/rwprefix"
	"redwingworks.example/internal/rwqueue"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslot"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwusage"
)

const (
	// slotLifetime bounds the time between a grant and the call. A process
	// that was frozen in between must not use the grant, since its owner may
	// have given the slot away.
	slotLifetime = time.Second
	// flushInterval batches messages of one router.
	flushInterval = time.Millisecond
	// usageDelay bounds how late an owner learns that a running request costs
	// more than was charged.
	usageDelay = 200 * time.Millisecond
	// beatInterval is how often the process shows itself that it runs, and
	// distrustTime how long after a pause grants are returned: by then the
	// messages that waited in sockets have been read.
	beatInterval = 200 * time.Millisecond
	distrustTime = 500 * time.Millisecond
	// noUpstreamRetry is what a caller is told when a pool has no upstream.
	noUpstreamRetry = 2 * time.Second
)

// Policy hands out slots of the fleet. Its function fields are set before the
// first request.
type Policy struct {
	// Self is this router.
	Self rwidentity.Identity
	// Snapshot returns the configuration in force.
	Snapshot func() *rwsnapshot.Snapshot
	// Send sends a message to the owner of a cell without waiting.
	Send func(to rwidentity.Identity, method string, m *rwslotmessage.Message)
	// Now is the clock.
	Now func() time.Time
	// Affinity remembers where prompt prefixes ran; nil ignores them.
	Affinity *rwprefix.Affinity

	kick chan struct{}

	mu     sync.Mutex
	queue  *rwqueue.Queue
	demand *rwdemand.Demand
	cells  map[string]target
	// assigned is set with the first cells. Until then requests wait: a
	// router that has started gets forwarded calls before it knows its cells.
	assigned bool
	waiting  map[*rwrequest.Request]chan result
	running  map[grantKey]*running
	outbox   map[rwidentity.Identity]map[string]*rwslotmessage.Message
	// usage waits for another message to the same cell, at most until
	// usageDue.
	usage    map[grantKey]float64
	usageDue time.Time
	// beat is when this router last acted, distrust until when it returns
	// all grants after a pause.
	beat     time.Time
	distrust time.Time
}

type target struct {
	cell  rwcell.Cell
	owner rwidentity.Identity
}

type grantKey struct {
	cell string
	id   uint64
}

// running is a grant that is bound to a request.
type running struct {
	grant rwgrant.Grant
	// granter gets the cost; it changes when the cell gets another owner.
	granter rwidentity.Identity
}

type result struct {
	slot *rwslot.Slot
	err  error
}

// New returns a policy for a router. Equal seeds give equal choices of cells.
func New(self rwidentity.Identity, seed uint64) *Policy {
	return &Policy{
		Self:    self,
		kick:    make(chan struct{}, 1),
		queue:   rwqueue.New(),
		demand:  rwdemand.New(seed),
		cells:   map[string]target{},
		waiting: map[*rwrequest.Request]chan result{},
		running: map[grantKey]*running{},
		outbox:  map[rwidentity.Identity]map[string]*rwslotmessage.Message{},
		usage:   map[grantKey]float64{},
	}
}

// Update takes in a change of the configuration or of the live routers.
func (p *Policy) Update(cells []rwcell.Cell, live []rwidentity.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cells = map[string]target{}
	var targets []rwdemand.Target
	owners := rwcell.AssignOwners(cells, live)
	for _, c := range cells {
		owner, ok := owners[c.Name]
		if !ok {
			continue
		}
		p.cells[c.Name] = target{c, owner}
		targets = append(targets, rwdemand.Target{
			Name:     c.Name,
			Pools:    c.Pools,
			Owner:    rwcell.IncarnationKey(owner),
			SameZone: c.Zone == p.Self.Zone,
		})
	}
	p.demand.SetCells(targets)
	p.assigned = true
	p.wake()
}

// Resync tells the cell's owner everything again, if it is the owner that this
// router knows. A new owner asks for it, since messages before it took the
// cell were lost.
func (p *Policy) Resync(from rwidentity.Identity, cell string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.cells[cell]; ok && t.owner.Name == from.Name {
		p.demand.Resync(cell)
		p.wake()
	}
}

// Acquire waits for a slot for the request. It fails with QueueFull,
// QueueBytes, DeadlineUnreachable, NoUpstream, DeadlineExceeded or CallerGone;
// in each case the request was not run.
func (p *Policy) Acquire(ctx context.Context, r *rwrequest.Request) (*rwslot.Slot, error) {
	answer, err := p.enter(r)
	if err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		return a.slot, a.err
	case <-ctx.Done():
		return nil, p.abandon(ctx, r, answer)
	}
}

func (p *Policy) enter(r *rwrequest.Request) (chan result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.assigned && !p.serves(r.Pool) {
		return nil, rwfault.New(rwcode.NoUpstream, r.Pool).WithRetryAfter(noUpstreamRetry)
	}
	evicted, err := p.queue.Push(p.Now(), r)
	for _, e := range evicted {
		p.answer(e, result{err: rwfault.New(rwcode.QueueFull, e.Account).WithRetryAfter(noUpstreamRetry)})
	}
	if err != nil {
		return nil, err
	}
	answer := make(chan result, 1)
	p.waiting[r] = answer
	p.wake()
	return answer, nil
}

func (p *Policy) serves(pool string) bool {
	for _, t := range p.cells {
		if t.cell.Runs(pool) {
			return true
		}
	}
	return false
}

func (p *Policy) answer(r *rwrequest.Request, a result) {
	if c := p.waiting[r]; c != nil {
		delete(p.waiting, r)
		c <- a
	}
}

// abandon takes a request out of the queue. A slot that came at the same
// moment is given back.
func (p *Policy) abandon(ctx context.Context, r *rwrequest.Request, answer chan result) error {
	p.mu.Lock()
	_, waits := p.waiting[r]
	if waits {
		p.queue.Cancel(r)
		delete(p.waiting, r)
		p.wake()
	}
	p.mu.Unlock()
	if !waits {
		if a := <-answer; a.slot != nil {
			a.slot.Done(0, 0, 0, rwcode.CallerGone)
		}
	}
	var why *rwfault.Fault
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &why):
		return why.WithOutcome(rwoutcome.NotRun)
	case errors.Is(cause, context.DeadlineExceeded):
		return rwfault.New(rwcode.DeadlineExceeded, r.ID)
	default:
		return rwfault.New(rwcode.CallerGone, r.ID)
	}
}

// HandleGrants binds grants to waiting requests and returns those that find none.
func (p *Policy) HandleGrants(from rwidentity.Identity, m *rwslotmessage.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.paused()
	for _, g := range m.Grants {
		g.Cell, g.Entry = m.Cell, p.Self.Name
		if paused {
			p.giveBack(from, g)
			continue
		}
		p.bind(from, g)
	}
	p.wake()
}

// paused reports whether the process was frozen a moment ago. Grants that waited
// in a socket meanwhile look new, but their upstream may have left since: a
// router that had been frozen started a request 3.08 s after the publication.
func (p *Policy) paused() bool {
	now := p.Now()
	if !p.beat.IsZero() {
		// The monotonic clock of a suspended VM may stand still.
		late := max(now.Sub(p.beat), now.Round(0).Sub(p.beat.Round(0)))
		if late > rwpause.Limit {
			p.distrust = now.Add(distrustTime)
		}
	}
	p.beat = now
	return now.Before(p.distrust)
}

func (p *Policy) giveBack(from rwidentity.Identity, g rwgrant.Grant) {
	p.demand.Granted(g.Cell, rwqueue.FlowKey{Account: g.Account, Kind: g.Kind})
	m := p.message(from, g.Cell)
	m.Done = append(m.Done, rwusage.Usage{ID: g.ID, Code: rwcode.Paused})
}

// HandleCheck answers an owner with the grants that are not running here.
func (p *Policy) HandleCheck(from rwidentity.Identity, m *rwslotmessage.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range m.IDs {
		if p.running[grantKey{m.Cell, id}] == nil {
			w := p.message(from, m.Cell)
			w.Done = append(w.Done, rwusage.Usage{ID: id})
		}
	}
	p.wake()
}

func (p *Policy) bind(from rwidentity.Identity, g rwgrant.Grant) {
	p.demand.Granted(g.Cell, rwqueue.FlowKey{Account: g.Account, Kind: g.Kind})
	p.running[grantKey{g.Cell, g.ID}] = &running{g, from}
	up, ok := p.Snapshot().Upstream(g.Upstream)
	if !ok || up.Leaving {
		p.done(g, rwusage.Usage{ID: g.ID, Code: rwcode.UpstreamLeaving})
		return
	}
	r := p.queue.Take(p.Now(), g.Account, g.Kind, up.Pools, p.preference(up.Name))
	if r == nil {
		p.done(g, rwusage.Usage{ID: g.ID})
		return
	}
	if p.Affinity != nil {
		p.Affinity.Record(r.PrefixHash, up.Name)
	}
	p.answer(r, result{slot: &rwslot.Slot{
		Upstream:   up,
		Expires:    p.Now().Add(slotLifetime),
		ReportCost: p.meter(g),
		Done: func(cost float64, first, total time.Duration, code rwcode.Code) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.done(g, rwusage.Usage{ID: g.ID, Cost: cost, First: first, Total: total, Code: code})
			p.wake()
		},
	}})
}

// preference prefers requests whose prefix the upstream ran last.
func (p *Policy) preference(upstream string) func(*rwrequest.Request) bool {
	if p.Affinity == nil {
		return nil
	}
	return func(r *rwrequest.Request) bool { return p.Affinity.LastRanOn(r.PrefixHash, upstream) }
}

// meter reports the cost of a running request when it reaches 1, 2, 4 … times
// what was charged, so that a request of unknown cost is charged while it runs
// with few messages.
func (p *Policy) meter(g rwgrant.Grant) func(float64) {
	next := max(g.Cost, 1)
	return func(cost float64) {
		if cost <= next {
			return
		}
		next *= 2
		p.mu.Lock()
		defer p.mu.Unlock()
		if k := (grantKey{g.Cell, g.ID}); p.running[k] != nil {
			p.usage[k] = next
			p.wake()
		}
	}
}

// addUsage adds usage to messages that go in any case, and to messages of its
// own when it has waited for usageDelay.
func (p *Policy) addUsage(now time.Time) {
	if len(p.usage) == 0 {
		return
	}
	if p.usageDue.IsZero() {
		p.usageDue = now.Add(usageDelay)
	}
	due := !now.Before(p.usageDue)
	for k, cost := range p.usage {
		r := p.running[k]
		if r == nil {
			delete(p.usage, k)
			continue
		}
		if due || p.outbox[r.granter][k.cell] != nil {
			m := p.message(r.granter, k.cell)
			m.Usage = append(m.Usage, rwusage.Usage{ID: k.id, Cost: cost})
			delete(p.usage, k)
		}
	}
	if due || len(p.usage) == 0 {
		p.usageDue = time.Time{}
	}
}

func (p *Policy) done(g rwgrant.Grant, s rwusage.Usage) {
	k := grantKey{g.Cell, g.ID}
	r := p.running[k]
	if r == nil {
		return
	}
	delete(p.running, k)
	m := p.message(r.granter, g.Cell)
	m.Done = append(m.Done, s)
}

func (p *Policy) message(to rwidentity.Identity, cell string) *rwslotmessage.Message {
	cells := p.outbox[to]
	if cells == nil {
		cells = map[string]*rwslotmessage.Message{}
		p.outbox[to] = cells
	}
	m := cells[cell]
	if m == nil {
		m = &rwslotmessage.Message{Cell: cell}
		cells[cell] = m
	}
	return m
}

func (p *Policy) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// Run sends messages until the context ends.
func (p *Policy) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
			p.mu.Lock()
			p.paused()
			p.mu.Unlock()
			continue
		case <-p.kick:
		case <-timer.C:
		}
		next := p.flush()
		time.Sleep(flushInterval)
		wait := time.Hour
		if !next.IsZero() {
			wait = max(next.Sub(p.Now()), 0)
		}
		timer.Reset(wait)
	}
}

type envelope struct {
	to     rwidentity.Identity
	method string
	m      *rwslotmessage.Message
}

func (p *Policy) flush() time.Time {
	list, next := p.collect()
	for _, e := range list {
		p.Send(e.to, e.method, e.m)
	}
	return next
}

func (p *Policy) collect() ([]envelope, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, l := range p.queue.Changed() {
		count, hint := p.queue.Length(l)
		p.demand.SetFlow(now, l, p.queue.Pool(l), count, hint)
	}
	levels, synced := p.demand.Due(now, func(cell string) bool {
		return p.outbox[p.cells[cell].owner][cell] != nil
	})
	var out []envelope
	for _, name := range synced {
		out = append(out, envelope{p.cells[name].owner, rwslotmessage.Sync, p.sync(name, levels[name])})
		delete(levels, name)
	}
	for name, m := range levels {
		w := p.message(p.cells[name].owner, name)
		w.Backlogs = m.Backlogs
	}
	p.addUsage(now)
	for to, cells := range p.outbox {
		for _, m := range cells {
			out = append(out, envelope{to, rwslotmessage.Want, m})
		}
	}
	clear(p.outbox)
	next := p.demand.NextDue()
	if !p.usageDue.IsZero() && (next.IsZero() || p.usageDue.Before(next)) {
		next = p.usageDue
	}
	return out, next
}

// sync adds the running grants of a cell to the message for its new owner,
// which gets their costs from now on.
func (p *Policy) sync(cell string, m *rwslotmessage.Message) *rwslotmessage.Message {
	owner := p.cells[cell].owner
	for _, r := range p.running {
		if r.grant.Cell == cell {
			r.granter = owner
			m.Running = append(m.Running, r.grant)
		}
	}
	slices.SortFunc(m.Running, func(a, b rwgrant.Grant) int { return int(int64(a.ID) - int64(b.ID)) })
	return m
}

// Counts returns the number of waiting and of running requests.
func (p *Policy) Counts() (waiting, run int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Count(), len(p.running)
}
