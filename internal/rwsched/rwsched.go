// Package rwsched is the scheduler of one cell: it decides which account gets
// the next free slot, and on which upstream. Accounts share by weighted fair
// queueing; see docs/design.md, section 3.2.
package rwsched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwbackoff"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwcost"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwheap"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwkindsched"
	"redwingworks.example/internal/rwledger"
	"redwingworks.example/internal/rwschedview"
	"redwingworks.example/internal/rwtotal"
	"redwingworks.example/internal/rwwindow"
)

const (
	// rejoinGrace covers the time that a grant takes to the entry router and
	// the next backlog update takes back. An account whose backlog is empty for
	// less time than that keeps its lag, as if it had been backlogged
	// throughout.
	rejoinGrace = 100 * time.Millisecond
	// keptLagFraction is the part of maxLag by which an account may remain
	// behind the lowest virtual time after the slot cap held it back, or when
	// it joins with work at other cells. Within the rest of maxLag the other
	// accounts keep their order.
	keptLagFraction = 0.75
	// adoptionPeriod is how long after its first event a new owner may adopt
	// the leads of an older owner, and how long after PeersReconnected raises
	// are undone. It covers the settle timeout of rwowner, a report interval
	// and some delay.
	adoptionPeriod = 2 * time.Second
	// reportLifetime is how long the last report of a cell counts as evidence
	// of which accounts are backlogged there.
	reportLifetime = 10 * time.Second
	// minLead is reported in place of a lead of 0, which marks accounts that
	// are not backlogged.
	minLead = 1e-6
	// defaultUrgency is the urgency of a kind whose record has not arrived.
	defaultUrgency = rwkind.MaxUrgency
)

// Scheduler grants the slots of a cell. It is not safe for concurrent use.
type Scheduler struct {
	cell        string
	incarnation int64
	lastID      uint64
	costs       *rwcost.Estimator
	ledger      *rwledger.Ledger
	upstreams   []*upstream
	accounts    []*account
	byName      map[string]*account
	urgencies   map[string]int
	grants      map[uint64]*grant
	// freeGrants is a list of unused grants, which keeps decisions free of
	// allocations.
	freeGrants *grant

	// ready holds backlogged accounts, the lowest virtual time first. Some may
	// have reached the slot cap since they were added.
	ready *rwheap.Heap[*account]
	// capped holds the other backlogged accounts: those that held twice their
	// fair share of slots, the one with the fewest slots for its weight first.
	capped *rwheap.Heap[*account]
	// backloggedWeight is the sum of the weights of the accounts in both heaps.
	backloggedWeight int64
	// virtualClock is the virtual time that the account that was granted a slot
	// last had before the charge of that grant.
	virtualClock float64

	// reportedAt is lastEvent as of the last report, by cell. MergeTotals is
	// not given the time.
	reportedAt map[string]time.Time
	// firstEvent and lastEvent are the times of the first and the last call of
	// SetBacklog, Next or PeersReconnected.
	firstEvent, lastEvent time.Time
	// leadsAdopted is set once the leads of another owner were adopted.
	leadsAdopted bool
	// reconnectedAt is the time of the last PeersReconnected.
	reconnectedAt time.Time
	// backlogChanged holds the accounts that became backlogged or idle since
	// the last report.
	backlogChanged []*account

	poolSlots      int
	poolRate       float64
	reportInterval time.Duration
}

type upstream struct {
	name    string
	window  int
	learned *rwwindow.Window // nil for a window that is set, not learned
	removed bool
	running int
	backoff rwbackoff.Backoff
}

