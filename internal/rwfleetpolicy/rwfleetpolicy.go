// Package rwfleetpolicy is the entry router's side of the fleet policy. It
// queues requests, reports the backlog of each flow to the owners of cells, and
// assigns each grant to the best waiting request.
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
	"redwingworks.example/internal/rwretryafter"
	"redwingworks.example/internal/rwslot"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwusage"
)

const (
	// slotLifetime bounds the time between the arrival of a grant and the call.
	// A process that was paused in between must not use the grant, since its
	// owner may have given the slot to another request.
	slotLifetime = time.Second
	// flushInterval is the shortest time between two flushes of the outbox.
	// Messages that arise in between are sent in one batch.
	flushInterval = time.Millisecond
	// usageDelay bounds the delay of the report that a running request costs
	// more than was charged.
	usageDelay = 200 * time.Millisecond
	// heartbeatInterval is how often the process checks whether it was paused.
	// Grants are rejected for rejectTimeAfterPause after a pause: by then the
	// messages that waited in socket buffers have been read.
	heartbeatInterval    = 200 * time.Millisecond
	rejectTimeAfterPause = 500 * time.Millisecond
	// defaultRetryAfter is the retry delay sent to a caller whose pool has no
	// upstream, or whose request was evicted from the queue.
	defaultRetryAfter = 2 * time.Second
)

// Policy assigns slots granted by the owners of cells to requests. Its exported
// fields must be set before the first request.
type Policy struct {
	// Self is this router.
	Self rwidentity.Identity
	// Snapshot returns the active configuration.
	Snapshot func() *rwsnapshot.Snapshot
	// Send sends a message to the owner of a cell without blocking.
	Send func(to rwidentity.Identity, method string, m *rwslotmessage.Message)
	// Now is the clock.
	Now func() time.Time
	// Affinity records where prompt prefixes ran. If it is nil, prefixes are
	// ignored.
	Affinity *rwprefix.Affinity

	wakeup chan struct{}

	mu     sync.Mutex
	queue  *rwqueue.Queue
	demand *rwdemand.Demand
	cells  map[string]ownedCell
	// assigned is set by the first Update. Until then requests for any pool
	// wait: a router that has just started receives forwarded calls before it
	// has computed the cells.
	assigned bool
	waiting  map[*rwrequest.Request]chan result
	running  map[grantKey]*runningGrant
	outbox   map[rwidentity.Identity]map[string]*rwslotmessage.Message
	// retryAfter has the upstreams that want no requests from this router.
	retryAfter *rwretryafter.Table
	// usage holds the costs that costReporter computed for running requests and
	// that have not been sent yet. They are sent with another message to the
	// same cell, or at usageDue.
	usage    map[grantKey]float64
	usageDue time.Time
	// lastActive is the time of the last check for a pause. Until rejectUntil
	// all grants are rejected, because the process was paused.
	lastActive  time.Time
	rejectUntil time.Time
}

// ownedCell is a cell and the router that owns it.
type ownedCell struct {
	cell  rwcell.Cell
	owner rwidentity.Identity
}

type grantKey struct {
	cell string
	id   uint64
}

// runningGrant is a grant that has not been returned yet.
type runningGrant struct {
	grant rwgrant.Grant
	// owner receives the cost. It changes when the cell gets a new owner.
	owner rwidentity.Identity
}

type result struct {
	slot *rwslot.Slot
	err  error
}

// New returns a policy for a router. Equal seeds give equal samples of cells.
func New(self rwidentity.Identity, seed uint64) *Policy {
	return &Policy{
		Self:    self,
		wakeup:  make(chan struct{}, 1),
		queue:   rwqueue.New(),
		demand:  rwdemand.New(seed),
		cells:   map[string]ownedCell{},
		waiting: map[*rwrequest.Request]chan result{},
		running: map[grantKey]*runningGrant{},
		outbox:  map[rwidentity.Identity]map[string]*rwslotmessage.Message{},
		usage:   map[grantKey]float64{},

		retryAfter: rwretryafter.New(),
	}
}

