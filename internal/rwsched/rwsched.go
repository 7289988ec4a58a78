// Package rwsched is the scheduler of one cell: it decides which account gets
// the next free slot, and on which upstream.
package rwsched

import (
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwcost"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwschedview"
	"redwingworks.example/internal/rwtotal"
)

// Scheduler hands out the slots of a cell. It is not safe for concurrent use.
type Scheduler struct {
	cell      string
	inc       int64
	next      uint64
	costs     *rwcost.Cost
	upstreams map[string]*upstream
	accounts  map[string]*account
	levels    map[levelKey]level
	grants    map[uint64]rwgrant.Grant
	changed   map[string]bool
	others    map[string]map[string]float64
	incs      map[string]int64
}

type upstream struct {
	window, running int
	removed         bool
}

type account struct {
	weight int
	total  float64
	others float64
}

type levelKey struct{ entry, account, kind string }

type level struct {
	count int
	hint  float64
}

// New returns a scheduler without upstreams. inc is the incarnation of the
// owner in microseconds since 1970; grant identifiers start from it.
func New(cell string, inc int64) *Scheduler {
	return &Scheduler{
		cell: cell, inc: inc, next: uint64(inc),
		costs:     rwcost.New(),
		upstreams: map[string]*upstream{},
		accounts:  map[string]*account{},
		levels:    map[levelKey]level{},
		grants:    map[uint64]rwgrant.Grant{},
		changed:   map[string]bool{},
		others:    map[string]map[string]float64{},
		incs:      map[string]int64{},
	}
}

// SetUpstream adds an upstream or changes its window.
func (s *Scheduler) SetUpstream(name string, window int) {
	s.upstream(name).window = window
	s.upstream(name).removed = false
}

func (s *Scheduler) upstream(name string) *upstream {
	u := s.upstreams[name]
	if u == nil {
		u = &upstream{}
		s.upstreams[name] = u
	}
	return u
}

// RemoveUpstream ends new grants for an upstream. Running ones stay known.
func (s *Scheduler) RemoveUpstream(name string) { s.upstream(name).removed = true }

// SetAccount adds an account or changes its weight.
func (s *Scheduler) SetAccount(name string, weight int) { s.account(name).weight = max(weight, 1) }

func (s *Scheduler) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{weight: 1}
		s.accounts[name] = a
	}
	return a
}

// RemoveAccount ends new grants for an account. Running ones stay known.
func (s *Scheduler) RemoveAccount(name string) { delete(s.accounts, name) }

// SetKind adds a kind or changes its urgency, 0 (most urgent) to 3.
func (s *Scheduler) SetKind(name string, urgency int) {}

// SetPool sets the figures of the whole pool: its slots, its rate in cost
// units per second, and the interval of the reports with their delay.
func (s *Scheduler) SetPool(slots int, rate float64, interval time.Duration) {}

// SetLevel sets how many requests of an account and kind wait at an entry. hint
// is their mean hint in cost units, 0 for none.
func (s *Scheduler) SetLevel(now time.Time, entry, account, kind string, count int, hint float64) {
	k := levelKey{entry, account, kind}
	if count <= 0 {
		delete(s.levels, k)
		return
	}
	s.levels[k] = level{count: count, hint: hint}
}

// DropEntry forgets an entry that is gone: its levels, and its running grants,
// whose slots become free.
func (s *Scheduler) DropEntry(now time.Time, entry string) {
	for k := range s.levels {
		if k.entry == entry {
			delete(s.levels, k)
		}
	}
	for id, g := range s.grants {
		if g.Entry == entry {
			s.release(id, g)
		}
	}
}

func (s *Scheduler) release(id uint64, g rwgrant.Grant) {
	delete(s.grants, id)
	s.upstream(g.Upstream).running--
}

// Restore takes in a running grant of an earlier owner of the cell.
func (s *Scheduler) Restore(now time.Time, g rwgrant.Grant) {
	if _, ok := s.grants[g.ID]; ok {
		return
	}
	s.grants[g.ID] = g
	s.upstream(g.Upstream).running++
}

