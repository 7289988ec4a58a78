// Package rwowner is the owner side of the fleet policy: it runs the scheduler
// of each cell that this router owns.
package rwowner

import (
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwsched"
	"redwingworks.example/internal/rwschedview"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwupstream"
	"redwingworks.example/internal/rwusage"
)

const (
	// settle is how long a new owner waits at most for the running grants of
	// all live routers before it grants, so that it doesn't fill slots that
	// are in use.
	settle = 300 * time.Millisecond
	// reportInterval is the time between reports of a cell to the others of
	// its group.
	reportInterval = 250 * time.Millisecond
	// maxReportInterval is the interval for which the bound on the gap is
	// worked out: reports of 16 accounts to two other cells take that long
	// within the budget.
	maxReportInterval = 1200 * time.Millisecond
	measureInterval   = 2 * time.Second
	// tokenTarget is the time between tokens that users were promised for 95
	// in 100.
	tokenTarget = 60 * time.Millisecond
	// checkInterval is the age at which an unfinished grant is checked.
	checkInterval = 5 * time.Second
	// reportBudget bounds the bytes of reports of one cell. With many
	// backlogged accounts or cells the interval stretches instead.
	reportBudget = 900.0 // bytes a second
	// totalBytes is about the size of one encoded total, messageBytes that of
	// a message around them.
	totalBytes   = 24.0
	messageBytes = 120.0
)

// Owner runs the schedulers of the cells of one router. Its function fields are
// set before the first Update.
type Owner struct {
	// Send sends a message to a router without waiting.
	Send func(to rwidentity.Identity, method string, m *rwslotmessage.Message)
	// OnUpstreamFailure is told of an upstream that could not be reached or refused a
	// request; the scheduler gives it no grants for a while. It may be nil.
	OnUpstreamFailure func(upstream string, code rwcode.Code)

	self rwidentity.Identity

	mu      sync.Mutex
	cells   map[string]*owned
	entries map[string]rwidentity.Identity
	// owners are the routers that own other cells, by cell.
	owners map[string]rwidentity.Identity
	groups map[string][]string
	// group is the group of each cell.
	group map[string]string
	// live are the live routers, lost those that were live before.
	live, lost map[string]bool
}

type owned struct {
	cell  rwcell.Cell
	sched *rwsched.Scheduler
	inc   int64
	// settled is when the first grant may be made: when no router is awaited
	// any more, or after the longest wait.
	settled time.Time
	// awaited are the live routers whose running grants are not known yet.
	awaited map[string]bool
	// report is when the next report is due.
	report time.Time
	// issued are the grants that are out.
	issued map[uint64]issue
	// total is the cost charged until measured, rate the cost per second of
	// the whole pool, worked out from this cell's part.
	total, rate float64
	measured    time.Time
	groupSlots  int
}

// issue is a grant whose entry has not said that it is done.
type issue struct {
	entry, upstream string
	// check is when the entry is asked whether the grant is still running.
	check time.Time
}

// New returns an owner of no cells.
func New(self rwidentity.Identity) *Owner {
	return &Owner{
		self:    self,
		cells:   map[string]*owned{},
		entries: map[string]rwidentity.Identity{},
		owners:  map[string]rwidentity.Identity{},
		groups:  map[string][]string{},
		live:    map[string]bool{},
		lost:    map[string]bool{},
	}
}

type outgoing struct {
	to     rwidentity.Identity
	method string
	m      *rwslotmessage.Message
}

func (o *Owner) send(list []outgoing) {
	for _, e := range list {
		o.Send(e.to, e.method, e.m)
	}
}

