// Package rwdemand decides which levels an entry declares at which cells. It
// keeps what each owner knows and sends a level only when the difference
// matters, so that messages follow the rate of grants and not the arrivals.
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
	// MaxDeclared is the highest level that is declared. A flood can't raise the
	// number of messages beyond it.
	MaxDeclared = 8
	// spreadAfter is how long a request waits for its own zone before other
	// zones are asked.
	spreadAfter = 5 * time.Millisecond
	// refreshInterval is how often waiting levels are repeated, since
	// messages may be lost.
	refreshInterval = 5 * time.Second
	// lazyDelay is how long a change waits for another message to the same
	// cell when the owner already knows of waiting work. Messages about every
	// change took half of the control budget in a flood.
	lazyDelay = 50 * time.Millisecond
	// maxAll is the number of cells of a pool up to which all are asked, and
	// sample how many distant ones are asked otherwise.
	maxAll = 4
	sample = 3
)

// Demand keeps what owners know about the waiting work of one entry. It is not
// safe for concurrent use.
type Demand struct {
	random *rand.Rand
	cells  map[string]*cell
	lines  map[rwqueue.FlowKey]*line
	dirty  map[rwqueue.FlowKey]struct{}
	// refresh is when all waiting levels are declared again.
	refresh time.Time
}

type cell struct {
	Target
	// known is what the owner believes to be waiting.
	known map[rwqueue.FlowKey]int
	// sync is whether the owner has to be told everything.
	sync bool
	// lazy is when changes that can wait are sent; zero for none.
	lazy time.Time
}

type line struct {
	pool  string
	count int
	hint  float64
	// spread is when the line goes to other zones; zero while nothing waits.
	spread time.Time
	// chosen are the cells where the line is declared.
	chosen []string
	// wide is whether chosen includes other zones.
	wide bool
}

// Target is a cell as an entry sees it.
type Target struct {
	Name  string
	Pools []string
	// Owner identifies the owner's incarnation; a change makes the entry
	// tell it everything.
	Owner string
	// SameZone is whether the cell is in the entry's zone.
	SameZone bool
}

// New returns a demand without cells. Equal seeds give equal choices.
func New(seed uint64) *Demand {
	return &Demand{
		random: rand.New(rand.NewPCG(seed, 0)),
		cells:  map[string]*cell{},
		lines:  map[rwqueue.FlowKey]*line{},
		dirty:  map[rwqueue.FlowKey]struct{}{},
	}
}

// SetCells replaces the cells that can be reached.
func (d *Demand) SetCells(targets []Target) {
	next := make(map[string]*cell, len(targets))
	for _, t := range targets {
		c := d.cells[t.Name]
		if c == nil || c.Owner != t.Owner {
			c = &cell{known: map[rwqueue.FlowKey]int{}, sync: true}
		}
		c.Target = t
		next[t.Name] = c
	}
	d.cells = next
	for k, l := range d.lines {
		l.chosen = nil
		d.dirty[k] = struct{}{}
	}
}

// Resync makes the entry tell the cell's owner everything again.
func (d *Demand) Resync(name string) {
	c := d.cells[name]
	if c == nil {
		return
	}
	c.sync = true
	clear(c.known)
	for k := range d.lines {
		d.dirty[k] = struct{}{}
	}
}

// SetFlow sets how much is waiting.
func (d *Demand) SetFlow(now time.Time, k rwqueue.FlowKey, pool string, count int, hint float64) {
	l := d.lines[k]
	if l == nil {
		if count == 0 {
			return
		}
		l = &line{}
		d.lines[k] = l
	}
	if l.pool != pool {
		l.chosen = nil
	}
	if l.count == 0 && count > 0 {
		l.spread = now.Add(spreadAfter)
		l.chosen = nil
		l.wide = false
	}
	l.pool, l.count, l.hint = pool, count, hint
	d.dirty[k] = struct{}{}
}

// Granted takes note of a grant: its owner now believes in one less.
func (d *Demand) Granted(name string, k rwqueue.FlowKey) {
	c := d.cells[name]
	if c == nil {
		return
	}
	if c.known[k] > 1 {
		c.known[k]--
	} else {
		delete(c.known, k)
	}
	d.dirty[k] = struct{}{}
}

