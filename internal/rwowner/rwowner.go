// Package rwowner is the owner side of the fleet policy: it runs the schedulers
// of the cells that this router owns.
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
	// settleTimeout is the longest time for which a new owner waits for the
	// running grants of all live routers before it grants. Without the wait it
	// would grant slots that are in use.
	settleTimeout = 300 * time.Millisecond
	// reportInterval is the shortest time between reports of a cell to the
	// other cells of its group.
	reportInterval = 250 * time.Millisecond
	// maxReportInterval is the report interval for which the gap bound is
	// computed. Within reportBudget, reports of 16 accounts to two other owners
	// take that long.
	maxReportInterval = 1200 * time.Millisecond
	// measureInterval is the time between measurements of the cost rate.
	measureInterval = 2 * time.Second
	// tokenTarget is the target for the time between tokens, which 95% of
	// requests must meet.
	tokenTarget = 60 * time.Millisecond
	// checkInterval is the age at which the entry router of an unfinished grant
	// is asked about it.
	checkInterval = 5 * time.Second
	// reportBudget bounds the reports of one cell, in bytes per second. With
	// many accounts in a report or many other owners the report interval grows
	// instead.
	reportBudget = 900.0
	// totalBytes is the approximate encoded size of one total, messageBytes
	// that of the message around the totals.
	totalBytes   = 24.0
	messageBytes = 120.0
)

// Owner runs the schedulers of the cells that one router owns. Its function
// fields must be set before the first Update.
type Owner struct {
	// Send sends a message to a router. It must not block.
	Send func(to rwidentity.Identity, method string, m *rwslotmessage.Message)
	// OnUpstreamFailure is called when an upstream can't be reached or refuses
	// a request. The scheduler then backs off from it. It may be nil.
	OnUpstreamFailure func(upstream string, code rwcode.Code)
	// Leaving returns the other routers that are leaving but still serve the
	// requests that they have accepted. It may be nil.
	Leaving func() []rwidentity.Identity

	self rwidentity.Identity

	mu      sync.Mutex
	cells   map[string]*ownedCell
	entries map[string]rwidentity.Identity
	// otherOwners holds the routers that own other cells, by cell.
	otherOwners map[string]rwidentity.Identity
	// groupCells holds the cells of each group, groupOf the group of each cell.
	groupCells map[string][]string
	groupOf    map[string]string
	// live holds the live routers, lost those that were live before, by
	// rwcell.IncarnationKey.
	live, lost map[string]bool
}

type ownedCell struct {
	cell        rwcell.Cell
	sched       *rwsched.Scheduler
	incarnation int64
	// grantsFrom is when the first grant may be made: when the running grants
	// of all live routers are known, or after settleTimeout.
	grantsFrom time.Time
	// awaitingSync holds the live routers whose running grants are not known.
	awaitingSync map[string]bool
	// nextReport is when the next report is due.
	nextReport time.Time
	// outstanding holds the unfinished grants by identifier.
	outstanding map[uint64]outstandingGrant
	// lastCharged is the cost charged until lastMeasured, poolRate the cost per
	// second of all cells of the group, extrapolated from this cell's slots.
	lastCharged, poolRate float64
	lastMeasured          time.Time
	groupSlots            int
}

// outstandingGrant is a grant whose end the entry router has not reported.
type outstandingGrant struct {
	entry, upstream string
	// checkAt is when the entry router is asked whether the grant is still
	// running.
	checkAt time.Time
}

// New returns an owner of no cells.
func New(self rwidentity.Identity) *Owner {
	return &Owner{
		self:        self,
		cells:       map[string]*ownedCell{},
		entries:     map[string]rwidentity.Identity{},
		otherOwners: map[string]rwidentity.Identity{},
		groupCells:  map[string][]string{},
		live:        map[string]bool{},
		lost:        map[string]bool{},
	}
}

type outgoingMessage struct {
	to      rwidentity.Identity
	method  string
	message *rwslotmessage.Message
}

func (o *Owner) send(list []outgoingMessage) {
	for _, e := range list {
		o.Send(e.to, e.method, e.message)
	}
}