type account struct {
	name        string
	weight      int64
	removed     bool
	ledgerIndex int
	kinds       *rwkindsched.Scheduler
	running     int
	// virtualTime is the weighted service received from all cells of the pool,
	// in cost units per share.
	virtualTime float64
	// lastGrantID is the last grant. Among equal virtual times, the account
	// with the oldest last grant is first.
	lastGrantID uint64

	// heap is the heap that the account is in, nil while it is not backlogged.
	heap      *rwheap.Heap[*account]
	heapIndex int
	// idleSince is when the account last ran out of work, and lagWhenIdle how
	// far its virtual time was behind the lowest one then.
	idleSince   time.Time
	lagWhenIdle float64
	// backloggedSince is when the account last became backlogged, and raisedBy
	// by how much its virtual time was raised then.
	backloggedSince time.Time
	raisedBy        float64
	// backlogChanged is whether the account is in Scheduler.backlogChanged,
	// and reportedBacklogged whether the last report showed it as backlogged.
	backlogChanged, reportedBacklogged bool
}

type grant struct {
	rwgrant.Grant
	account   *account
	kind      int
	upstream  *upstream
	grantedAt time.Time
	trial     bool
	// chargeUnknown marks a grant of an earlier owner whose charge is unknown.
	chargeUnknown bool
	// next links Scheduler.freeGrants.
	next *grant
}

// New returns a scheduler without upstreams. inc is the incarnation of the
// owner in microseconds since 1970. Grant identifiers count up from it: an
// owner grants less than one slot a microsecond, so the identifiers of a later
// owner are higher.
func New(cell string, inc int64) *Scheduler {
	s := &Scheduler{
		cell: cell, incarnation: inc, lastID: uint64(inc),
		costs:      rwcost.New(),
		ledger:     rwledger.New(inc),
		byName:     map[string]*account{},
		urgencies:  map[string]int{},
		grants:     map[uint64]*grant{},
		reportedAt: map[string]time.Time{},
	}
	moved := func(a *account, position int) { a.heapIndex = position }
	s.ready = &rwheap.Heap[*account]{Less: lessVirtualTime, Moved: moved}
	s.capped = &rwheap.Heap[*account]{Less: fewerSlotsPerWeight, Moved: moved}
	return s
}

func lessVirtualTime(a, b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.lastGrantID < b.lastGrantID || (a.lastGrantID == b.lastGrantID && a.ledgerIndex < b.ledgerIndex)
}

func fewerSlotsPerWeight(a, b *account) bool {
	x, y := int64(a.running)*b.weight, int64(b.running)*a.weight
	return x < y || (x == y && lessVirtualTime(a, b))
}

// SetUpstream adds an upstream with a fixed window or changes the window.
func (s *Scheduler) SetUpstream(name string, window int) {
	u := s.upstream(name)
	u.window, u.learned, u.removed = max(window, 0), nil, false
}

// SetEngine adds an upstream whose window is learned, starting at the given
// value. A known engine keeps its learned window. target is the longest
// acceptable time between tokens.
func (s *Scheduler) SetEngine(name string, window int, target time.Duration) {
	u := s.upstream(name)
	u.removed = false
	if u.learned == nil {
		u.learned = rwwindow.New(window, target, true)
	}
	u.window = u.learned.Size()
}

func (s *Scheduler) upstream(name string) *upstream {
	i, ok := slices.BinarySearchFunc(s.upstreams, name, func(u *upstream, name string) int {
		return cmp.Compare(u.name, name)
	})
	if !ok {
		s.upstreams = slices.Insert(s.upstreams, i, &upstream{name: name, removed: true})
	}
	return s.upstreams[i]
}

// RemoveUpstream stops new grants for an upstream. Running grants are kept.
func (s *Scheduler) RemoveUpstream(name string) {
	u := s.upstream(name)
	u.removed = true
	s.deleteIfUnused(u)
}

// deleteIfUnused deletes a removed upstream once nothing runs on it.
func (s *Scheduler) deleteIfUnused(u *upstream) {
	if u.removed && u.running == 0 {
		s.upstreams = slices.DeleteFunc(s.upstreams, func(o *upstream) bool { return o == u })
	}
}

// SetAccount adds an account or changes its weight, in thousandths of a share.
func (s *Scheduler) SetAccount(name string, weight int) {
	a := s.account(name)
	heap := a.heap
	s.dequeue(a)
	a.weight, a.removed = int64(max(weight, 1)), false
	if heap != nil {
		s.enqueue(a, heap)
	} else {
		s.updateBacklog(time.Time{}, a)
	}
}