// NextDue returns when Due has to be called although nothing changed; zero for
// never.
func (d *Demand) NextDue() time.Time {
	next := time.Time{}
	for _, c := range d.cells {
		if !c.lazy.IsZero() {
			next = earlier(next, c.lazy)
		}
	}
	for _, l := range d.lines {
		if l.count == 0 {
			continue
		}
		next = earlier(next, d.refresh)
		if !l.wide {
			next = earlier(next, l.spread)
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

// Due returns the messages that have to be sent now, by cell. The reports of
// going say whether a message goes to the cell in any case, which then takes
// along changes that could wait. A message of a cell in synced replaces
// everything that its owner knew.
func (d *Demand) Due(now time.Time, going func(cell string) bool) (messages map[string]*rwslotmessage.Message, synced []string) {
	messages = map[string]*rwslotmessage.Message{}
	d.widen(now)
	changes := make([]change, 0, len(d.dirty))
	for k, l := range d.lines {
		if _, ok := d.dirty[k]; ok {
			changes = d.changes(changes, k, l)
		}
	}
	urgent := map[*cell]bool{}
	for _, x := range changes {
		c := x.cell
		urgent[c] = urgent[c] || c.sync || x.urgent() || going(c.Name) || !c.lazy.IsZero() && !now.Before(c.lazy)
	}
	clear(d.dirty)
	for _, x := range changes {
		if urgent[x.cell] {
			x.declare(messages)
			continue
		}
		d.dirty[x.key] = struct{}{}
		if x.cell.lazy.IsZero() {
			x.cell.lazy = now.Add(lazyDelay)
		}
	}
	for c := range urgent {
		if urgent[c] {
			c.lazy = time.Time{}
		}
	}
	d.prune()
	for name, c := range d.cells {
		if !c.sync {
			continue
		}
		c.sync = false
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

func (d *Demand) widen(now time.Time) {
	refresh := !now.Before(d.refresh)
	if refresh {
		d.refresh = now.Add(refreshInterval)
	}
	for k, l := range d.lines {
		if l.count == 0 {
			continue
		}
		if !l.wide && !now.Before(l.spread) {
			l.wide, l.chosen = true, nil
			d.dirty[k] = struct{}{}
		}
		if refresh {
			d.forget(k, l)
		}
	}
}

// forget makes the line be declared again everywhere, at a new draw of cells.
func (d *Demand) forget(k rwqueue.FlowKey, l *line) {
	for _, name := range l.chosen {
		if c := d.cells[name]; c != nil && c.known[k] > 0 {
			c.known[k] = -1
		}
	}
	l.chosen = nil
	d.dirty[k] = struct{}{}
}

// change is a level that the owner of a cell doesn't know yet.
type change struct {
	cell  *cell
	key   rwqueue.FlowKey
	level int
	hint  float64
}

// urgent reports whether a free slot may be idle until the owner knows.
func (x change) urgent() bool { return x.cell.known[x.key] <= 0 && x.level > 0 }

func (x change) declare(messages map[string]*rwslotmessage.Message) {
	m := messages[x.cell.Name]
	if m == nil {
		m = &rwslotmessage.Message{Cell: x.cell.Name}
		messages[x.cell.Name] = m
	}
	m.Backlogs = append(m.Backlogs, rwbacklog.Backlog{
		Account: x.key.Account, Kind: x.key.Kind, Count: x.level, Hint: math.Round(x.hint),
	})
	if x.level == 0 {
		delete(x.cell.known, x.key)
	} else {
		x.cell.known[x.key] = x.level
	}
}

func (d *Demand) changes(list []change, k rwqueue.FlowKey, l *line) []change {
	if l.chosen == nil && l.count > 0 {
		l.chosen = d.choose(l)
	}
	for name, c := range d.cells {
		level := 0
		if l.count > 0 && slices.Contains(l.chosen, name) {
			level = min(l.count, MaxDeclared)
		}
		if differs(c.known[k], level) {
			list = append(list, change{c, k, level, l.hint})
		}
	}
	return list
}

// prune forgets lines with no work that all owners know to be empty.
func (d *Demand) prune() {
	for k, l := range d.lines {
		if _, ok := d.dirty[k]; l.count == 0 && !ok {
			delete(d.lines, k)
		}
	}
}

// differs reports whether the owner has to be told. Small differences are left
// alone: a grant that finds nothing waiting is returned, and a level that is
// too low is corrected before it runs out. With a factor of two alone, counts
// between 1 and 4 made four messages for each grant on a saturated fleet.
func differs(known, level int) bool {
	switch {
	case known < 0:
		return true
	case known == 0 || level == 0:
		return known != level
	default:
		return known*2 <= level && level-known >= MaxDeclared/2 || known-level >= MaxDeclared/2
	}
}

func (d *Demand) choose(l *line) []string {
	var near, far []string
	for name, c := range d.cells {
		switch {
		case !slices.Contains(c.Pools, l.pool):
		case c.SameZone:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	if len(near) > 0 && !l.wide {
		return near
	}
	if len(near)+len(far) <= maxAll {
		return append(near, far...)
	}
	slices.Sort(far)
	d.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	// With fewer than half of the cells an account at one entry can't reach its
	// share of the pool: the cap of twice the fair share of a cell stops it.
	draw := max(sample, (len(near)+len(far)+1)/2-len(near))
	return append(near, far[:min(draw, len(far))]...)
}