// withLeaving returns the live routers and the leaving ones.
func (o *Owner) withLeaving(live []rwidentity.Identity) []rwidentity.Identity {
	if o.Leaving == nil {
		return live
	}
	present := slices.Clone(live)
	for _, r := range o.Leaving() {
		// A router that has just begun to leave may be in both.
		if !slices.Contains(live, r) {
			present = append(present, r)
		}
	}
	return present
}

// Update applies a change of the configuration, of the live routers or of those
// that Leaving returns, and returns the names of the cells that this router took
// and released.
func (o *Owner) Update(now time.Time, view *rwsnapshot.Snapshot, cells []rwcell.Cell, live []rwidentity.Identity) (taken, released []string) {
	present := o.withLeaving(live)
	o.mu.Lock()
	o.dropStaleEntries(now, present)
	rejoined := o.updateLive(live)
	before := o.otherOwners
	o.groupCells = map[string][]string{}
	o.otherOwners = map[string]rwidentity.Identity{}
	o.groupOf = map[string]string{}
	owned := map[string]bool{}
	owners := rwcell.AssignOwners(cells, live)
	for _, c := range cells {
		r, ok := owners[c.Name]
		if !ok {
			continue
		}
		o.groupOf[c.Name] = c.Group
		o.groupCells[c.Group] = append(o.groupCells[c.Group], c.Name)
		if r.Name != o.self.Name {
			o.otherOwners[c.Name] = r
			continue
		}
		owned[c.Name] = true
		if o.cells[c.Name] == nil {
			o.cells[c.Name] = o.newOwnedCell(now, c, present)
			taken = append(taken, c.Name)
		}
		o.cells[c.Name].cell = c
	}
	for name := range o.cells {
		if !owned[name] {
			delete(o.cells, name)
			released = append(released, name)
		}
	}
	slots := groupSlots(cells)
	for _, c := range o.cells {
		c.configure(view, slots[c.cell.Group])
	}
	o.reportAllIfNeeded(now, rejoined, before)
	out := ownerMessages(taken, present)
	out = append(out, o.grantMessages(now)...)
	o.mu.Unlock()
	o.send(out)
	return taken, released
}