// Update takes in a change of the configuration or of the live routers and
// returns the names of the cells that were taken and released.
func (o *Owner) Update(now time.Time, view *rwsnapshot.Snapshot, cells []rwcell.Cell, live []rwidentity.Identity) (taken, released []string) {
	o.mu.Lock()
	o.forget(now, live)
	rejoined := o.noteLive(live)
	before := o.owners
	o.groups = map[string][]string{}
	o.owners = map[string]rwidentity.Identity{}
	o.group = map[string]string{}
	mine := map[string]bool{}
	owners := rwcell.AssignOwners(cells, live)
	for _, c := range cells {
		r, ok := owners[c.Name]
		if !ok {
			continue
		}
		o.group[c.Name] = c.Group
		o.groups[c.Group] = append(o.groups[c.Group], c.Name)
		if r.Name != o.self.Name {
			o.owners[c.Name] = r
			continue
		}
		mine[c.Name] = true
		if o.cells[c.Name] == nil {
			o.cells[c.Name] = o.take(now, c, live)
			taken = append(taken, c.Name)
		}
		o.cells[c.Name].cell = c
	}
	for name := range o.cells {
		if !mine[name] {
			delete(o.cells, name)
			released = append(released, name)
		}
	}
	slots := groupSlots(cells)
	for _, c := range o.cells {
		c.configure(view, slots[c.cell.Group])
	}
	o.refresh(now, rejoined, before)
	out := announce(taken, live)
	out = append(out, o.pump(now)...)
	o.mu.Unlock()
	o.send(out)
	return taken, released
}

// noteLive takes the live routers and reports whether one of them was lost and
// came back with its memory.
func (o *Owner) noteLive(live []rwidentity.Identity) bool {
	now, rejoined := map[string]bool{}, false
	for _, r := range live {
		k := rwcell.IncarnationKey(r)
		now[k] = true
		rejoined = rejoined || o.lost[k]
		delete(o.lost, k)
	}
	for k := range o.live {
		if !now[k] {
			o.lost[k] = true
		}
	}
	o.live = now
	return rejoined
}

// refresh makes the next reports complete where another cell of the group has
// a new owner, which knows nothing of the accounts, or where a link came back.
func (o *Owner) refresh(now time.Time, rejoined bool, before map[string]rwidentity.Identity) {
	changed := map[string]bool{}
	for name, r := range o.owners {
		if before[name] != r {
			changed[o.group[name]] = true
		}
	}
	for _, c := range o.cells {
		switch {
		case rejoined:
			c.sched.PeersReconnected(now)
		case changed[c.cell.Group]:
			c.sched.ReportAll()
		}
	}
}

// ReleaseAll releases all cells. Update takes them again if they are still this
// router's.
func (o *Owner) ReleaseAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.cells)
}

func groupSlots(cells []rwcell.Cell) map[string]int {
	slots := map[string]int{}
	for _, c := range cells {
		slots[c.Group] += c.TotalWindow()
	}
	return slots
}

func announce(taken []string, live []rwidentity.Identity) []outgoing {
	var out []outgoing
	for _, name := range taken {
		for _, r := range live {
			out = append(out, outgoing{r, rwslotmessage.Owner, &rwslotmessage.Message{Cell: name}})
		}
	}
	return out
}

func (o *Owner) take(now time.Time, c rwcell.Cell, live []rwidentity.Identity) *owned {
	inc := now.UnixMicro()
	awaited := map[string]bool{}
	for _, r := range live {
		awaited[r.Name] = true
	}
	return &owned{
		cell:    c,
		sched:   rwsched.New(c.Name, inc),
		inc:     inc,
		settled: now.Add(settle),
		awaited: awaited,
		report:  now.Add(reportInterval),
		issued:  map[uint64]issue{},
	}
}

// forget drops entries that are no longer live or have started again.
func (o *Owner) forget(now time.Time, live []rwidentity.Identity) {
	for name, known := range o.entries {
		if slices.ContainsFunc(live, func(r rwidentity.Identity) bool {
			return r.Name == name && r.Inc == known.Inc
		}) {
			continue
		}
		o.drop(now, name)
	}
}

func (o *Owner) drop(now time.Time, entry string) {
	delete(o.entries, entry)
	for _, c := range o.cells {
		c.dropEntry(now, entry)
	}
}

func (c *owned) dropEntry(now time.Time, entry string) {
	c.sched.DropEntry(now, entry)
	for id, i := range c.issued {
		if i.entry == entry {
			delete(c.issued, id)
		}
	}
}