// account returns an account by name, which it adds if it is new. An account
// whose record has not arrived yet gets one share; the entry router that named
// it already has the record.
func (s *Scheduler) account(name string) *account {
	a := s.byName[name]
	if a == nil {
		a = &account{name: name, weight: rwaccount.WeightUnit, ledgerIndex: s.ledger.AccountIndex(name), kinds: rwkindsched.New()}
		s.byName[name] = a
		s.accounts = append(s.accounts, a)
	}
	return a
}

// RemoveAccount stops new grants for an account. Running grants are kept.
func (s *Scheduler) RemoveAccount(name string) {
	a := s.account(name)
	a.removed = true
	a.lagWhenIdle = 0
	s.dequeue(a)
}

// SetKind adds a kind or changes its urgency, 0 (most urgent) to 3.
func (s *Scheduler) SetKind(name string, urgency int) {
	urgency = min(max(urgency, 0), rwkind.MaxUrgency)
	s.urgencies[name] = urgency
	for _, a := range s.accounts {
		a.kinds.SetUrgency(name, urgency)
	}
}

func (s *Scheduler) kind(a *account, name string) int {
	urgency, ok := s.urgencies[name]
	if !ok {
		urgency = defaultUrgency
	}
	return a.kinds.KindIndex(name, urgency)
}

// SetPool sets the size of the pool over all cells: its slots, its rate in cost
// units per second, and the interval between reports including their delay.
func (s *Scheduler) SetPool(slots int, rate float64, interval time.Duration) {
	s.poolSlots, s.poolRate, s.reportInterval = slots, rate, interval
}

// SetBacklog sets how many requests of an account and kind wait at an entry
// router. hint is their mean cost hint in cost units, 0 for none. Next lowers
// the count by one with each grant. When the grant arrives, the entry router
// must also lower the count that it last sent to this cell, and send the count
// again if its queue differs.
func (s *Scheduler) SetBacklog(now time.Time, entry, account, kind string, count int, hint float64) {
	s.recordTime(now)
	a := s.account(account)
	a.kinds.Set(entry, s.kind(a, kind), count, hint)
	s.updateBacklog(now, a)
}

// DropEntry removes the backlog and the running grants of an entry router, for
// example because it is no longer live. The slots of the grants become free and
// their charges are credited.
func (s *Scheduler) DropEntry(now time.Time, entry string) {
	for _, a := range s.accounts {
		a.kinds.DropEntry(entry)
		s.updateBacklog(now, a)
	}
	for _, id := range slices.Sorted(maps.Keys(s.grants)) {
		if g := s.grants[id]; g.Entry == entry {
			s.correct(g, 0)
			s.release(g)
		}
	}
}

// Restore adds a running grant of an earlier owner of the cell, which has
// charged it already. A cost of 0 means that the charge is unknown; it is then
// never corrected.
func (s *Scheduler) Restore(now time.Time, r rwgrant.Grant) {
	if s.grants[r.ID] != nil {
		return
	}
	a := s.account(r.Account)
	g := s.newGrant()
	*g = grant{
		Grant: r, account: a, kind: s.kind(a, r.Kind), upstream: s.upstream(r.Upstream),
		grantedAt: now, chargeUnknown: r.Cost <= 0,
	}
	s.addRunning(g)
}

// addRunning counts a grant as running.
func (s *Scheduler) addRunning(g *grant) {
	s.grants[g.ID] = g
	g.upstream.running++
	g.account.running++
	s.fixHeap(g.account)
}

// release frees the slot of a grant.
func (s *Scheduler) release(g *grant) {
	delete(s.grants, g.ID)
	g.upstream.running--
	g.account.running--
	s.fixHeap(g.account)
	s.deleteIfUnused(g.upstream)
	*g = grant{next: s.freeGrants}
	s.freeGrants = g
}

