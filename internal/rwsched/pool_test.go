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

// pool simulates the cells of one pool and the entry routers under simulated
// time. Messages between entry routers and owners take about a millisecond.
// Those from an entry router to an owner stay in order; grants may overtake each
// other. Reports between owners are delayed and reordered and, with
// lossyReports, lost and repeated.
type pool struct {
	poolConfig
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

// poolConfig describes a pool; the tests compute their bounds from it.
type poolConfig struct {
	cells, upstreams, window       int
	slotRate                       float64 // cost units per second and slot
	entries                        int
	reselectInterval               time.Duration // time between selections of other cells; 0 selects all cells
	selectedCells                  int           // number of other cells that are selected
	accounts                       []accountLoad
	reportInterval, maxReportDelay time.Duration // of reports
	lossyReports                   bool          // reports may be lost or repeated
	failureRate                    float64       // fraction of requests that fail inside the fleet
}

// accountLoad describes the work of one account.
type accountLoad struct {
	share float64
	entry int // the entry router at which all work arrives, -1 for all of them
	kinds []kindLoad
	// slowdown is the factor by which requests take longer for the same cost
	// than those of other accounts, 0 for the same time. Above 2 the slot cap
	// holds the account back.
	slowdown float64
}

type kindLoad struct {
	urgency          int
	minCost, maxCost float64 // cost of a request
	hintFactor       float64 // factor between the mean cost and the hint, 0 for no hint
	rate             float64 // requests per second; 0 for a queue that is never empty
	from             time.Duration
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type poolCell struct {
	name  string
	owner *rwsched.Scheduler // nil while the cell has no owner
	epoch int
	// settled is whether the owner grants. A new owner first waits for syncs.
	settled        bool
	partitioned    bool
	lastReportLost map[*poolCell]bool // whether the last report to a cell was lost
}

type poolEntry struct {
	name          string
	partitioned   bool
	queues        []*queue
	running       map[uint64]rwgrant.Grant
	lastArrival   map[*poolCell]time.Time // arrival time of the last message to a cell
	sendScheduled bool
}

type queue struct {
	entry    *poolEntry
	account  *poolAccount
	kind     string
	load     kindLoad
	waiting  int
	declared map[*poolCell]int
	// declaredWidely is whether the work is declared at cells other than the
	// entry router's own, which happens when no grant came within 5 ms.
	declaredWidely bool
	grants         int
	// selectedCells are the other cells at which the work is declared if
	// poolConfig.reselectInterval is set.
	selectedCells []*poolCell
}

// poolAccount sums up the service of an account. Completed requests count in
// full; the progress of running ones is rate·t - rateOffset.
type poolAccount struct {
	accountLoad
	name                        string
	completed, rate, rateOffset float64
	// lastGrant is the time of the last grant, and maxWait the longest time
	// between two grants.
	lastGrant time.Time
	slots     int
	maxWait   time.Duration
}

const (
	maxDeclared   = 8
	settleTimeout = 300 * time.Millisecond
	alwaysFull    = 1 << 30
)

var epoch = time.Unix(1_700_000_000, 0)

func newPool(f poolConfig, seed uint64) *pool {
	p := &pool{
		poolConfig: f, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, served: map[string]float64{},
		events: &rwheap.Heap[event]{
			Less: func(a, b event) bool {
				return a.at.Before(b.at) || (a.at.Equal(b.at) && a.sequence < b.sequence)
			},
			Moved: func(event, int) {},
		},
	}
	for i := range f.cells {
		p.cells = append(p.cells, &poolCell{name: fmt.Sprint("cell-", i), lastReportLost: map[*poolCell]bool{}})
	}
	for i, l := range f.accounts {
		p.accounts = append(p.accounts, &poolAccount{accountLoad: l, name: fmt.Sprintf("account-%03d", i)})
	}
	for i := range f.entries {
		p.entries = append(p.entries, p.newEntry(i))
	}
	p.startArrivals()
	for _, c := range p.cells {
		p.startOwner(c)
		p.after(time.Duration(p.rng.Int64N(int64(f.reportInterval))), func() { p.report(c) })
	}
	return p
}

func (p *pool) newEntry(number int) *poolEntry {
	e := &poolEntry{name: fmt.Sprint("entry-", number), running: map[uint64]rwgrant.Grant{}, lastArrival: map[*poolCell]time.Time{}}
	for _, a := range p.accounts {
		if a.entry >= 0 && a.entry != number {
			continue
		}
		for i, k := range a.kinds {
			q := &queue{entry: e, account: a, kind: fmt.Sprint("kind-", i), load: k, declared: map[*poolCell]int{}}
			e.queues = append(e.queues, q)
			if k.rate == 0 {
				p.after(k.from, func() { q.waiting = alwaysFull; p.widenLater(q); p.declare(e) })
			}
		}
	}
	return e
}

// arrive adds one request of a kind to its entry router, or to the entry
// routers in turn, and schedules the next one after a constant time, so that
// rates are exact.
func (p *pool) arrive(queues []*queue, turn int) {
	q := queues[turn%len(queues)]
	q.waiting = min(q.waiting+1, 200)
	p.widenLater(q)
	p.declare(q.entry)
	p.after(time.Duration(1e9/q.load.rate), func() { p.arrive(queues, turn+1) })
}

// widenLater declares the work at other cells if the entry router's own cell
// grants nothing within 5 ms.
func (p *pool) widenLater(q *queue) {
	grants := q.grants
	if q.declaredWidely {
		return
	}
	p.after(5*time.Millisecond, func() {
		if q.grants == grants && q.waiting > 0 && !q.declaredWidely {
			q.declaredWidely = true
			p.selectCells(q)
			p.declare(q.entry)
		}
	})
}

// selectCells selects the cells at which the work is declared besides the entry
// router's own, and selects new ones after each reselectInterval.
func (p *pool) selectCells(q *queue) {
	if p.reselectInterval == 0 {
		return
	}
	q.selectedCells = nil
	for _, i := range p.rng.Perm(len(p.cells)) {
		if c := p.cells[i]; c != p.ownCell(q.entry) && len(q.selectedCells) < p.selectedCells {
			q.selectedCells = append(q.selectedCells, c)
		}
	}
	p.after(p.reselectInterval, func() {
		if q.declaredWidely {
			p.selectCells(q)
			p.declare(q.entry)
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

// startOwner starts a new owner of a cell.
func (p *pool) startOwner(c *poolCell) {
	p.inc++
	c.epoch++
	c.owner = rwsched.New(c.name, p.now.UnixMicro()+p.inc)
	c.owner.SetPool(p.slots(), p.capacity(), p.reportInterval+p.maxReportDelay)
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
	p.after(settleTimeout, func() {
		if c.epoch == number {
			c.settled = true
			p.grant(c)
		}
	})
}

// restartOwner stops an owner and starts a new one after a gap.
func (p *pool) restartOwner(c *poolCell, gap time.Duration) {
	c.owner = nil
	c.epoch++
	p.after(gap, func() { p.startOwner(c) })
}

// sync sends the backlogs and running grants of an entry router to an owner that
// is new, or to each owner when a partition ends. The charge of a grant is not
// sent.
func (p *pool) sync(e *poolEntry, c *poolCell) {
	for _, q := range e.queues {
		q.declared[c] = 0
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
	p.declare(e)
}

// setPartitioned separates a cell and an entry router from the others by a
// network partition, or reconnects them.
func (p *pool) setPartitioned(c *poolCell, e *poolEntry, partitioned bool) {
	c.partitioned, e.partitioned = partitioned, partitioned
	for _, c := range p.cells {
		for _, e := range p.entries {
			if c.partitioned != e.partitioned {
				p.after(time.Second, func() { c.owner.DropEntry(p.now, e.name); p.grant(c) })
			} else if !partitioned {
				p.sync(e, c)
			}
		}
		if !partitioned {
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

// message delivers a message from an entry router to the current owner of a
// cell. Such messages stay in order.
func (p *pool) message(e *poolEntry, c *poolCell, run func()) {
	at := p.now.Add(p.latency())
	if at.Before(e.lastArrival[c]) {
		at = e.lastArrival[c]
	}
	e.lastArrival[c] = at
	number := c.epoch
	p.after(at.Sub(p.now), func() {
		if c.epoch == number && c.owner != nil && c.partitioned == e.partitioned {
			run()
			p.grant(c)
		}
	})
}

// declare sends the backlogs that changed, batched over 2 ms.
func (p *pool) declare(e *poolEntry) {
	if e.sendScheduled {
		return
	}
	e.sendScheduled = true
	p.after(2*time.Millisecond, func() {
		e.sendScheduled = false
		for _, q := range e.queues {
			for _, c := range p.cells {
				p.declareBacklog(e, q, c)
			}
		}
	})
}

func (p *pool) declareBacklog(e *poolEntry, q *queue, c *poolCell) {
	count := min(q.waiting, maxDeclared)
	if p.ownCell(e) != c && (!q.declaredWidely || p.reselectInterval > 0 && !slices.Contains(q.selectedCells, c)) {
		count = 0
	}
	if count == q.declared[c] {
		return
	}
	q.declared[c] = count
	hint := q.load.hintFactor * (q.load.minCost + q.load.maxCost) / 2
	p.message(e, c, func() { c.owner.SetBacklog(p.now, e.name, q.account.name, q.kind, count, hint) })
}

// ownCell returns the cell in the entry router's zone.
func (p *pool) ownCell(e *poolEntry) *poolCell {
	return p.cells[slices.Index(p.entries, e)%len(p.cells)]
}

func (p *pool) grant(c *poolCell) {
	for c.settled {
		g, ok := c.owner.Next(p.now)
		if !ok {
			return
		}
		e := p.entries[slices.IndexFunc(p.entries, func(e *poolEntry) bool { return e.name == g.Entry })]
		p.deliverGrant(e, c, g)
	}
}

func (p *pool) deliverGrant(e *poolEntry, c *poolCell, g rwgrant.Grant) {
	at := p.now.Add(p.latency())
	p.after(at.Sub(p.now), func() {
		if c.partitioned == e.partitioned {
			p.useGrant(e, c, g)
		}
	})
}

func (p *pool) useGrant(e *poolEntry, c *poolCell, g rwgrant.Grant) {
	q := e.queues[slices.IndexFunc(e.queues, func(q *queue) bool { return q.account.name == g.Account && q.kind == g.Kind })]
	q.declared[c] = max(q.declared[c]-1, 0)
	p.declare(e)
	if q.waiting == 0 {
		p.returned++
		p.message(e, c, func() { c.owner.Finish(p.now, g.ID, 0, 0, 0, rwcode.None) })
		return
	}
	q.grants++
	if q.waiting < alwaysFull {
		q.waiting--
	}
	if q.waiting == 0 {
		q.declaredWidely = false
	} else {
		p.widenLater(q)
	}
	e.running[g.ID] = g
	p.runRequest(e, c, q, g)
}

func (p *pool) runRequest(e *poolEntry, c *poolCell, q *queue, g rwgrant.Grant) {
	a, begin := q.account, p.seconds()
	if !a.lastGrant.IsZero() {
		a.maxWait = max(a.maxWait, p.now.Sub(a.lastGrant))
	}
	a.lastGrant = p.now
	cost := q.load.minCost + p.rng.Float64()*(q.load.maxCost-q.load.minCost)
	code, progress := rwcode.None, cost
	if p.rng.Float64() < p.failureRate {
		code, progress = rwcode.UpstreamTruncated, cost*p.rng.Float64()
	}
	rate := p.slotRate / max(a.slowdown, 1)
	a.rate += rate
	a.rateOffset += rate * begin
	a.slots++
	total := time.Duration(progress / rate * 1e9)
	for used := g.Cost; used < progress; used *= 2 {
		p.after(time.Duration(used/rate*1e9), func() {
			p.message(e, c, func() { c.owner.UpdateCost(p.now, g.ID, used) })
		})
	}
	p.after(total, func() {
		a.rate -= rate
		a.rateOffset -= rate * begin
		a.slots--
		if code == rwcode.None {
			a.completed += cost
			p.served[a.name+" "+q.kind] += cost
		}
		delete(e.running, g.ID)
		p.message(e, c, func() { c.owner.Finish(p.now, g.ID, progress, total/10, total, code) })
	})
}

// report sends an owner's totals to the other owners. With lossyReports, a
// report arrives once, twice or, if the previous one arrived, not at all.
func (p *pool) report(c *poolCell) {
	p.after(p.reportInterval, func() { p.report(c) })
	if c.owner == nil {
		return
	}
	totals, inc := c.owner.Report(nil), c.owner.View().Inc
	for _, to := range p.cells {
		if to == c || len(totals) == 0 {
			continue
		}
		copies := 1
		if p.lossyReports {
			copies = p.rng.IntN(3)
			if copies == 0 && c.lastReportLost[to] {
				copies = 1
			}
			c.lastReportLost[to] = copies == 0
		}
		for range copies {
			p.after(time.Duration(p.rng.Int64N(int64(p.maxReportDelay))), func() {
				if to.owner != nil && to.partitioned == c.partitioned {
					to.owner.MergeTotals(c.name, inc, totals)
				}
			})
		}
	}
}

func (p *pool) seconds() float64 { return p.now.Sub(epoch).Seconds() }

// service returns the service that an account received so far, per share.
func (p *pool) service(a *poolAccount) float64 {
	return (a.completed + a.rate*p.seconds() - a.rateOffset) / a.share
}

func (f *poolConfig) slots() int { return f.cells * f.upstreams * f.window }

func (f *poolConfig) capacity() float64 { return float64(f.slots()) * f.slotRate }

func (f *poolConfig) maxCost() float64 {
	largest := 0.0
	for _, a := range f.accounts {
		for _, k := range a.kinds {
			largest = max(largest, k.maxCost)
		}
	}
	return largest
}

func (f *poolConfig) totalShares() float64 {
	sum := 0.0
	for _, a := range f.accounts {
		sum += a.share
	}
	return sum
}

// gapBound returns the bound on the gap, in cost units per share, by the formula
// of the scheduler's maxLag. Its second term is 2·R·I/w, where docs/design.md,
// section 3.2, has 4·R·I/W. Between accounts of unequal shares the smaller share
// counts, since the same charge is more of its virtual time.
func (f *poolConfig) gapBound(share float64, outage time.Duration) float64 {
	interval := f.reportInterval + f.maxReportDelay + outage
	if f.lossyReports {
		interval += f.reportInterval
	}
	charged := 2 * f.maxCost() * (1/share + 2*float64(f.slots())/f.totalShares())
	return charged + 2*f.capacity()*interval.Seconds()/share
}

func (f *poolConfig) gapBounds(outage time.Duration) map[float64]float64 {
	out := map[float64]float64{}
	for _, a := range f.accounts {
		out[a.share] = f.gapBound(a.share, outage)
	}
	return out
}

// maxWait returns the starvation bound of docs/design.md, section 3.2: the gap
// bound for each share at the rate of the pool, and the longest request.
func (f *poolConfig) maxWait(i int) time.Duration {
	seconds := f.gapBound(f.accounts[i].share, 0)*f.totalShares()/f.capacity() + f.maxCost()/f.slotRate
	return time.Duration(seconds * 1e9)
}

// latency returns a random latency between zones as in docs/design.md,
// section 1.
func (p *pool) latency() time.Duration {
	return time.Duration(500+p.rng.IntN(1000)) * time.Microsecond
}
