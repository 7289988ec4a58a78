// Package rwledger keeps the cost that the owner of a cell charged to each
// account, and the totals that the owners of other cells of the pool reported.
package rwledger

import "redwingworks.example/internal/rwtotal"

const (
	// ReportRepeats is the number of reports in which a change appears, so that
	// a lost report delays it by one interval only.
	ReportRepeats = 2
	// unchangedPerReport is the number of unchanged accounts that each report
	// repeats, in rotation. At 250 ms between reports, 16 accounts are sent
	// again each second, which makes up for whatever else was lost.
	unchangedPerReport = 4
)

// Ledger holds the totals by account. Reported totals only rise: a receiver
// keeps the highest value it has seen, so late, duplicate and reordered reports
// have no effect. A credit is offset against later charges of the same account.
// Ledger is not safe for concurrent use.
type Ledger struct {
	incarnation int64
	accounts    []accountTotal
	index       map[string]int
	// changed holds the accounts that the next report includes because of a
	// change, in order of change.
	changed []int
	// lastRepeated is the index at which the rotation over the unchanged
	// accounts stopped.
	lastRepeated int
	otherCells   map[string]*otherCell
}

type accountTotal struct {
	account string
	// net is the cost charged, less credit.
	net float64
	// highest is the highest value of net so far, which is what is reported.
	highest float64
	// repeatsLeft is the number of further reports that include the account.
	repeatsLeft int
}

type otherCell struct {
	incarnation int64
	totals      map[string]rwtotal.Total
}

// New returns an empty ledger of an owner with the given incarnation.
func New(inc int64) *Ledger {
	return &Ledger{incarnation: inc, index: map[string]int{}, otherCells: map[string]*otherCell{}}
}

// AccountIndex returns the index of an account, which it adds if it is new.
func (l *Ledger) AccountIndex(name string) int {
	if i, ok := l.index[name]; ok {
		return i
	}
	l.index[name] = len(l.accounts)
	l.accounts = append(l.accounts, accountTotal{account: name})
	return len(l.accounts) - 1
}

// Charge adds cost to an account. A credit is negative.
func (l *Ledger) Charge(account int, cost float64) {
	e := &l.accounts[account]
	e.net += cost
	if e.net > e.highest {
		e.highest = e.net
		l.MarkChanged(account)
	}
}

// Net returns the cost charged to an account, less credit.
func (l *Ledger) Net(account int) float64 { return l.accounts[account].net }

// MarkChanged includes an account in the next reports even if its total is 0. An
// owner that took its cell later than this one needs a first total of the
// account, possibly 0, before it can count later charges.
func (l *Ledger) MarkChanged(account int) {
	e := &l.accounts[account]
	if e.repeatsLeft == 0 {
		l.changed = append(l.changed, account)
	}
	e.repeatsLeft = ReportRepeats
}

// MarkAll includes all accounts with charges in the next reports, for an owner
// that is new or could not be reached.
func (l *Ledger) MarkAll() {
	for i := range l.accounts {
		if l.accounts[i].highest > 0 {
			l.MarkChanged(i)
		}
	}
}

// Report appends the totals of the accounts that changed and, if there are any,
// of a few unchanged ones in rotation.
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

// Merge merges the totals of another cell's owner and calls apply with each
// increase. Totals of an older incarnation are ignored; those of a newer one
// start from zero again. If the other owner took its cell before this one did,
// its totals include cost from before that time, so the first total of each
// account only sets the base.
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

// HasBacklog reports whether an account was backlogged at another cell according
// to the last report that included it.
func (l *Ledger) HasBacklog(name, account string) bool {
	c := l.otherCells[name]
	return c != nil && c.totals[account].Lead != 0
}