func (c *owned) configure(view *rwsnapshot.Snapshot, groupSlots int) {
	known := c.sched.View()
	for _, u := range known.Upstreams {
		if !slices.ContainsFunc(c.cell.Upstreams, func(v rwupstream.Upstream) bool { return v.Name == u.Name }) {
			c.sched.RemoveUpstream(u.Name)
		}
	}
	for _, u := range c.cell.Upstreams {
		if u.Engine {
			c.sched.SetEngine(u.Name, u.Window, tokenTarget)
		} else {
			c.sched.SetUpstream(u.Name, u.Window)
		}
	}
	for _, a := range known.Accounts {
		if _, ok := view.Account(a.Name); !ok {
			c.sched.RemoveAccount(a.Name)
		}
	}
	for _, a := range view.Accounts() {
		c.sched.SetAccount(a.Name, a.Weight)
	}
	for _, k := range view.Kinds() {
		c.sched.SetKind(k.Name, k.Urgency)
	}
	c.groupSlots = groupSlots
	c.sched.SetPool(groupSlots, c.rate, maxReportInterval)
}

// measure works out the pool's cost rate from what this cell charged.
func (c *owned) measure(now time.Time) {
	if now.Before(c.measured.Add(measureInterval)) {
		return
	}
	total := c.sched.TotalCharged()
	if own := c.cell.TotalWindow(); !c.measured.IsZero() && own > 0 {
		c.rate = (total - c.total) / now.Sub(c.measured).Seconds() * float64(c.groupSlots) / float64(own)
		c.sched.SetPool(c.groupSlots, c.rate, maxReportInterval)
	}
	c.total, c.measured = total, now
}

// HandleWant takes levels and costs from an entry.
func (o *Owner) HandleWant(now time.Time, from rwidentity.Identity, m *rwslotmessage.Message) {
	o.receive(now, from, m, func(c *owned) {
		for _, s := range m.Done {
			o.done(now, c, s)
		}
		for _, s := range m.Usage {
			c.sched.UpdateCost(now, s.ID, s.Cost)
		}
	})
}

// HandleSync replaces all that is known of an entry in a cell.
func (o *Owner) HandleSync(now time.Time, from rwidentity.Identity, m *rwslotmessage.Message) {
	o.receive(now, from, m, func(c *owned) {
		c.settle(now, from.Name)
		c.dropEntry(now, from.Name)
		for _, g := range m.Running {
			g.Cell, g.Entry = m.Cell, from.Name
			c.issued[g.ID] = issue{from.Name, g.Upstream, now.Add(checkInterval)}
			c.sched.Restore(now, g)
		}
	})
}

// receive applies an entry's message to the cell that it names, sets the
// entry's levels and sends the grants that became possible. A message about a
// cell that this router doesn't own is lost: its owner asks for a sync.
func (o *Owner) receive(now time.Time, from rwidentity.Identity, m *rwslotmessage.Message, apply func(*owned)) {
	o.mu.Lock()
	c := o.cells[m.Cell]
	if c == nil {
		o.mu.Unlock()
		return
	}
	o.admit(now, from)
	apply(c)
	for _, l := range m.Backlogs {
		c.sched.SetBacklog(now, from.Name, l.Account, l.Kind, l.Count, l.Hint)
	}
	out := c.pump(now, o.entries)
	o.mu.Unlock()
	o.send(out)
}

func (o *Owner) done(now time.Time, c *owned, s rwusage.Usage) {
	if o.OnUpstreamFailure != nil && (s.Code == rwcode.UpstreamUnreachable || s.Code == rwcode.UpstreamRefused) {
		o.OnUpstreamFailure(c.issued[s.ID].upstream, s.Code)
	}
	delete(c.issued, s.ID)
	c.sched.Finish(now, s.ID, s.Cost, s.First, s.Total, s.Code)
}

func (c *owned) settle(now time.Time, entry string) {
	delete(c.awaited, entry)
	if len(c.awaited) == 0 && now.Before(c.settled) {
		c.settled = now
	}
}

// admit notes an entry; a new incarnation has none of the grants of the old.
func (o *Owner) admit(now time.Time, from rwidentity.Identity) {
	if known, ok := o.entries[from.Name]; ok && known.Inc != from.Inc {
		if known.Inc > from.Inc {
			return
		}
		o.drop(now, from.Name)
	}
	o.entries[from.Name] = from
}

// HandleReport takes the totals of another cell of the group.
func (o *Owner) HandleReport(now time.Time, m *rwslotmessage.Message) {
	o.mu.Lock()
	group := o.group[m.Cell]
	var out []outgoing
	for _, c := range o.cells {
		if c.cell.Group == group && c.cell.Name != m.Cell {
			c.sched.MergeTotals(m.Cell, m.Incarnation, m.Totals)
			out = append(out, c.pump(now, o.entries)...)
		}
	}
	o.mu.Unlock()
	o.send(out)
}