func (s *Scheduler) newGrant() *grant {
	g := s.freeGrants
	if g == nil {
		return &grant{}
	}
	s.freeGrants = g.next
	return g
}

// Next returns the next grant, or false while nothing can be granted.
func (s *Scheduler) Next(now time.Time) (rwgrant.Grant, bool) {
	s.recordTime(now)
	u, slots := s.freeUpstream(now)
	if u == nil {
		return rwgrant.Grant{}, false
	}
	a := s.nextAccount(int64(slots))
	if a == nil {
		return rwgrant.Grant{}, false
	}
	return s.grant(now, a, u), true
}

// freeUpstream returns the upstream with the largest free part of its window,
// nil if none has a free slot, and the slots of all upstreams in service.
func (s *Scheduler) freeUpstream(now time.Time) (best *upstream, slots int) {
	for _, u := range s.upstreams {
		if u.removed || !u.backoff.Allows(now) {
			continue
		}
		slots += u.window
		if u.running < u.window && (best == nil || u.running*best.window < best.running*u.window) {
			best = u
		}
	}
	return best, slots
}

// nextAccount returns the account that is granted the next slot, nil if none is
// backlogged. Accounts that hold twice their fair share of slots are skipped.
// The caps of all backlogged accounts add up to twice the slots, so at least one
// of them is below its cap unless more requests run than the windows of the
// upstreams in service allow. In that case the account with the fewest slots for
// its weight is served, so that no slot is idle.
func (s *Scheduler) nextAccount(slots int64) *account {
	for s.capped.Len() > 0 && !s.atCap(s.capped.Top(), slots) {
		s.uncap(s.capped.Top())
	}
	for s.ready.Len() > 0 {
		a := s.ready.Top()
		if !s.atCap(a, slots) {
			return a
		}
		s.ready.Remove(a.heapIndex)
		a.heap = s.capped
		s.capped.Push(a)
	}
	if s.capped.Len() > 0 {
		return s.capped.Top()
	}
	return nil
}

// atCap reports whether an account holds at least one slot and twice its fair
// share of the slots.
func (s *Scheduler) atCap(a *account, slots int64) bool {
	return a.running > 0 && int64(a.running)*s.backloggedWeight >= 2*slots*a.weight
}

// uncap makes an account ready again. It keeps its lag only up to a limit: an
// account whose requests take more than twice the slot time of the others' for
// the same cost would fall behind without bound, and all other accounts would
// be clamped at maxLag above it and lose their order.
func (s *Scheduler) uncap(a *account) {
	if s.ready.Len() > 0 {
		a.virtualTime = max(a.virtualTime, s.minVirtualTime()-keptLagFraction*s.maxLag(a))
	}
	s.capped.Remove(a.heapIndex)
	a.heap = s.ready
	s.ready.Push(a)
}

func (s *Scheduler) grant(now time.Time, a *account, u *upstream) rwgrant.Grant {
	s.virtualClock = a.virtualTime
	entry, kind, hint := a.kinds.Next()
	s.lastID++
	a.lastGrantID = s.lastID
	g := s.newGrant()
	*g = grant{
		Grant: rwgrant.Grant{
			ID: s.lastID, Cell: s.cell, Entry: entry, Account: a.name, Kind: a.kinds.KindName(kind),
			Upstream: u.name,
		},
		account: a, kind: kind, upstream: u, grantedAt: now, trial: u.backoff.Granted(),
	}
	g.Cost = s.costs.Estimate(g.Account, g.Kind, hint)
	s.addRunning(g)
	s.charge(g, g.Cost)
	s.updateBacklog(now, a)
	return g.Grant
}

// charge adds cost to the service that the account of a grant received. A
// credit is negative.
func (s *Scheduler) charge(g *grant, cost float64) {
	s.ledger.Charge(g.account.ledgerIndex, cost)
	g.account.kinds.Charge(g.kind, cost)
	s.advanceVirtualTime(g.account, cost)
	s.clampVirtualTime(g.account)
}

