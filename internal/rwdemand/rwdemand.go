// Package rwdemand decides which backlogs an entry router reports to which
// cells. It tracks the count that each owner holds and reports a backlog only
// when the difference matters, so that the number of messages is proportional
// to the rate of grants and not to that of arrivals.
package rwdemand

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingworks.example/internal/rwbacklog"
	"redwingworks.example/internal/rwqueue"
	"redwingworks.example/internal/rwslotmessage"
)

const (
	// MaxDeclared is the largest backlog that is reported. Requests beyond it
	// cause no messages, however many arrive.
	MaxDeclared = 8
	// widenDelay is how long a flow's backlog is reported to cells of the
	// router's own zone only.
	widenDelay = 5 * time.Millisecond
	// refreshInterval is how often backlogs are reported again, since messages
	// may be lost.
	refreshInterval = 5 * time.Second
	// deferDelay is how long a change waits for another message to the same
	// cell if the count that the owner holds is not 0. In a flood, a message
	// for every change took half of the budget for control traffic.
	deferDelay = 50 * time.Millisecond
	// maxCellsWithoutSampling is the number of cells of a pool up to which the
	// backlog is reported to all. With more cells, it is reported to a sample
	// that has at least minRemoteCells cells of other zones.
	maxCellsWithoutSampling = 4
	minRemoteCells          = 3
)

// Demand tracks the backlogs of one entry router and the counts that the owners
// of cells hold of them. It is not safe for concurrent use.
type Demand struct {
	random *rand.Rand
	cells  map[string]*cell
	flows  map[rwqueue.FlowKey]*flow
	// dirty are the flows to compare with the counts that the owners hold.
	dirty map[rwqueue.FlowKey]struct{}
	// refresh is when all backlogs are reported again.
	refresh time.Time
}

type cell struct {
	Target
	// ownerCount holds, for each flow, the count that was last reported to the
	// owner, less the grants received since; -1 forces a new report.
	ownerCount map[rwqueue.FlowKey]int
	// needsSync is whether the owner has to be sent the full state.
	needsSync bool
	// deferredUntil is when deferred changes are sent; zero for none.
	deferredUntil time.Time
}

type flow struct {
	pool  string
	count int
	hint  float64
	// widenAt is when the backlog is reported to other zones.
	widenAt time.Time
	// declaredAt are the cells that the backlog is reported to.
	declaredAt []string
	// widened is whether declaredAt may include other zones although the
	// router's own zone has cells of the pool.
	widened bool
}

// Target describes a cell to which backlogs can be reported.
type Target struct {
	Name  string
	Pools []string
	// Owner identifies the owner and its incarnation. When it changes, the
	// new owner is sent the full state.
	Owner string
	// SameZone is whether the cell is in the router's zone.
	SameZone bool
}

// New returns a Demand without cells. Equal seeds give equal samples of cells.
func New(seed uint64) *Demand {
	return &Demand{
		random: rand.New(rand.NewPCG(seed, 0)),
		cells:  map[string]*cell{},
		flows:  map[rwqueue.FlowKey]*flow{},
		dirty:  map[rwqueue.FlowKey]struct{}{},
	}
}

// SetCells replaces the cells.
func (d *Demand) SetCells(targets []Target) {
	next := make(map[string]*cell, len(targets))
	for _, t := range targets {
		c := d.cells[t.Name]
		if c == nil || c.Owner != t.Owner {
			c = &cell{ownerCount: map[rwqueue.FlowKey]int{}, needsSync: true}
		}
		c.Target = t
		next[t.Name] = c
	}
	d.cells = next
	for k, f := range d.flows {
		f.declaredAt = nil
		d.dirty[k] = struct{}{}
	}
}

// Resync makes Due send the full state to the cell's owner again.
func (d *Demand) Resync(name string) {
	c := d.cells[name]
	if c == nil {
		return
	}
	c.needsSync = true
	clear(c.ownerCount)
	for k := range d.flows {
		d.dirty[k] = struct{}{}
	}
}

