package rwsched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwheap"
	"redwingworks.example/internal/rwsched"
)

// pool runs the cells of one pool and its entries under virtual time. Entries
// and owners exchange messages that take a few milliseconds and stay in order;
// reports between owners are lost, late, repeated and reordered.
type pool struct {
	figures
	rng      *rand.Rand
	now      time.Time
	events   *rwheap.Heap[event]
	sequence int
	cells    []*poolCell
	entries  []*poolEntry
	accounts []*poolAccount
	inc      int64
	served   map[string]float64 // by "account kind"
	returned int
}

// figures are what a test computes its bounds from.
type figures struct {
	cells, upstreams, window int
	slotRate                 float64 // cost units per second and slot
	entries                  int
	reach                    time.Duration // how often the other cells are drawn anew; 0 for all cells
	drawn                    int           // how many other cells are drawn
	accounts                 []load
	interval, late           time.Duration // of reports
	lossy                    bool          // every other report may be lost
	failures                 float64       // part of the requests that fail inside the fleet
}

// load is the work of one account.
type load struct {
	share float64
	entry int // where all of it arrives, -1 for all entries
	kinds []kindLoad
	// slow is by how much longer its requests take for the same cost, 0 for
	// as long as the others'. Above 2 the cap on slots holds it back.
	slow float64
}