// Update applies a change of the configuration or of the live routers.
func (p *Policy) Update(cells []rwcell.Cell, live []rwidentity.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cells = map[string]ownedCell{}
	var targets []rwdemand.Target
	owners := rwcell.AssignOwners(cells, live)
	for _, c := range cells {
		owner, ok := owners[c.Name]
		if !ok {
			continue
		}
		p.cells[c.Name] = ownedCell{c, owner}
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

// Resync sends the full state to the cell's owner again, if from is the owner
// according to the last Update. A new owner asks for it, since messages sent
// before it took ownership were lost.
func (p *Policy) Resync(from rwidentity.Identity, cell string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.cells[cell]; ok && t.owner.Name == from.Name {
		p.demand.Resync(cell)
		p.wake()
	}
}

// Acquire waits for a slot for the request. It fails with QueueFull,
// QueueBytes, DeadlineUnreachable, NoUpstream, DeadlineExceeded or CallerGone,
// or with the fault that is the cause of the context's end. In each case the
// request was not run.
func (p *Policy) Acquire(ctx context.Context, r *rwrequest.Request) (*rwslot.Slot, error) {
	ch, err := p.enqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-ch:
		return res.slot, res.err
	case <-ctx.Done():
		return nil, p.cancel(ctx, r, ch)
	}
}

// enqueue adds a request to the queue and returns the channel for its result.
func (p *Policy) enqueue(r *rwrequest.Request) (chan result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.assigned && !p.serves(r.Pool) {
		return nil, rwfault.New(rwcode.NoUpstream, r.Pool).WithRetryAfter(defaultRetryAfter)
	}
	evicted, err := p.queue.Push(p.Now(), r)
	for _, e := range evicted {
		p.resolve(e, result{err: rwfault.New(rwcode.QueueFull, e.Account).WithRetryAfter(defaultRetryAfter)})
	}
	if err != nil {
		return nil, err
	}
	ch := make(chan result, 1)
	p.waiting[r] = ch
	p.wake()
	return ch, nil
}

func (p *Policy) serves(pool string) bool {
	for _, t := range p.cells {
		if t.cell.Runs(pool) {
			return true
		}
	}
	return false
}

// resolve ends the wait of a request with a slot or an error.
func (p *Policy) resolve(r *rwrequest.Request, res result) {
	if ch := p.waiting[r]; ch != nil {
		delete(p.waiting, r)
		ch <- res
	}
}

// cancel removes a request from the queue. If it got a slot at the same moment,
// the slot is returned.
func (p *Policy) cancel(ctx context.Context, r *rwrequest.Request, ch chan result) error {
	p.mu.Lock()
	_, waits := p.waiting[r]
	if waits {
		p.queue.Cancel(r)
		delete(p.waiting, r)
		p.wake()
	}
	p.mu.Unlock()
	if !waits {
		if res := <-ch; res.slot != nil {
			res.slot.Done(0, 0, 0, rwcode.CallerGone)
		}
	}
	var f *rwfault.Fault
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &f):
		return f.WithOutcome(rwoutcome.NotRun)
	case errors.Is(cause, context.DeadlineExceeded):
		return rwfault.New(rwcode.DeadlineExceeded, r.ID)
	default:
		return rwfault.New(rwcode.CallerGone, r.ID)
	}
}

// HandleGrants assigns grants to waiting requests. Grants for which no request
// waits are returned to the owner.
func (p *Policy) HandleGrants(from rwidentity.Identity, m *rwslotmessage.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.detectPause()
	for _, g := range m.Grants {
		g.Cell, g.Entry = m.Cell, p.Self.Name
		if paused {
			p.rejectGrant(from, g)
			continue
		}
		p.bind(from, g)
	}
	p.wake()
}

// detectPause reports whether the process was paused within the last
// rejectTimeAfterPause. Grants that waited in a socket buffer during the pause
// look new, but their upstream may have been published as leaving since then:
// without this check a router that had been paused started a request 3.08 s
// after such a publication.
func (p *Policy) detectPause() bool {
	now := p.Now()
	if !p.lastActive.IsZero() {
		// The monotonic clock of a suspended VM may stand still.
		late := max(now.Sub(p.lastActive), now.Round(0).Sub(p.lastActive.Round(0)))
		if late > rwpause.Limit {
			p.rejectUntil = now.Add(rejectTimeAfterPause)
		}
	}
	p.lastActive = now
	return now.Before(p.rejectUntil)
}

// rejectGrant returns a grant unused because the process was paused.
func (p *Policy) rejectGrant(from rwidentity.Identity, g rwgrant.Grant) {
	p.demand.Granted(g.Cell, rwqueue.FlowKey{Account: g.Account, Kind: g.Kind})
	m := p.outboxMessage(from, g.Cell)
	m.Done = append(m.Done, rwusage.Usage{ID: g.ID, Code: rwcode.Paused})
}

// HandleCheck reports to an owner which of the grants in its message are not
// running here.
func (p *Policy) HandleCheck(from rwidentity.Identity, m *rwslotmessage.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range m.IDs {
		if p.running[grantKey{m.Cell, id}] == nil {
			w := p.outboxMessage(from, m.Cell)
			w.Done = append(w.Done, rwusage.Usage{ID: id})
		}
	}
	p.wake()
}

// bind gives a grant to the best waiting request, or returns it unused.
func (p *Policy) bind(from rwidentity.Identity, g rwgrant.Grant) {
	p.demand.Granted(g.Cell, rwqueue.FlowKey{Account: g.Account, Kind: g.Kind})
	p.running[grantKey{g.Cell, g.ID}] = &runningGrant{g, from}
	up, ok := p.Snapshot().Upstream(g.Upstream)
	if !ok || up.Leaving {
		p.finish(g, rwusage.Usage{ID: g.ID, Code: rwcode.UpstreamLeaving})
		return
	}
	if p.retryAfter.Left(p.Now(), up.Name, up.Inc) > 0 {
		// The owner backs off from an upstream that refuses requests, and gives the
		// request, which goes on waiting, a grant of another one.
		p.finish(g, rwusage.Usage{ID: g.ID, Code: rwcode.UpstreamRefused})
		return
	}
	r := p.queue.Take(p.Now(), g.Account, g.Kind, up.Pools, p.prefersPrefix(up.Name))
	if r == nil {
		p.finish(g, rwusage.Usage{ID: g.ID})
		return
	}
	if p.Affinity != nil {
		p.Affinity.Record(r.PrefixHash, up.Name)
	}
	p.resolve(r, result{slot: &rwslot.Slot{
		Upstream:   up,
		Expires:    p.Now().Add(slotLifetime),
		ReportCost: p.costReporter(g),
		RetryAfter: func(d time.Duration) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.retryAfter.Add(p.Now(), up.Name, up.Inc, d)
		},
		Done: func(cost float64, first, total time.Duration, code rwcode.Code) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.finish(g, rwusage.Usage{ID: g.ID, Cost: cost, First: first, Total: total, Code: code})
			p.wake()
		},
	}})
}