// Tick makes grants that have become possible with time and sends reports.
func (o *Owner) Tick(now time.Time) {
	o.mu.Lock()
	out := o.pump(now)
	for _, c := range o.cells {
		c.measure(now)
		out = append(out, c.check(now, o.entries)...)
		if !now.Before(c.report) {
			out = append(out, o.reportOf(now, c)...)
		}
	}
	o.mu.Unlock()
	o.send(out)
}

func (o *Owner) pump(now time.Time) []outgoing {
	var out []outgoing
	for _, c := range o.cells {
		out = append(out, c.pump(now, o.entries)...)
	}
	return out
}

func (c *owned) pump(now time.Time, entries map[string]rwidentity.Identity) []outgoing {
	if now.Before(c.settled) {
		return nil
	}
	batch := batch{cell: c.cell.Name, method: rwslotmessage.Grant, entries: entries}
	for {
		g, ok := c.sched.Next(now)
		if !ok {
			return batch.out
		}
		m := batch.message(g.Entry)
		m.Grants = append(m.Grants, g)
		c.issued[g.ID] = issue{g.Entry, g.Upstream, now.Add(checkInterval)}
	}
}

// check asks entries about grants that have been out for long. A grant or its
// end that was lost with a connection would otherwise hold its slot for ever.
func (c *owned) check(now time.Time, entries map[string]rwidentity.Identity) []outgoing {
	batch := batch{cell: c.cell.Name, method: rwslotmessage.Check, entries: entries}
	for id, i := range c.issued {
		if now.Before(i.check) {
			continue
		}
		c.issued[id] = issue{i.entry, i.upstream, now.Add(checkInterval)}
		m := batch.message(i.entry)
		m.IDs = append(m.IDs, id)
	}
	return batch.out
}

// batch collects the messages of one cell, one for each entry.
type batch struct {
	cell, method string
	entries      map[string]rwidentity.Identity
	byEntry      map[string]*rwslotmessage.Message
	out          []outgoing
}

func (b *batch) message(entry string) *rwslotmessage.Message {
	m := b.byEntry[entry]
	if m != nil {
		return m
	}
	if b.byEntry == nil {
		b.byEntry = map[string]*rwslotmessage.Message{}
	}
	m = &rwslotmessage.Message{Cell: b.cell}
	b.byEntry[entry] = m
	b.out = append(b.out, outgoing{b.entries[entry], b.method, m})
	return m
}

// reportOf sends the changed totals of a cell to the owners of the other cells
// of its group, each owner once, and sets the time of the next report by the
// bytes that this one took.
func (o *Owner) reportOf(now time.Time, c *owned) []outgoing {
	c.report = now.Add(reportInterval)
	totals := c.sched.Report(nil)
	if len(totals) == 0 {
		return nil
	}
	m := &rwslotmessage.Message{Cell: c.cell.Name, Incarnation: c.inc, Totals: totals}
	var to []rwidentity.Identity
	var out []outgoing
	for _, name := range o.groups[c.cell.Group] {
		if other := o.cells[name]; other != nil {
			if other != c {
				other.sched.MergeTotals(c.cell.Name, c.inc, totals)
			}
			continue
		}
		r := o.owners[name]
		if !slices.ContainsFunc(to, func(x rwidentity.Identity) bool { return x.Name == r.Name }) {
			to = append(to, r)
			out = append(out, outgoing{r, rwslotmessage.Report, m})
		}
	}
	bytes := float64(len(to)) * (messageBytes + totalBytes*float64(len(totals)))
	stretched := time.Duration(bytes / reportBudget * float64(time.Second))
	c.report = now.Add(max(reportInterval, stretched))
	return out
}

// OwnedCells returns the names of the cells that this router owns.
func (o *Owner) OwnedCells() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for n := range o.cells {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Views returns the state of each owned cell for operators.
func (o *Owner) Views() map[string]rwschedview.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]rwschedview.View, len(o.cells))
	for n, c := range o.cells {
		out[n] = c.sched.View()
	}
	return out
}