// SetFlow sets the backlog of a flow and the mean cost hint of its requests.
func (d *Demand) SetFlow(now time.Time, k rwqueue.FlowKey, pool string, count int, hint float64) {
	f := d.flows[k]
	if f == nil {
		if count == 0 {
			return
		}
		f = &flow{}
		d.flows[k] = f
	}
	if f.pool != pool {
		f.declaredAt = nil
	}
	if f.count == 0 && count > 0 {
		f.widenAt = now.Add(widenDelay)
		f.declaredAt = nil
		f.widened = false
	}
	f.pool, f.count, f.hint = pool, count, hint
	d.dirty[k] = struct{}{}
}

// Granted records a grant of the cell: its owner lowered its count of waiting
// requests by one.
func (d *Demand) Granted(name string, k rwqueue.FlowKey) {
	c := d.cells[name]
	if c == nil {
		return
	}
	if c.ownerCount[k] > 1 {
		c.ownerCount[k]--
	} else {
		delete(c.ownerCount, k)
	}
	d.dirty[k] = struct{}{}
}

// NextDue returns when Due has to be called even if nothing changes; zero for
// never.
func (d *Demand) NextDue() time.Time {
	next := time.Time{}
	for _, c := range d.cells {
		if !c.deferredUntil.IsZero() {
			next = earlier(next, c.deferredUntil)
		}
	}
	for _, f := range d.flows {
		if f.count == 0 {
			continue
		}
		next = earlier(next, d.refresh)
		if !f.widened {
			next = earlier(next, f.widenAt)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Due returns the messages that have to be sent now, by cell. pending reports
// whether another message to the cell is sent now; deferred changes are then
// sent with it. The message to a cell in synced replaces the state that its
// owner holds of this router.
func (d *Demand) Due(now time.Time, pending func(cell string) bool) (messages map[string]*rwslotmessage.Message, synced []string) {
	messages = map[string]*rwslotmessage.Message{}
	d.widenAndRefresh(now)
	changes := make([]change, 0, len(d.dirty))
	for k, f := range d.flows {
		if _, ok := d.dirty[k]; ok {
			changes = d.appendChanges(changes, k, f)
		}
	}
	urgent := map[*cell]bool{}
	for _, x := range changes {
		c := x.cell
		urgent[c] = urgent[c] || c.needsSync || x.urgent() || pending(c.Name) || !c.deferredUntil.IsZero() && !now.Before(c.deferredUntil)
	}
	clear(d.dirty)
	for _, x := range changes {
		if urgent[x.cell] {
			x.declare(messages)
			continue
		}
		d.dirty[x.key] = struct{}{}
		if x.cell.deferredUntil.IsZero() {
			x.cell.deferredUntil = now.Add(deferDelay)
		}
	}
	for c := range urgent {
		if urgent[c] {
			c.deferredUntil = time.Time{}
		}
	}
	d.prune()
	for name, c := range d.cells {
		if !c.needsSync {
			continue
		}
		c.needsSync = false
		synced = append(synced, name)
		if messages[name] == nil {
			messages[name] = &rwslotmessage.Message{Cell: name}
		}
	}
	for _, m := range messages {
		slices.SortFunc(m.Backlogs, func(a, b rwbacklog.Backlog) int {
			return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
		})
	}
	return messages, synced
}

// widenAndRefresh marks the flows that have to be reported to other zones or
// reported again.
func (d *Demand) widenAndRefresh(now time.Time) {
	refresh := !now.Before(d.refresh)
	if refresh {
		d.refresh = now.Add(refreshInterval)
	}
	for k, f := range d.flows {
		if f.count == 0 {
			continue
		}
		if !f.widened && !now.Before(f.widenAt) {
			f.widened, f.declaredAt = true, nil
			d.dirty[k] = struct{}{}
		}
		if refresh {
			d.redeclare(k, f)
		}
	}
}

// redeclare causes the backlog of a flow to be reported again, to a new sample
// of cells.
func (d *Demand) redeclare(k rwqueue.FlowKey, f *flow) {
	for _, name := range f.declaredAt {
		if c := d.cells[name]; c != nil && c.ownerCount[k] > 0 {
			c.ownerCount[k] = -1
		}
	}
	f.declaredAt = nil
	d.dirty[k] = struct{}{}
}

// change is a backlog that has to be reported to the owner of a cell.
type change struct {
	cell  *cell
	key   rwqueue.FlowKey
	count int
	hint  float64
}

// urgent reports whether a free slot may stay idle until the owner receives the
// change.
func (x change) urgent() bool { return x.cell.ownerCount[x.key] <= 0 && x.count > 0 }

// declare adds the change to the message to its cell.
func (x change) declare(messages map[string]*rwslotmessage.Message) {
	m := messages[x.cell.Name]
	if m == nil {
		m = &rwslotmessage.Message{Cell: x.cell.Name}
		messages[x.cell.Name] = m
	}
	m.Backlogs = append(m.Backlogs, rwbacklog.Backlog{
		Account: x.key.Account, Kind: x.key.Kind, Count: x.count, Hint: math.Round(x.hint),
	})
	if x.count == 0 {
		delete(x.cell.ownerCount, x.key)
	} else {
		x.cell.ownerCount[x.key] = x.count
	}
}

// appendChanges appends the cells whose owners need an update about the flow.
func (d *Demand) appendChanges(list []change, k rwqueue.FlowKey, f *flow) []change {
	if f.declaredAt == nil && f.count > 0 {
		f.declaredAt = d.chooseCells(f)
	}
	for name, c := range d.cells {
		count := 0
		if f.count > 0 && slices.Contains(f.declaredAt, name) {
			count = min(f.count, MaxDeclared)
		}
		if needsUpdate(c.ownerCount[k], count) {
			list = append(list, change{c, k, count, f.hint})
		}
	}
	return list
}

// prune removes empty flows of which no owner needs an update.
func (d *Demand) prune() {
	for k, f := range d.flows {
		if _, ok := d.dirty[k]; f.count == 0 && !ok {
			delete(d.flows, k)
		}
	}
}

// needsUpdate reports whether a new count has to be sent to an owner that holds
// another one. Small differences are ignored: a grant for which no request
// waits is returned, and a count that is too low is corrected at the latest when
// it reaches zero. An increase needs both a factor of two and a minimum
// difference: with the factor alone, counts between 1 and 4 caused four messages
// for each grant on a saturated fleet. A decrease needs the minimum difference.
func needsUpdate(ownerCount, count int) bool {
	switch {
	case ownerCount < 0:
		return true
	case ownerCount == 0 || count == 0:
		return ownerCount != count
	default:
		return ownerCount*2 <= count && count-ownerCount >= MaxDeclared/2 || ownerCount-count >= MaxDeclared/2
	}
}

// chooseCells returns the cells to report the backlog of a flow to: those of the
// router's own zone and, once the flow is widened or if the zone has none, all
// cells or a sample of those in other zones.
func (d *Demand) chooseCells(f *flow) []string {
	var local, remote []string
	for name, c := range d.cells {
		switch {
		case !slices.Contains(c.Pools, f.pool):
		case c.SameZone:
			local = append(local, name)
		default:
			remote = append(remote, name)
		}
	}
	if len(local) > 0 && !f.widened {
		return local
	}
	if len(local)+len(remote) <= maxCellsWithoutSampling {
		return append(local, remote...)
	}
	slices.Sort(remote)
	d.random.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	// With fewer than half of the cells, an account whose requests enter at one
	// router can't reach its share of the pool, since each cell limits it to
	// twice its fair share there.
	n := max(minRemoteCells, (len(local)+len(remote)+1)/2-len(local))
	return append(local, remote[:min(n, len(remote))]...)
}