// Next returns the next grant, or false while nothing can be granted.
func (s *Scheduler) Next(now time.Time) (rwgrant.Grant, bool) {
	up, ok := s.free()
	if !ok {
		return rwgrant.Grant{}, false
	}
	best, found := levelKey{}, false
	for k := range s.levels {
		if s.accounts[k.account] != nil && (!found || s.before(k, best)) {
			best, found = k, true
		}
	}
	if !found {
		return rwgrant.Grant{}, false
	}
	return s.grant(best, up), true
}

func (s *Scheduler) free() (string, bool) {
	best, free := "", 0.0
	for name, u := range s.upstreams {
		if u.removed || u.running >= u.window {
			continue
		}
		f := float64(u.window-u.running) / float64(u.window)
		if f > free || (f == free && name < best) {
			best, free = name, f
		}
	}
	return best, free > 0
}

func (s *Scheduler) before(a, b levelKey) bool {
	va, vb := s.virtual(a.account), s.virtual(b.account)
	if va != vb {
		return va < vb
	}
	return a.account+"\x00"+a.kind+"\x00"+a.entry < b.account+"\x00"+b.kind+"\x00"+b.entry
}

func (s *Scheduler) virtual(name string) float64 {
	a := s.accounts[name]
	return (a.total + a.others) / float64(a.weight)
}

func (s *Scheduler) grant(k levelKey, up string) rwgrant.Grant {
	l := s.levels[k]
	s.next++
	g := rwgrant.Grant{
		ID: s.next, Cell: s.cell, Entry: k.entry, Account: k.account, Kind: k.kind,
		Upstream: up, Cost: s.costs.Estimate(k.account, k.kind, l.hint),
	}
	s.grants[g.ID] = g
	s.upstream(up).running++
	s.charge(g.Account, g.Cost)
	l.count--
	s.levels[k] = l
	if l.count <= 0 {
		delete(s.levels, k)
	}
	return g
}

func (s *Scheduler) charge(name string, cost float64) {
	s.account(name).total += cost
	s.changed[name] = true
}

// Usage takes in the cost so far of a running request.
func (s *Scheduler) Usage(now time.Time, id uint64, cost float64) {
	g, ok := s.grants[id]
	if !ok || cost <= g.Cost {
		return
	}
	s.charge(g.Account, cost-g.Cost)
	g.Cost = cost
	s.grants[id] = g
}

// Done takes in the end of a request: its cost, the times to the first and the
// last byte, and the code of a failure or None. A grant that was returned
// unused has cost 0. Unknown identifiers are ignored.
func (s *Scheduler) Done(now time.Time, id uint64, cost float64, first, total time.Duration, code rwcode.Code) {
	g, ok := s.grants[id]
	if !ok {
		return
	}
	s.release(id, g)
	s.charge(g.Account, cost-g.Cost)
	if cost > 0 && code == rwcode.None {
		s.costs.Learn(g.Account, g.Kind, cost)
	}
}

// Report appends the accounts whose total changed since the last call.
func (s *Scheduler) Report(dst []rwtotal.Total) []rwtotal.Total {
	for name := range s.changed {
		dst = append(dst, rwtotal.Total{Account: name, Cost: s.account(name).total})
	}
	clear(s.changed)
	return dst
}

// Merge takes in the totals of another cell's owner. inc is that owner's
// incarnation.
func (s *Scheduler) Merge(cell string, inc int64, totals []rwtotal.Total) {
	if inc < s.incs[cell] || cell == s.cell {
		return
	}
	if inc > s.incs[cell] {
		s.incs[cell] = inc
		s.others[cell] = map[string]float64{}
	}
	for _, t := range totals {
		s.account(t.Account).others += t.Cost - s.others[cell][t.Account]
		s.others[cell][t.Account] = t.Cost
	}
}

// View returns the state for operators.
func (s *Scheduler) View() rwschedview.View {
	v := rwschedview.View{Cell: s.cell, Inc: s.inc}
	for name, a := range s.accounts {
		v.Accounts = append(v.Accounts, rwschedview.Account{
			Name: name, Weight: a.weight, Virtual: s.virtual(name), Total: a.total,
		})
	}
	for name, u := range s.upstreams {
		v.Upstreams = append(v.Upstreams, rwschedview.Upstream{Name: name, Window: u.window, Running: u.running})
	}
	return v
}