// correct replaces the charge of a grant.
func (s *Scheduler) correct(g *grant, cost float64) {
	if g.chargeUnknown {
		return
	}
	s.charge(g, cost-g.Cost)
	g.Cost = cost
}

// UpdateCost raises the charge of a running request to a cost that its entry
// router reported, which may be above the cost so far. A cost below the charge
// has no effect.
func (s *Scheduler) UpdateCost(_ time.Time, id uint64, cost float64) {
	g := s.grants[id]
	if g != nil && cost > g.Cost && !math.IsInf(cost, 1) {
		s.correct(g, cost)
	}
}

// Finish ends a grant: it takes the cost of the request, the times to the first
// and the last byte, and the code of a failure or None. A grant that was
// returned unused has cost 0. Work that failed inside the fleet is credited.
// Unknown identifiers are ignored.
func (s *Scheduler) Finish(now time.Time, id uint64, cost float64, first, total time.Duration, code rwcode.Code) {
	g := s.grants[id]
	if g == nil {
		return
	}
	if !(cost >= 0) || math.IsInf(cost, 1) || failedInFleet(code) {
		cost = 0
	}
	s.learn(now, g, cost, first, total, code)
	s.correct(g, cost)
	s.release(g)
}

func (s *Scheduler) learn(now time.Time, g *grant, cost float64, first, total time.Duration, code rwcode.Code) {
	u := g.upstream
	switch {
	case code == rwcode.UpstreamUnreachable || code == rwcode.UpstreamRefused:
		u.backoff.Failed(now, g.grantedAt, g.trial)
	case total > 0 || cost > 0:
		u.backoff.Reached(g.grantedAt, g.trial)
	default:
		u.backoff.Returned(g.trial)
	}
	if code != rwcode.None || cost == 0 {
		return
	}
	s.costs.Learn(g.Account, g.Kind, cost)
	if u.learned != nil {
		u.learned.Observe(now, cost, first, total, u.running)
		u.window = u.learned.Size()
	}
}

// failedInFleet reports whether a failure was caused by the fleet and not by
// the caller. The caller's account must not pay for such work.
func failedInFleet(code rwcode.Code) bool {
	switch code {
	case rwcode.None, rwcode.CallerGone, rwcode.DeadlineExceeded, rwcode.BadRequest,
		rwcode.BodyTooLarge, rwcode.HeaderTooLarge, rwcode.SlowBody:
		return false
	}
	return true
}

// Report appends the totals of the accounts that were charged or became
// backlogged or idle. A change appears in rwledger.ReportRepeats successive
// reports. If there are any changes, Report adds a few unchanged accounts, to
// make up for lost reports.
func (s *Scheduler) Report(dst []rwtotal.Total) []rwtotal.Total {
	for _, a := range s.backlogChanged {
		a.backlogChanged = false
		if waiting := a.heap != nil; waiting != a.reportedBacklogged {
			a.reportedBacklogged = waiting
			s.ledger.MarkChanged(a.ledgerIndex)
		}
	}
	s.backlogChanged = s.backlogChanged[:0]
	old := len(dst)
	dst = s.ledger.Report(dst)
	for i := old; i < len(dst); i++ {
		if a := s.byName[dst[i].Account]; a.heap != nil {
			dst[i].Lead = a.virtualTime - s.minVirtualTime()
			if dst[i].Lead == 0 {
				dst[i].Lead = minLead
			}
		}
	}
	return dst
}

// ReportAll includes all accounts with charges or backlog in the next reports.
// It is called when another cell of the pool gets a new owner.
func (s *Scheduler) ReportAll() {
	s.ledger.MarkAll()
	for _, a := range s.accounts {
		if a.heap != nil {
			s.ledger.MarkChanged(a.ledgerIndex)
		}
	}
}

// PeersReconnected calls ReportAll, records the time and raises the windows of
// engines to at least their start values. It is called when a router can be
// reached again after an outage. During the outage it may have owned this cell
// too and filled its engines, which shrinks the windows of both owners.
func (s *Scheduler) PeersReconnected(now time.Time) {
	s.recordTime(now)
	s.reconnectedAt = now
	for _, u := range s.upstreams {
		if u.learned != nil {
			u.learned.RaiseToStart(now)
			u.window = u.learned.Size()
		}
	}
	s.ReportAll()
}