type kindLoad struct {
	urgency  int
	low, top float64 // cost of a request
	hint     float64 // factor on the cost, 0 for no hint
	rate     float64 // requests per second; 0 for a queue that is never empty
	from     time.Duration
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type poolCell struct {
	name  string
	owner *rwsched.Scheduler // nil while there is none
	epoch int
	// settled is whether the owner grants: a new one first waits for what
	// entries tell it.
	settled bool
	cut     bool
	lost    map[*poolCell]bool // whether the last report to a cell was lost
}

type poolEntry struct {
	name    string
	cut     bool
	queues  []*queue
	running map[uint64]rwgrant.Grant
	arrives map[*poolCell]time.Time // when the last message to or from a cell arrives
	flush   bool
}

type queue struct {
	at      *poolEntry
	account *poolAccount
	kind    string
	load    kindLoad
	waiting int
	told    map[*poolCell]int
	// wide is whether the work is declared at all cells. Other cells than
	// the entry's own learn of it when no grant came within 5 ms.
	wide   bool
	grants int
	// drawn are the other cells that learn of it, nil for all.
	drawn []*poolCell
}

// poolAccount sums up service: what finished, and progress of what runs as a
// line with the slope rate.
type poolAccount struct {
	load
	name              string
	done, rate, start float64
	// granted is the last grant, and wait the longest time between two.
	granted time.Time
	slots   int
	wait    time.Duration
}

const (
	levelCap = 8
	settle   = 300 * time.Millisecond
	forever  = 1 << 30
)

var epoch = time.Unix(1_700_000_000, 0)

func newPool(f figures, seed uint64) *pool {
	p := &pool{
		figures: f, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, served: map[string]float64{},
		events: &rwheap.Heap[event]{
			Less: func(a, b event) bool {
				return a.at.Before(b.at) || (a.at.Equal(b.at) && a.sequence < b.sequence)
			},
			Moved: func(event, int) {},
		},
	}
	for i := range f.cells {
		p.cells = append(p.cells, &poolCell{name: fmt.Sprint("cell-", i), lost: map[*poolCell]bool{}})
	}
	for i, l := range f.accounts {
		p.accounts = append(p.accounts, &poolAccount{load: l, name: fmt.Sprintf("account-%03d", i)})
	}
	for i := range f.entries {
		p.entries = append(p.entries, p.newEntry(i))
	}
	p.startArrivals()
	for _, c := range p.cells {
		p.start(c)
		p.after(time.Duration(p.rng.Int64N(int64(f.interval))), func() { p.report(c) })
	}
	return p
}

func (p *pool) newEntry(number int) *poolEntry {
	e := &poolEntry{name: fmt.Sprint("entry-", number), running: map[uint64]rwgrant.Grant{}, arrives: map[*poolCell]time.Time{}}
	for _, a := range p.accounts {
		if a.entry >= 0 && a.entry != number {
			continue
		}
		for i, k := range a.kinds {
			q := &queue{at: e, account: a, kind: fmt.Sprint("kind-", i), load: k, told: map[*poolCell]int{}}
			e.queues = append(e.queues, q)
			if k.rate == 0 {
				p.after(k.from, func() { q.waiting = forever; p.widen(q); p.tell(e) })
			}
		}
	}
	return e
}

// arrive brings one request of a kind to its entry, or to the entries in turn,
// and then the next after the same time, so that rates are exact.
func (p *pool) arrive(queues []*queue, turn int) {
	q := queues[turn%len(queues)]
	q.waiting = min(q.waiting+1, 200)
	p.widen(q)
	p.tell(q.at)
	p.after(time.Duration(1e9/q.load.rate), func() { p.arrive(queues, turn+1) })
}

// widen declares the work at all cells if the first one grants nothing.
func (p *pool) widen(q *queue) {
	grants := q.grants
	if q.wide {
		return
	}
	p.after(5*time.Millisecond, func() {
		if q.grants == grants && q.waiting > 0 && !q.wide {
			q.wide = true
			p.draw(q)
			p.tell(q.at)
		}
	})
}

// draw picks cells that learn of the work besides the entry's own, and
// others after a while.
func (p *pool) draw(q *queue) {
	if p.reach == 0 {
		return
	}
	q.drawn = nil
	for _, i := range p.rng.Perm(len(p.cells)) {
		if c := p.cells[i]; c != p.own(q.at) && len(q.drawn) < p.drawn {
			q.drawn = append(q.drawn, c)
		}
	}
	p.after(p.reach, func() {
		if q.wide {
			p.draw(q)
			p.tell(q.at)
		}
	})
}

func (p *pool) startArrivals() {
	for _, a := range p.accounts {
		for i, k := range a.kinds {
			if k.rate == 0 {
				continue
			}
			var queues []*queue
			for _, e := range p.entries {
				for _, q := range e.queues {
					if q.account == a && q.kind == fmt.Sprint("kind-", i) {
						queues = append(queues, q)
					}
				}
			}
			p.after(k.from+time.Duration(p.rng.Float64()/k.rate*1e9), func() { p.arrive(queues, 0) })
		}
	}
}

// start lets a new owner take a cell.
func (p *pool) start(c *poolCell) {
	p.inc++
	c.epoch++
	c.owner = rwsched.New(c.name, p.now.UnixMicro()+p.inc)
	c.owner.SetPool(p.slots(), p.capacity(), p.interval+p.late)
	for u := range p.upstreams {
		c.owner.SetUpstream(fmt.Sprint("upstream-", u), p.window)
	}
	for _, a := range p.accounts {
		c.owner.SetAccount(a.name, int(a.share*rwaccount.WeightUnit))
		for i, k := range a.kinds {
			c.owner.SetKind(fmt.Sprint("kind-", i), k.urgency)
		}
	}
	for _, e := range p.entries {
		p.sync(e, c)
	}
	for _, o := range p.cells {
		if o != c && o.owner != nil {
			o.owner.ReportAll()
		}
	}
	c.settled = false
	number := c.epoch
	p.after(settle, func() {
		if c.epoch == number {
			c.settled = true
			p.grant(c)
		}
	})
}

// restart ends an owner; a new one takes the cell after a while.
func (p *pool) restart(c *poolCell, gap time.Duration) {
	c.owner = nil
	c.epoch++
	p.after(gap, func() { p.start(c) })
}

// sync tells a new owner the levels and running grants of an entry. The charge
// of a grant is not told.
func (p *pool) sync(e *poolEntry, c *poolCell) {
	for _, q := range e.queues {
		q.told[c] = 0
	}
	ids := []uint64{}
	for id, g := range e.running {
		if g.Cell == c.name {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		g := e.running[id]
		g.Cost = 0
		p.message(e, c, func() { c.owner.Restore(p.now, g) })
	}
	p.tell(e)
}

// cut separates a cell and an entry from the others, or joins them again.
func (p *pool) cut(c *poolCell, e *poolEntry, cut bool) {
	c.cut, e.cut = cut, cut
	for _, c := range p.cells {
		for _, e := range p.entries {
			if c.cut != e.cut {
				p.after(time.Second, func() { c.owner.DropEntry(p.now, e.name); p.grant(c) })
			} else if !cut {
				p.sync(e, c)
			}
		}
		if !cut {
			c.owner.PeersReconnected(p.now)
		}
	}
}

func (p *pool) after(d time.Duration, run func()) {
	p.sequence++
	p.events.Push(event{p.now.Add(d), p.sequence, run})
}

func (p *pool) run(until time.Duration) {
	for p.events.Len() > 0 && !p.events.Top().at.After(epoch.Add(until)) {
		e := p.events.Top()
		p.events.Remove(0)
		p.now = e.at
		e.run()
	}
	p.now = epoch.Add(until)
}

// message delivers between an entry and the present owner of a cell, in order.
func (p *pool) message(e *poolEntry, c *poolCell, run func()) {
	at := p.now.Add(p.latency())
	if at.Before(e.arrives[c]) {
		at = e.arrives[c]
	}
	e.arrives[c] = at
	number := c.epoch
	p.after(at.Sub(p.now), func() {
		if c.epoch == number && c.owner != nil && c.cut == e.cut {
			run()
			p.grant(c)
		}
	})
}

// tell sends the levels that changed, batched over 2 ms.
func (p *pool) tell(e *poolEntry) {
	if e.flush {
		return
	}
	e.flush = true
	p.after(2*time.Millisecond, func() {
		e.flush = false
		for _, q := range e.queues {
			for _, c := range p.cells {
				p.tellLevel(e, q, c)
			}
		}
	})
}

func (p *pool) tellLevel(e *poolEntry, q *queue, c *poolCell) {
	level := min(q.waiting, levelCap)
	if p.own(e) != c && (!q.wide || p.reach > 0 && !slices.Contains(q.drawn, c)) {
		level = 0
	}
	if level == q.told[c] {
		return
	}
	q.told[c] = level
	hint := q.load.hint * (q.load.low + q.load.top) / 2
	p.message(e, c, func() { c.owner.SetBacklog(p.now, e.name, q.account.name, q.kind, level, hint) })
}

// own is the cell of the entry's zone.
func (p *pool) own(e *poolEntry) *poolCell {
	return p.cells[slices.Index(p.entries, e)%len(p.cells)]
}

func (p *pool) grant(c *poolCell) {
	for c.settled {
		g, ok := c.owner.Next(p.now)
		if !ok {
			return
		}
		e := p.entries[slices.IndexFunc(p.entries, func(e *poolEntry) bool { return e.name == g.Entry })]
		p.deliver(e, c, g)
	}
}

func (p *pool) deliver(e *poolEntry, c *poolCell, g rwgrant.Grant) {
	at := p.now.Add(p.latency())
	p.after(at.Sub(p.now), func() {
		if c.cut == e.cut {
			p.bind(e, c, g)
		}
	})
}

func (p *pool) bind(e *poolEntry, c *poolCell, g rwgrant.Grant) {
	q := e.queues[slices.IndexFunc(e.queues, func(q *queue) bool { return q.account.name == g.Account && q.kind == g.Kind })]
	q.told[c] = max(q.told[c]-1, 0)
	p.tell(e)
	if q.waiting == 0 {
		p.returned++
		p.message(e, c, func() { c.owner.Finish(p.now, g.ID, 0, 0, 0, rwcode.None) })
		return
	}
	q.grants++
	if q.waiting < forever {
		q.waiting--
	}
	if q.waiting == 0 {
		q.wide = false
	} else {
		p.widen(q)
	}
	e.running[g.ID] = g
	p.serve(e, c, q, g)
}

func (p *pool) serve(e *poolEntry, c *poolCell, q *queue, g rwgrant.Grant) {
	a, begin := q.account, p.seconds()
	if !a.granted.IsZero() {
		a.wait = max(a.wait, p.now.Sub(a.granted))
	}
	a.granted = p.now
	cost := q.load.low + p.rng.Float64()*(q.load.top-q.load.low)
	code, progress := rwcode.None, cost
	if p.rng.Float64() < p.failures {
		code, progress = rwcode.UpstreamTruncated, cost*p.rng.Float64()
	}
	rate := p.slotRate / max(a.slow, 1)
	a.rate += rate
	a.start += rate * begin
	a.slots++
	total := time.Duration(progress / rate * 1e9)
	for used := g.Cost; used < progress; used *= 2 {
		p.after(time.Duration(used/rate*1e9), func() {
			p.message(e, c, func() { c.owner.UpdateCost(p.now, g.ID, used) })
		})
	}
	p.after(total, func() {
		a.rate -= rate
		a.start -= rate * begin
		a.slots--
		if code == rwcode.None {
			a.done += cost
			p.served[a.name+" "+q.kind] += cost
		}
		delete(e.running, g.ID)
		p.message(e, c, func() { c.owner.Finish(p.now, g.ID, progress, total/10, total, code) })
	})
}

// report sends an owner's totals to the other owners. A report may come once,
// twice or, if the one before came, not at all.
func (p *pool) report(c *poolCell) {
	p.after(p.interval, func() { p.report(c) })
	if c.owner == nil {
		return
	}
	totals, inc := c.owner.Report(nil), c.owner.View().Inc
	for _, to := range p.cells {
		if to == c || len(totals) == 0 {
			continue
		}
		copies := 1
		if p.lossy {
			copies = p.rng.IntN(3)
			if copies == 0 && c.lost[to] {
				copies = 1
			}
			c.lost[to] = copies == 0
		}
		for range copies {
			p.after(time.Duration(p.rng.Int64N(int64(p.late))), func() {
				if to.owner != nil && to.cut == c.cut {
					to.owner.MergeTotals(c.name, inc, totals)
				}
			})
		}
	}
}

func (p *pool) seconds() float64 { return p.now.Sub(epoch).Seconds() }

// received is the service of an account so far, per share.
func (p *pool) received(a *poolAccount) float64 {
	return (a.done + a.rate*p.seconds() - a.start) / a.share
}

func (f *figures) slots() int { return f.cells * f.upstreams * f.window }

func (f *figures) capacity() float64 { return float64(f.slots()) * f.slotRate }

func (f *figures) largest() float64 {
	largest := 0.0
	for _, a := range f.accounts {
		for _, k := range a.kinds {
			largest = max(largest, k.top)
		}
	}
	return largest
}

func (f *figures) shares() float64 {
	sum := 0.0
	for _, a := range f.accounts {
		sum += a.share
	}
	return sum
}

// gap is G of docs/design.md, section 3.2, in cost units per share. Between
// accounts of unequal shares the smaller one counts: the same charge is more
// of its virtual time.
func (f *figures) gap(share float64, outage time.Duration) float64 {
	interval := f.interval + f.late + outage
	if f.lossy {
		interval += f.interval
	}
	charged := 2 * f.largest() * (1/share + 2*float64(f.slots())/f.shares())
	return charged + 2*f.capacity()*interval.Seconds()/share
}

func (f *figures) gaps(outage time.Duration) map[float64]float64 {
	out := map[float64]float64{}
	for _, a := range f.accounts {
		out[a.share] = f.gap(a.share, outage)
	}
	return out
}

// starvation is the bound on the wait of an account: maxLag for each share, at
// the rate of the pool, and the longest request.
func (f *figures) starvation(i int) time.Duration {
	seconds := f.gap(f.accounts[i].share, 0)*f.shares()/f.capacity() + f.largest()/f.slotRate
	return time.Duration(seconds * 1e9)
}

// latency is that of docs/design.md, section 1, between zones.
func (p *pool) latency() time.Duration {
	return time.Duration(500+p.rng.IntN(1000)) * time.Microsecond
}
