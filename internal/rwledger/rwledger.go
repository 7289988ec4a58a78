// Package rwledger keeps the cost that the owner of a cell charged to each
// account, and what it knows of the other cells of the pool.
package rwledger

import "redwingworks.example/internal/rwtotal"

const (
	// ReportRepeats is in how many reports a change appears, so that a lost
	// report costs one interval.
	ReportRepeats = 2
	// unchangedPerReport is how many unchanged accounts each report repeats in turn.
	// Whatever was lost is told again, 16 accounts within a second.
	unchangedPerReport = 4
)

// Ledger holds totals that only rise. Whoever merges them can take the
// highest one seen, so that late, repeated and reordered reports do no harm. A
// credit is set off against later charges of the same account. Ledger is not
// safe for concurrent use.
type Ledger struct {
	incarnation int64
	accounts    []accountTotal
	index       map[string]int
	// changed holds the accounts with mentions left, in order of change.
	changed []int
	// lastRepeated is the next account to repeat although it did not change.
	lastRepeated int
	otherCells   map[string]*otherCell
}

type accountTotal struct {
	account string
	// net is the cost charged, less credit.
	net float64
	// highest is the highest value of net so far; this is what others are told.
	highest     float64
	repeatsLeft int
}

type otherCell struct {
	incarnation int64
	totals      map[string]rwtotal.Total
}

// New returns the ledger of an owner with the given incarnation.
func New(inc int64) *Ledger {
	return &Ledger{incarnation: inc, index: map[string]int{}, otherCells: map[string]*otherCell{}}
}

// AccountIndex returns the number of an account, which it adds if it is new.
func (l *Ledger) AccountIndex(name string) int {
	if i, ok := l.index[name]; ok {
		return i
	}
	l.index[name] = len(l.accounts)
	l.accounts = append(l.accounts, accountTotal{account: name})
	return len(l.accounts) - 1
}

// Charge adds cost to an account. Credit is negative.
func (l *Ledger) Charge(account int, cost float64) {
	e := &l.accounts[account]
	e.net += cost
	if e.net > e.highest {
		e.highest = e.net
		l.MarkChanged(account)
	}
}

// Net is the cost charged to an account, less credit.
func (l *Ledger) Net(account int) float64 { return l.accounts[account].net }

// MarkChanged puts an account into the next reports, also with a total of 0: a new
// owner that has seen a total of 0 can count the first charge.
func (l *Ledger) MarkChanged(account int) {
	e := &l.accounts[account]
	if e.repeatsLeft == 0 {
		l.changed = append(l.changed, account)
	}
	e.repeatsLeft = ReportRepeats
}

// MarkAll puts all accounts into the next reports, for an owner that is new or
// was out of reach.
func (l *Ledger) MarkAll() {
	for i := range l.accounts {
		if l.accounts[i].highest > 0 {
			l.MarkChanged(i)
		}
	}
}

// Report appends the totals of the accounts that changed and, if there are
// any, of a few others in turn.
func (l *Ledger) Report(dst []rwtotal.Total) []rwtotal.Total {
	if len(l.changed) == 0 {
		return dst
	}
	dst = l.appendUnchanged(dst)
	left := l.changed[:0]
	for _, i := range l.changed {
		e := &l.accounts[i]
		dst = append(dst, rwtotal.Total{Account: e.account, Cost: e.highest})
		e.repeatsLeft--
		if e.repeatsLeft > 0 {
			left = append(left, i)
		}
	}
	l.changed = left
	return dst
}

func (l *Ledger) appendUnchanged(dst []rwtotal.Total) []rwtotal.Total {
	for n, left := len(l.accounts), unchangedPerReport; n > 0 && left > 0; n-- {
		l.lastRepeated = (l.lastRepeated + 1) % len(l.accounts)
		e := &l.accounts[l.lastRepeated]
		if e.repeatsLeft == 0 && e.highest > 0 {
			dst = append(dst, rwtotal.Total{Account: e.account, Cost: e.highest})
			left--
		}
	}
	return dst
}

// Merge takes in the totals of another cell's owner and tells apply what is
// new. Totals of an older incarnation are ignored; those of a newer one start
// again from zero. An owner that took its cell before this one did has totals
// from before; the first one seen of each account is where counting starts.
func (l *Ledger) Merge(name string, inc int64, totals []rwtotal.Total, apply func(account string, cost float64)) {
	c := l.otherCells[name]
	if c != nil && inc < c.incarnation {
		return
	}
	if c == nil || inc > c.incarnation {
		c = &otherCell{incarnation: inc, totals: make(map[string]rwtotal.Total, len(totals))}
		l.otherCells[name] = c
		l.MarkAll()
	}
	for _, t := range totals {
		old, seen := c.totals[t.Account]
		if seen && t.Cost < old.Cost {
			continue
		}
		c.totals[t.Account] = t
		if t.Cost > old.Cost && (seen || c.incarnation >= l.incarnation) {
			apply(t.Account, t.Cost-old.Cost)
		}
	}
}

// HasBacklog reports whether an account had work waiting at another cell according
// to the last report that named it.
func (l *Ledger) HasBacklog(name, account string) bool {
	c := l.otherCells[name]
	return c != nil && c.totals[account].Lead != 0
}