// MergeTotals merges a report of another cell's owner. inc is the incarnation
// of that owner.
func (s *Scheduler) MergeTotals(cell string, inc int64, totals []rwtotal.Total) {
	if cell == s.cell {
		return
	}
	s.ledger.Merge(cell, inc, totals, func(name string, cost float64) {
		s.advanceVirtualTime(s.account(name), cost)
	})
	s.reportedAt[cell] = s.lastEvent
	s.undoRaises(totals)
	if inc < s.incarnation {
		s.adoptLeads(totals)
	}
	for _, t := range totals {
		s.clampVirtualTime(s.account(t.Account))
	}
}

// adoptLeads makes a new owner continue with the gaps that an older owner
// reports. If each change of owner reset them, the gap between two accounts
// would drift without bound over many changes.
func (s *Scheduler) adoptLeads(totals []rwtotal.Total) {
	if s.leadsAdopted || s.lastEvent.Sub(s.firstEvent) >= adoptionPeriod {
		return
	}
	for _, t := range totals {
		if a := s.account(t.Account); t.Lead != 0 {
			s.leadsAdopted = true
			a.virtualTime += t.Lead
			s.fixHeap(a)
		}
	}
}

// undoRaises reverts the raise of the virtual time of accounts that became
// backlogged here after an outage but were backlogged at other cells during it.
// With the raise, this cell would treat the service that they received during
// the outage as equal to that of its own accounts, and would work against the
// corrections of the other cells.
func (s *Scheduler) undoRaises(totals []rwtotal.Total) {
	if s.reconnectedAt.IsZero() || s.lastEvent.Sub(s.reconnectedAt) >= adoptionPeriod {
		return
	}
	for _, t := range totals {
		a := s.account(t.Account)
		if t.Lead == 0 || a.heap == nil || s.reconnectedAt.Sub(a.backloggedSince) >= rejoinGrace {
			continue
		}
		a.virtualTime -= a.raisedBy
		a.raisedBy = 0
		s.fixHeap(a)
	}
}

// backloggedElsewhere reports whether an account is backlogged at another cell
// according to a recent report.
func (s *Scheduler) backloggedElsewhere(a *account) bool {
	for cell, at := range s.reportedAt {
		if s.lastEvent.Sub(at) < reportLifetime && s.ledger.HasBacklog(cell, a.name) {
			return true
		}
	}
	return false
}

func (s *Scheduler) recordTime(now time.Time) {
	if s.firstEvent.IsZero() {
		s.firstEvent = now
	}
	s.lastEvent = now
}

