package rwplacement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Load is how busy a cell is and what its accounts get.
type Load struct {
	// Running is the number of granted requests, Slots the number that the engines run
	// at once, and Queued the number of requests that wait for a decision.
	Running, Slots, Queued int
	// FairShare is the share of an account in tokens over the window, or 0 if shares
	// are not enforced.
	FairShare int
	// Considered is the number of engines that were considered for requests since the
	// last call of Load, each request and each time counted.
	Considered int
	// Deciding is how long the owner of the cell took for decisions since the last
	// report. The owner sets it.
	Deciding time.Duration
	// Accounts are those with the largest demand, the largest first.
	Accounts []AccountLoad
}

// AccountLoad is what an account gets in a cell.
type AccountLoad struct {
	Name string
	// Demand and Usage are tokens over the window.
	Demand, Usage int
	// Late counts the requests that were refused as late since the last call of Load,
	// by what kept them from their engines.
	Late map[string]int
}

// Load returns the load of the cell with up to n accounts.
func (p *Placer) Load(now time.Time, n int) Load {
	l := Load{Slots: p.spec.Slots * len(p.availableIDs), Queued: len(p.queue), Considered: p.considered}
	p.considered = 0
	for _, id := range p.availableIDs {
		l.Running += p.engines[id].running
	}
	if share := p.FairShare(now); !math.IsInf(share, 1) {
		l.FairShare = int(share)
	}
	for _, name := range slices.Sorted(maps.Keys(p.accounts)) {
		acc := p.account(now, name)
		l.Accounts = append(l.Accounts, AccountLoad{Name: name, Demand: int(acc.demand), Usage: int(acc.usage), Late: acc.late})
		acc.late = nil
	}
	slices.SortStableFunc(l.Accounts, func(x, y AccountLoad) int { return cmp.Compare(y.Demand, x.Demand) })
	l.Accounts = l.Accounts[:min(n, len(l.Accounts))]
	return l
}

// boundOf returns what keeps a queued request from an engine. o is its best option if ok,
// and reserved is whether that engine is kept for a request before it.
func (p *Placer) boundOf(w *queuedRequest, o option, ok, reserved bool) Bound {
	switch {
	case !ok:
		return SlotBound
	case reserved:
		return OrderBound
	case p.lateOnIdleEngine(w, o):
		return TimeBound
	case o.gapWait > 0:
		return GapBound
	default:
		return QueueBound
	}
}

// refuseLate refuses a request that can't be in time any more.
func (p *Placer) refuseLate(now time.Time, w *queuedRequest) Decision {
	if w.bound == NoBound {
		w.bound = TimeBound
	}
	acc := p.account(now, w.request.Account)
	if acc.late == nil {
		acc.late = map[string]int{}
	}
	acc.late[w.bound.String()]++
	d := p.refuse(now, w.request, Late)
	d.Bound = w.bound.String()
	return d
}