// updateLive sets the live routers and reports whether a lost one returned in
// the same incarnation, and thus with its state.
func (o *Owner) updateLive(live []rwidentity.Identity) bool {
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

// reportAllIfNeeded makes the next reports complete if another cell of the
// group has a new owner, which has no totals yet, or if a lost router returned.
func (o *Owner) reportAllIfNeeded(now time.Time, rejoined bool, before map[string]rwidentity.Identity) {
	changed := map[string]bool{}
	for name, r := range o.otherOwners {
		if before[name] != r {
			changed[o.groupOf[name]] = true
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

// ReleaseAll releases all cells. The next Update takes those again that this
// router still owns.
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

func ownerMessages(taken []string, present []rwidentity.Identity) []outgoingMessage {
	var out []outgoingMessage
	for _, name := range taken {
		for _, r := range present {
			out = append(out, outgoingMessage{r, rwslotmessage.Owner, &rwslotmessage.Message{Cell: name}})
		}
	}
	return out
}

// newOwnedCell returns a cell that makes no grants until all present routers have
// reported their running ones, or until settleTimeout has passed.
func (o *Owner) newOwnedCell(now time.Time, c rwcell.Cell, present []rwidentity.Identity) *ownedCell {
	inc := now.UnixMicro()
	awaited := map[string]bool{}
	for _, r := range present {
		awaited[r.Name] = true
	}
	return &ownedCell{
		cell:         c,
		sched:        rwsched.New(c.Name, inc),
		incarnation:  inc,
		grantsFrom:   now.Add(settleTimeout),
		awaitingSync: awaited,
		nextReport:   now.Add(reportInterval),
		outstanding:  map[uint64]outstandingGrant{},
	}
}

// dropStaleEntries drops entry routers that are neither live nor leaving, or have
// restarted. A leaving router keeps its backlog and its running grants, since it
// serves the requests that it has accepted.
func (o *Owner) dropStaleEntries(now time.Time, present []rwidentity.Identity) {
	for name, known := range o.entries {
		if slices.ContainsFunc(present, func(r rwidentity.Identity) bool {
			return r.Name == name && r.Inc == known.Inc
		}) {
			continue
		}
		o.dropEntry(now, name)
	}
}

func (o *Owner) dropEntry(now time.Time, entry string) {
	delete(o.entries, entry)
	for _, c := range o.cells {
		c.dropEntry(now, entry)
	}
}

func (c *ownedCell) dropEntry(now time.Time, entry string) {
	c.sched.DropEntry(now, entry)
	for id, i := range c.outstanding {
		if i.entry == entry {
			delete(c.outstanding, id)
		}
	}
}

func (c *ownedCell) configure(view *rwsnapshot.Snapshot, groupSlots int) {
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
	c.sched.SetPool(groupSlots, c.poolRate, maxReportInterval)
}

// measureRate estimates the cost rate of the pool from this cell's charges.
func (c *ownedCell) measureRate(now time.Time) {
	if now.Before(c.lastMeasured.Add(measureInterval)) {
		return
	}
	total := c.sched.TotalCharged()
	if own := c.cell.TotalWindow(); !c.lastMeasured.IsZero() && own > 0 {
		c.poolRate = (total - c.lastCharged) / now.Sub(c.lastMeasured).Seconds() * float64(c.groupSlots) / float64(own)
		c.sched.SetPool(c.groupSlots, c.poolRate, maxReportInterval)
	}
	c.lastCharged, c.lastMeasured = total, now
}

// HandleWant applies the backlogs and costs that an entry router sent.
func (o *Owner) HandleWant(now time.Time, from rwidentity.Identity, m *rwslotmessage.Message) {
	o.handleEntryMessage(now, from, m, func(c *ownedCell) {
		for _, s := range m.Done {
			o.finishGrant(now, c, s)
		}
		for _, s := range m.Usage {
			c.sched.UpdateCost(now, s.ID, s.Cost)
		}
	})
}

// HandleSync replaces the state of an entry router in a cell.
func (o *Owner) HandleSync(now time.Time, from rwidentity.Identity, m *rwslotmessage.Message) {
	o.handleEntryMessage(now, from, m, func(c *ownedCell) {
		c.syncReceived(now, from.Name)
		c.dropEntry(now, from.Name)
		for _, g := range m.Running {
			g.Cell, g.Entry = m.Cell, from.Name
			c.outstanding[g.ID] = outstandingGrant{from.Name, g.Upstream, now.Add(checkInterval)}
			c.sched.Restore(now, g)
		}
	})
}

// handleEntryMessage applies an entry router's message to the cell that it
// names, sets the router's backlogs and sends the grants that became possible.
// A message about a cell that this router doesn't own is dropped; the owner of
// the cell asks for a sync.
func (o *Owner) handleEntryMessage(now time.Time, from rwidentity.Identity, m *rwslotmessage.Message, apply func(*ownedCell)) {
	o.mu.Lock()
	c := o.cells[m.Cell]
	if c == nil {
		o.mu.Unlock()
		return
	}
	o.recordEntry(now, from)
	apply(c)
	for _, l := range m.Backlogs {
		c.sched.SetBacklog(now, from.Name, l.Account, l.Kind, l.Count, l.Hint)
	}
	out := c.grantMessages(now, o.entries)
	o.mu.Unlock()
	o.send(out)
}

func (o *Owner) finishGrant(now time.Time, c *ownedCell, s rwusage.Usage) {
	if o.OnUpstreamFailure != nil && (s.Code == rwcode.UpstreamUnreachable || s.Code == rwcode.UpstreamRefused) {
		o.OnUpstreamFailure(c.outstanding[s.ID].upstream, s.Code)
	}
	delete(c.outstanding, s.ID)
	c.sched.Finish(now, s.ID, s.Cost, s.First, s.Total, s.Code)
}

func (c *ownedCell) syncReceived(now time.Time, entry string) {
	delete(c.awaitingSync, entry)
	if len(c.awaitingSync) == 0 && now.Before(c.grantsFrom) {
		c.grantsFrom = now
	}
}

// recordEntry records the identity of an entry router. When a newer incarnation
// of it appears, the state of the older one is dropped, since the new one
// doesn't hold its grants.
func (o *Owner) recordEntry(now time.Time, from rwidentity.Identity) {
	if known, ok := o.entries[from.Name]; ok && known.Inc != from.Inc {
		if known.Inc > from.Inc {
			return
		}
		o.dropEntry(now, from.Name)
	}
	o.entries[from.Name] = from
}

// HandleReport merges the totals of another cell of the group.
func (o *Owner) HandleReport(now time.Time, m *rwslotmessage.Message) {
	o.mu.Lock()
	group := o.groupOf[m.Cell]
	var out []outgoingMessage
	for _, c := range o.cells {
		if c.cell.Group == group && c.cell.Name != m.Cell {
			c.sched.MergeTotals(m.Cell, m.Incarnation, m.Totals)
			out = append(out, c.grantMessages(now, o.entries)...)
		}
	}
	o.mu.Unlock()
	o.send(out)
}

// Tick sends grants that became possible with time, reports that are due and
// checks of old grants.
func (o *Owner) Tick(now time.Time) {
	o.mu.Lock()
	out := o.grantMessages(now)
	for _, c := range o.cells {
		c.measureRate(now)
		out = append(out, c.checkMessages(now, o.entries)...)
		if !now.Before(c.nextReport) {
			out = append(out, o.reportMessages(now, c)...)
		}
	}
	o.mu.Unlock()
	o.send(out)
}

func (o *Owner) grantMessages(now time.Time) []outgoingMessage {
	var out []outgoingMessage
	for _, c := range o.cells {
		out = append(out, c.grantMessages(now, o.entries)...)
	}
	return out
}

func (c *ownedCell) grantMessages(now time.Time, entries map[string]rwidentity.Identity) []outgoingMessage {
	if now.Before(c.grantsFrom) {
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
		c.outstanding[g.ID] = outstandingGrant{g.Entry, g.Upstream, now.Add(checkInterval)}
	}
}

// checkMessages asks entry routers about grants that are unfinished after
// checkInterval. If a grant or its end is lost with a connection, the grant
// would otherwise hold its slot forever.
func (c *ownedCell) checkMessages(now time.Time, entries map[string]rwidentity.Identity) []outgoingMessage {
	batch := batch{cell: c.cell.Name, method: rwslotmessage.Check, entries: entries}
	for id, i := range c.outstanding {
		if now.Before(i.checkAt) {
			continue
		}
		c.outstanding[id] = outstandingGrant{i.entry, i.upstream, now.Add(checkInterval)}
		m := batch.message(i.entry)
		m.IDs = append(m.IDs, id)
	}
	return batch.out
}

// batch collects the messages of one cell, at most one per entry router.
type batch struct {
	cell, method string
	entries      map[string]rwidentity.Identity
	byEntry      map[string]*rwslotmessage.Message
	out          []outgoingMessage
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
	b.out = append(b.out, outgoingMessage{b.entries[entry], b.method, m})
	return m
}

// reportMessages returns the report of a cell to the owners of the other cells
// of its group, one message per owner, and schedules the next report according
// to the size of this one. Reports to other cells of this router are merged
// directly.
func (o *Owner) reportMessages(now time.Time, c *ownedCell) []outgoingMessage {
	c.nextReport = now.Add(reportInterval)
	totals := c.sched.Report(nil)
	if len(totals) == 0 {
		return nil
	}
	m := &rwslotmessage.Message{Cell: c.cell.Name, Incarnation: c.incarnation, Totals: totals}
	var to []rwidentity.Identity
	var out []outgoingMessage
	for _, name := range o.groupCells[c.cell.Group] {
		if other := o.cells[name]; other != nil {
			if other != c {
				other.sched.MergeTotals(c.cell.Name, c.incarnation, totals)
			}
			continue
		}
		r := o.otherOwners[name]
		if !slices.ContainsFunc(to, func(x rwidentity.Identity) bool { return x.Name == r.Name }) {
			to = append(to, r)
			out = append(out, outgoingMessage{r, rwslotmessage.Report, m})
		}
	}
	bytes := float64(len(to)) * (messageBytes + totalBytes*float64(len(totals)))
	budgetInterval := time.Duration(bytes / reportBudget * float64(time.Second))
	c.nextReport = now.Add(max(reportInterval, budgetInterval))
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

// Views returns the state of each owned cell by name, for operators.
func (o *Owner) Views() map[string]rwschedview.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]rwschedview.View, len(o.cells))
	for n, c := range o.cells {
		out[n] = c.sched.View()
	}
	return out
}
