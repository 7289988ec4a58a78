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
	// settleTimeout is how long a new owner waits at most for the running grants of
	// all live routers before it grants, so that it doesn't fill slots that
	// are in use.
	settleTimeout = 300 * time.Millisecond
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
	cells   map[string]*ownedCell
	entries map[string]rwidentity.Identity
	// otherOwners are the routers that own other cells, by cell.
	otherOwners map[string]rwidentity.Identity
	groupCells  map[string][]string
	// groupOf is the group of each cell.
	groupOf map[string]string
	// live are the live routers, lost those that were live before.
	live, lost map[string]bool
}

type ownedCell struct {
	cell        rwcell.Cell
	sched       *rwsched.Scheduler
	incarnation int64
	// grantsFrom is when the first grant may be made: when no router is awaited
	// any more, or after the longest wait.
	grantsFrom time.Time
	// awaitingSync are the live routers whose running grants are not known yet.
	awaitingSync map[string]bool
	// nextReport is when the next report is due.
	nextReport time.Time
	// outstanding are the grants that are out.
	outstanding map[uint64]outstandingGrant
	// lastCharged is the cost charged until measured, rate the cost per second of
	// the whole pool, worked out from this cell's part.
	lastCharged, poolRate float64
	lastMeasured          time.Time
	groupSlots            int
}

// outstandingGrant is a grant whose entry has not said that it is done.
type outstandingGrant struct {
	entry, upstream string
	// checkAt is when the entry is asked whether the grant is still running.
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

// Update takes in a change of the configuration or of the live routers and
// returns the names of the cells that were taken and released.
func (o *Owner) Update(now time.Time, view *rwsnapshot.Snapshot, cells []rwcell.Cell, live []rwidentity.Identity) (taken, released []string) {
	o.mu.Lock()
	o.dropStaleEntries(now, live)
	rejoined := o.updateLive(live)
	before := o.otherOwners
	o.groupCells = map[string][]string{}
	o.otherOwners = map[string]rwidentity.Identity{}
	o.groupOf = map[string]string{}
	mine := map[string]bool{}
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
		mine[c.Name] = true
		if o.cells[c.Name] == nil {
			o.cells[c.Name] = o.newOwnedCell(now, c, live)
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
	o.reportAllIfNeeded(now, rejoined, before)
	out := ownerMessages(taken, live)
	out = append(out, o.grantMessages(now)...)
	o.mu.Unlock()
	o.send(out)
	return taken, released
}

// updateLive takes the live routers and reports whether one of them was lost and
// came back with its memory.
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

// reportAllIfNeeded makes the next reports complete where another cell of the group has
// a new owner, which knows nothing of the accounts, or where a link came back.
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

func ownerMessages(taken []string, live []rwidentity.Identity) []outgoingMessage {
	var out []outgoingMessage
	for _, name := range taken {
		for _, r := range live {
			out = append(out, outgoingMessage{r, rwslotmessage.Owner, &rwslotmessage.Message{Cell: name}})
		}
	}
	return out
}

func (o *Owner) newOwnedCell(now time.Time, c rwcell.Cell, live []rwidentity.Identity) *ownedCell {
	inc := now.UnixMicro()
	awaited := map[string]bool{}
	for _, r := range live {
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

// dropStaleEntries drops entries that are no longer live or have started again.
func (o *Owner) dropStaleEntries(now time.Time, live []rwidentity.Identity) {
	for name, known := range o.entries {
		if slices.ContainsFunc(live, func(r rwidentity.Identity) bool {
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

// measureRate works out the pool's cost rate from what this cell charged.
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

// HandleWant takes levels and costs from an entry.
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

// HandleSync replaces all that is known of an entry in a cell.
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

// handleEntryMessage applies an entry's message to the cell that it names, sets the
// entry's levels and sends the grants that became possible. A message about a
// cell that this router doesn't own is lost: its owner asks for a sync.
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

// recordEntry notes an entry; a new incarnation has none of the grants of the old.
func (o *Owner) recordEntry(now time.Time, from rwidentity.Identity) {
	if known, ok := o.entries[from.Name]; ok && known.Inc != from.Inc {
		if known.Inc > from.Inc {
			return
		}
		o.dropEntry(now, from.Name)
	}
	o.entries[from.Name] = from
}

// HandleReport takes the totals of another cell of the group.
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

// Tick makes grants that have become possible with time and sends reports.
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

// checkMessages asks entries about grants that have been out for long. A grant or its
// end that was lost with a connection would otherwise hold its slot for ever.
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

// batch collects the messages of one cell, one for each entry.
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

// reportMessages sends the changed totals of a cell to the owners of the other cells
// of its group, each owner once, and sets the time of the next report by the
// bytes that this one took.
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
	stretched := time.Duration(bytes / reportBudget * float64(time.Second))
	c.nextReport = now.Add(max(reportInterval, stretched))
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