// prefersPrefix returns a function that reports whether the upstream was the
// last one to run a request's prefix. It returns nil without Affinity.
func (p *Policy) prefersPrefix(upstream string) func(*rwrequest.Request) bool {
	if p.Affinity == nil {
		return nil
	}
	return func(r *rwrequest.Request) bool { return p.Affinity.LastRanOn(r.PrefixHash, upstream) }
}

// costReporter returns a function that reports the cost of a running request.
// When the cost exceeds 1, 2, 4 … times what was charged with the grant, or 1 if
// that is more, it reports twice that bound. A request of unknown cost is thus
// charged while it runs, with few messages.
func (p *Policy) costReporter(g rwgrant.Grant) func(float64) {
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

// addUsage adds usage to messages that are sent for another reason. Usage that
// has waited for usageDelay gets messages of its own.
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
		if due || p.outbox[r.owner][k.cell] != nil {
			m := p.outboxMessage(r.owner, k.cell)
			m.Usage = append(m.Usage, rwusage.Usage{ID: k.id, Cost: cost})
			delete(p.usage, k)
		}
	}
	if due || len(p.usage) == 0 {
		p.usageDue = time.Time{}
	}
}

// finish returns a grant to its owner with the usage. It does nothing if the
// grant was returned before.
func (p *Policy) finish(g rwgrant.Grant, s rwusage.Usage) {
	k := grantKey{g.Cell, g.ID}
	r := p.running[k]
	if r == nil {
		return
	}
	delete(p.running, k)
	m := p.outboxMessage(r.owner, g.Cell)
	m.Done = append(m.Done, s)
}

// outboxMessage returns the message about the cell that the next flush sends.
func (p *Policy) outboxMessage(to rwidentity.Identity, cell string) *rwslotmessage.Message {
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
	case p.wakeup <- struct{}{}:
	default:
	}
}

// Run sends messages and detects pauses until the context ends.
func (p *Policy) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-heartbeat.C:
			p.mu.Lock()
			p.detectPause()
			p.mu.Unlock()
			continue
		case <-p.wakeup:
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

type outgoing struct {
	to     rwidentity.Identity
	method string
	m      *rwslotmessage.Message
}

// flush sends all messages that are due and returns when the next ones are due;
// zero for never.
func (p *Policy) flush() time.Time {
	list, next := p.collect()
	for _, e := range list {
		p.Send(e.to, e.method, e.m)
	}
	return next
}

func (p *Policy) collect() ([]outgoing, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, k := range p.queue.Changed() {
		count, hint := p.queue.Length(k)
		p.demand.SetFlow(now, k, p.queue.Pool(k), count, hint)
	}
	backlogs, synced := p.demand.Due(now, func(cell string) bool {
		return p.outbox[p.cells[cell].owner][cell] != nil
	})
	var out []outgoing
	for _, name := range synced {
		out = append(out, outgoing{p.cells[name].owner, rwslotmessage.Sync, p.addRunningGrants(name, backlogs[name])})
		delete(backlogs, name)
	}
	for name, m := range backlogs {
		w := p.outboxMessage(p.cells[name].owner, name)
		w.Backlogs = m.Backlogs
	}
	p.addUsage(now)
	for to, cells := range p.outbox {
		for _, m := range cells {
			out = append(out, outgoing{to, rwslotmessage.Want, m})
		}
	}
	clear(p.outbox)
	next := p.demand.NextDue()
	if !p.usageDue.IsZero() && (next.IsZero() || p.usageDue.Before(next)) {
		next = p.usageDue
	}
	return out, next
}

// addRunningGrants adds the running grants of a cell to the message for its new
// owner, which receives their costs from now on.
func (p *Policy) addRunningGrants(cell string, m *rwslotmessage.Message) *rwslotmessage.Message {
	owner := p.cells[cell].owner
	for _, r := range p.running {
		if r.grant.Cell == cell {
			r.owner = owner
			m.Running = append(m.Running, r.grant)
		}
	}
	slices.SortFunc(m.Running, func(a, b rwgrant.Grant) int { return int(int64(a.ID) - int64(b.ID)) })
	return m
}

// Counts returns the numbers of waiting and of running requests.
func (p *Policy) Counts() (waiting, run int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Count(), len(p.running)
}