// NextRetry returns when the next upstream may be tried again after a failure,
// zero for none. If Next returned no grant, it returns none before then unless
// another event occurs.
func (s *Scheduler) NextRetry() time.Time {
	var first time.Time
	for _, u := range s.upstreams {
		t := u.backoff.RetryAt()
		if !u.removed && !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// TotalCharged returns the cost that this owner has charged to all accounts,
// less credit. It doesn't allocate; computing it from View took 0.4% of a core
// with 3,100 accounts.
func (s *Scheduler) TotalCharged() float64 {
	sum := 0.0
	for _, a := range s.accounts {
		sum += s.ledger.Net(a.ledgerIndex)
	}
	return sum
}

// View returns a copy of the state for operators.
func (s *Scheduler) View() rwschedview.View {
	v := rwschedview.View{Cell: s.cell, Inc: s.incarnation}
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		a := s.byName[name]
		v.Accounts = append(v.Accounts, rwschedview.Account{
			Name: name, Weight: int(a.weight), Virtual: a.virtualTime, Backlog: a.kinds.Backlog(),
			Running: a.running, Total: s.ledger.Net(a.ledgerIndex),
		})
	}
	for _, u := range s.upstreams {
		v.Upstreams = append(v.Upstreams, rwschedview.Upstream{Name: u.name, Window: u.window, Running: u.running})
	}
	return v
}

// updateBacklog queues an account that became backlogged and dequeues one that
// became idle.
func (s *Scheduler) updateBacklog(now time.Time, a *account) {
	backlogged := a.kinds.Backlog() > 0 && !a.removed
	switch {
	case backlogged && a.heap == nil:
		s.becomeBacklogged(now, a)
	case !backlogged && a.heap != nil:
		s.dequeue(a)
		s.markBacklogChanged(a)
		a.idleSince = now
		a.lagWhenIdle = max(0, s.minVirtualTime()-a.virtualTime)
	}
}

// becomeBacklogged raises an account to the lowest virtual time, so that it
// can't save up credit while it is idle. An account that is backlogged at
// another cell was not idle and keeps its lag up to a limit.
func (s *Scheduler) becomeBacklogged(now time.Time, a *account) {
	start := s.minVirtualTime()
	switch {
	case s.backloggedElsewhere(a):
		start -= keptLagFraction * s.maxLag(a)
	case now.Sub(a.idleSince) < rejoinGrace:
		start -= a.lagWhenIdle
	}
	a.raisedBy = max(0, start-a.virtualTime)
	a.virtualTime += a.raisedBy
	a.backloggedSince = now
	s.markBacklogChanged(a)
	s.enqueue(a, s.ready)
	s.clampVirtualTime(a)
}

func (s *Scheduler) markBacklogChanged(a *account) {
	if !a.backlogChanged {
		a.backlogChanged = true
		s.backlogChanged = append(s.backlogChanged, a)
	}
}

// minVirtualTime returns the lowest virtual time of the ready accounts, or
// virtualClock if there are none. Capped accounts don't count, since they get as
// much service as the cap allows.
func (s *Scheduler) minVirtualTime() float64 {
	if s.ready.Len() == 0 {
		return s.virtualClock
	}
	return s.ready.Top().virtualTime
}

func (s *Scheduler) enqueue(a *account, heap *rwheap.Heap[*account]) {
	a.heap = heap
	heap.Push(a)
	s.backloggedWeight += a.weight
}

func (s *Scheduler) dequeue(a *account) {
	if a.heap == nil {
		return
	}
	a.heap.Remove(a.heapIndex)
	a.heap = nil
	s.backloggedWeight -= a.weight
}

func (s *Scheduler) fixHeap(a *account) {
	if a.heap != nil {
		a.heap.Fix(a.heapIndex)
	}
}

func (s *Scheduler) advanceVirtualTime(a *account, cost float64) {
	a.virtualTime += cost / a.share()
	s.fixHeap(a)
}

func (a *account) share() float64 { return float64(a.weight) / rwaccount.WeightUnit }

// clampVirtualTime limits a backlogged account's virtual time to maxLag above
// the lowest one.
func (s *Scheduler) clampVirtualTime(a *account) {
	if a.heap == nil {
		return
	}
	if highest := s.minVirtualTime() + s.maxLag(a); a.virtualTime > highest {
		a.virtualTime = highest
		s.fixHeap(a)
	}
}

// maxLag returns the bound on the gap between two accounts of this account's
// weight, in virtual time. The first term covers cost that is charged and not
// yet received, on at most twice the fair share of the slots, as in
// docs/design.md, section 3.2. The second term covers service at other cells
// that no report has shown yet. It is 2·R·I/w, where section 3.2 has 4·R·I/W.
func (s *Scheduler) maxLag(a *account) float64 {
	slots := s.poolSlots
	if slots == 0 {
		_, slots = s.freeUpstream(time.Time{})
	}
	weight := float64(max(s.backloggedWeight, a.weight)) / rwaccount.WeightUnit
	charged := 2 * s.costs.Max() * (1/a.share() + 2*float64(slots)/weight)
	unreported := 2 * s.poolRate * s.reportInterval.Seconds() / a.share()
	return charged + unreported
}
