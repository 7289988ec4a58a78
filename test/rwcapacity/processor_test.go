//go:build capacity

package rwcapacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbacklog"
	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwdemand"
	"redwingworks.example/internal/rwfleetpolicy"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwintentquery"
	"redwingworks.example/internal/rwintentreply"
	"redwingworks.example/internal/rwmember"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwonce"
	"redwingworks.example/internal/rwowner"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwprobe"
	"redwingworks.example/internal/rwqueue"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstore"
	"redwingworks.example/internal/rwtotal"
	"redwingworks.example/internal/rwusage"
	"redwingworks.example/internal/rwvm"
	"redwingworks.example/internal/rwvmlist"
)

const fleetKey = "0123456789abcdef"

// cpuTime returns the CPU time of this process. Wall time would include the load
// of other processes on a shared machine.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// microsPerCall returns the CPU time of one call in microseconds, including
// garbage collection. It is the lowest of five rounds, since other load only adds
// to it.
func microsPerCall(do func()) float64 {
	const round = 60 * time.Millisecond
	best := 0.0
	for range 5 {
		n, begin := 0, cpuTime()
		for cpuTime()-begin < round {
			do()
			n++
		}
		v := float64((cpuTime() - begin).Microseconds()) / float64(n)
		if best == 0 || v < best {
			best = v
		}
	}
	return best
}

// microsPerShortCall is microsPerCall for calls that take little time compared to
// reading the clock.
func microsPerShortCall(do func()) float64 {
	const batch = 200
	return microsPerCall(func() {
		for range batch {
			do()
		}
	}) / batch
}

// fullFleet is a configuration with the routers of one region.
type fullFleet struct {
	store *rwstore.Store
	view  *rwsnapshot.Snapshot
	cells []rwcell.Cell
	live  []rwidentity.Identity
	self  rwidentity.Identity
}

func newFullFleet(t testing.TB, tenths int) *fullFleet {
	f := &fullFleet{store: rwstore.New()}
	_, faults := f.store.Apply(configuration(tenths))
	require.Empty(t, faults)
	f.view = f.store.Snapshot()
	f.self = routerID(0)
	f.cells = rwcell.InRegion(rwcell.Partition(f.view, cellSize), f.view, f.self.Region)
	for i := range nodes * tenths / 10 {
		if id := routerID(i); id.Region == f.self.Region {
			f.live = append(f.live, id)
		}
	}
	return f
}

// owner returns the rwowner.Owner of the router that owns the most cells, and that
// router.
func (f *fullFleet) owner(now time.Time) (*rwowner.Owner, rwidentity.Identity) {
	owned := map[string]int{}
	top := f.live[0]
	for _, r := range rwcell.AssignOwners(f.cells, f.live) {
		owned[r.Name]++
		if owned[r.Name] > owned[top.Name] {
			top = r
		}
	}
	o := rwowner.New(top)
	o.Send = func(rwidentity.Identity, string, *rwslotmessage.Message) {}
	o.Update(now, f.view, f.cells, f.live)
	return o, top
}

// busyOwner is an owner with a cell that has many backlogged accounts, and the
// grants that it sent.
type busyOwner struct {
	owner  *rwowner.Owner
	cell   string
	grants []rwgrant.Grant
	from   rwidentity.Identity
	now    time.Time
}

func newBusyOwner(f *fullFleet, flows int) *busyOwner {
	now := time.Unix(1_700_000_000, 0)
	b := &busyOwner{from: f.live[1], now: now}
	b.owner, _ = f.owner(now)
	b.owner.Send = func(_ rwidentity.Identity, method string, m *rwslotmessage.Message) {
		if method == rwslotmessage.Grant {
			b.grants = append(b.grants, m.Grants...)
		}
	}
	b.cell = b.owner.OwnedCells()[0]
	for _, r := range f.live {
		b.owner.HandleSync(now, r, &rwslotmessage.Message{Cell: b.cell})
	}
	b.now = now.Add(10 * time.Second)
	m := &rwslotmessage.Message{Cell: b.cell}
	for i := range flows {
		m.Backlogs = append(m.Backlogs, rwbacklog.Backlog{Account: accountName(i * 7), Kind: "kind-00", Count: 1 << 30})
	}
	b.owner.HandleWant(b.now, b.from, m)
	b.owner.Tick(b.now)
	return b
}

// finishRequest reports the end of a request with a changed backlog, which makes
// the owner send the next grant.
func (b *busyOwner) finishRequest() {
	b.now = b.now.Add(time.Millisecond)
	g := b.grants[0]
	b.grants = b.grants[1:]
	b.owner.HandleWant(b.now, b.from, &rwslotmessage.Message{
		Cell:     b.cell,
		Backlogs: []rwbacklog.Backlog{{Account: g.Account, Kind: g.Kind, Count: 1 << 30}},
		Done:     []rwusage.Usage{{ID: g.ID, Cost: 300, First: 100 * time.Millisecond, Total: 19 * time.Second}},
	})
}

func (b *busyOwner) report(n int) func() {
	total := 0.0
	return func() {
		total += 300
		m := &rwslotmessage.Message{Cell: "other", Incarnation: 1}
		for i := range n {
			m.Totals = append(m.Totals, rwtotal.Total{Account: accountName(i * 7), Cost: total, Lead: 1})
		}
		b.owner.HandleReport(b.now, m)
	}
}

// entryRequest returns a function that adds a request to the queue and the backlogs
// of an entry router and removes it again.
func entryRequest(f *fullFleet) func() {
	d, q := rwdemand.New(1), rwqueue.New()
	var targets []rwdemand.Target
	all := rwcell.AssignOwners(f.cells, f.live)
	for _, c := range f.cells {
		o := all[c.Name]
		targets = append(targets, rwdemand.Target{Name: c.Name, Pools: c.Pools, Owner: rwcell.IncarnationKey(o), SameZone: c.Zone == f.self.Zone})
	}
	d.SetCells(targets)
	now, i := time.Unix(1_700_000_000, 0), 0
	pending := func(string) bool { return false }
	update := func(flow rwqueue.FlowKey, pool string) {
		n, hint := q.Length(flow)
		d.SetFlow(now, flow, pool, n, hint)
		now = now.Add(10 * time.Millisecond)
		d.Due(now, pending)
	}
	return func() {
		i++
		pool := fmt.Sprintf("model-%02d", i%models)
		r := &rwrequest.Request{ID: fmt.Sprint(i), Account: accountName(i % accounts), Kind: "kind-00", Pool: pool, Urgency: 1}
		flow := rwqueue.FlowKey{Account: r.Account, Kind: r.Kind}
		if _, err := q.Push(now, r); err != nil {
			panic(err)
		}
		update(flow, pool)
		q.Take(now, r.Account, r.Kind, []string{pool}, nil)
		update(flow, pool)
	}
}

// linkCost returns the CPU time of one message in microseconds, at both ends
// together, including the codec, JSON and the sockets.
func linkCost(t *testing.T, method string, params any, decode func(json.RawMessage)) float64 {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := rwpeer.New(routerID(0), fleetKey, nil, zerolog.Nop(), rwmetric.New())
	b := rwpeer.New(routerID(1), fleetKey, nil, zerolog.Nop(), rwmetric.New())
	got := make(chan struct{}, 1)
	b.Handle(method, func(_ context.Context, _ rwidentity.Identity, raw json.RawMessage) (any, error) {
		decode(raw)
		got <- struct{}{}
		return nil, nil
	})
	go func() { _ = b.Serve(ctx, l) }()
	return microsPerCall(func() {
		a.Notify(l.Addr().String(), method, params)
		<-got
	})
}

func decodeMessage(raw json.RawMessage) {
	var m rwslotmessage.Message
	if err := json.Unmarshal(raw, &m); err != nil {
		panic(err)
	}
}

func decodeProbe(raw json.RawMessage) {
	if _, err := rwprobe.Decode(raw); err != nil {
		panic(err)
	}
}

// members returns the membership of a router in a fleet of n live routers, and the
// VM list of that fleet.
func members(n int) (*rwmember.Members, []rwvm.VM) {
	m := rwmember.New(routerID(0), 1)
	var list []rwvm.VM
	for i := range n {
		id := routerID(i)
		list = append(list, rwvm.VM{Name: id.Name, Addr: id.Addr, Zone: id.Zone, Region: id.Region})
	}
	m.SetPublishedVMs(list)
	now := time.Unix(1_700_000_000, 0)
	m.Tick(now)
	for i := 1; i < n; i++ {
		id := routerID(i)
		m.HandlePing(now, id, rwprobe.Probe{Name: id.Name, Inc: id.Inc, Rev: 5, Digest: 7})
	}
	return m, list
}

// newMachine returns a home router in a fleet of the full size.
func newMachine(now time.Time) *rwonce.Machine {
	m := rwonce.New(routerID(0), rwonce.Config{Hold: time.Nanosecond}, now)
	var names []string
	for i := range nodes {
		names = append(names, routerID(i).Name)
	}
	m.SetList(now, rwvmlist.New(5, names, names), 10*time.Minute)
	m.Tick(now.Add(time.Second))
	return m
}

// answerQueries delivers replies of count other routers to a machine. recovered
// is whether the others have recovered.
func answerQueries(now time.Time, m *rwonce.Machine, count int, recovered bool) {
	q := rwintentquery.Query{Version: m.Version()}
	for i := 1; i <= count; i++ {
		id := routerID(i)
		m.HandleReply(now, id.Name, q, rwintentreply.Reply{OK: true, Seen: q.Version, Inc: id.Inc, Age: time.Hour, Recovered: recovered})
	}
}

// changeList publishes a VM list of a higher revision and delivers the replies of
// all other routers.
func changeList(now time.Time, m *rwonce.Machine) {
	var names []string
	for i := range nodes {
		names = append(names, routerID(i).Name)
	}
	m.SetList(now, rwvmlist.New(m.Version().Rev+1, names, names), 10*time.Minute)
	answerQueries(now, m, nodes-1, true)
}

// homeTick returns the CPU time of what the adapter does ten times a second.
func homeTick(now time.Time, m *rwonce.Machine) float64 {
	return microsPerCall(func() {
		now = now.Add(time.Microsecond)
		m.Tick(now)
		m.PendingMessages(now)
	})
}

// cpuCosts are CPU times in microseconds in a fleet of the full size.
type cpuCosts struct {
	link, probeLink, report, entry, owner, merge, probe, adopt, cells, fair, ownerConfig, ownerMember, memberTick, ownerTick, onceTick, onceStart, onceGaps, listChange float64
}

// TestProcessor measures the CPU time of single operations.
func TestProcessor(t *testing.T) { measureCPU(t) }

func measureCPU(t *testing.T) cpuCosts {
	f := newFullFleet(t, 10)
	want := &rwslotmessage.Message{
		Cell:     "model-01/zone-1/0",
		Backlogs: []rwbacklog.Backlog{{Account: accountName(77), Kind: "kind-01", Count: 3, Hint: 300}},
		Done:     []rwusage.Usage{{ID: 123456, Cost: 317, First: 120 * time.Millisecond, Total: 19 * time.Second}},
	}
	var c cpuCosts
	c.link = linkCost(t, rwslotmessage.Want, want, decodeMessage)
	long := &rwslotmessage.Message{Cell: "model-01/zone-1/0", Incarnation: 1_700_000_000_000_000}
	for i := range 16 {
		long.Totals = append(long.Totals, rwtotal.Total{Account: accountName(i), Cost: float64(100000 + i), Lead: float64(i)})
	}
	c.report = linkCost(t, rwslotmessage.Report, long, decodeMessage)
	id := routerID(2)
	probe := rwprobe.Probe{Name: id.Name, Inc: id.Inc, Rev: 123456, Digest: 1 << 52}
	c.probeLink = linkCost(t, "ping", probe, decodeProbe)
	c.entry = microsPerShortCall(entryRequest(f))
	b := newBusyOwner(f, 28)
	require.NotEmpty(t, b.grants)
	c.owner = microsPerShortCall(b.finishRequest)
	c.merge = microsPerShortCall(b.report(16))
	c.ownerTick = microsPerCall(func() { b.now = b.now.Add(50 * time.Millisecond); b.owner.Tick(b.now) })
	m, _ := members(nodes)
	now := time.Unix(1_700_000_001, 0)
	c.probe = microsPerShortCall(func() { m.HandlePing(now, id, probe) })
	c.memberTick = microsPerShortCall(func() { now = now.Add(time.Microsecond); m.Tick(now) })
	rev := int64(records)
	c.adopt = microsPerCall(func() {
		rev++
		if news, _ := f.store.Apply([]rwrecord.Record{accountRecord(5, rev)}); len(news) != 1 {
			panic("the record was not adopted")
		}
	})
	c.cells = microsPerCall(func() { rwcell.InRegion(rwcell.Partition(f.view, cellSize), f.view, f.self.Region) })
	p := rwfleetpolicy.New(f.self, 1)
	c.fair = microsPerCall(func() { p.Update(f.cells, f.live) })
	o, top := f.owner(now)
	c.ownerConfig = microsPerCall(func() { o.Update(now, f.view, f.cells, f.live) })
	var other []rwidentity.Identity
	for _, r := range f.live {
		if r.Name != top.Name && len(other) == 0 {
			r.Inc++
		}
		other = append(other, r)
	}
	flip := false
	c.ownerMember = microsPerCall(func() {
		flip = !flip
		live := f.live
		if flip {
			live = other
		}
		o.Update(now, f.view, f.cells, live)
	})
	c.onceStart = homeTick(now, newMachine(now))
	steady, half := newMachine(now), newMachine(now)
	answerQueries(now, steady, nodes-1, true)
	answerQueries(now, half, nodes-2, false)
	c.onceTick = homeTick(now, steady)
	c.onceGaps = homeTick(now, half)
	c.listChange = microsPerCall(func() { changeList(now, steady) })
	tb := newTable("processor", "measured at the full size", "µs of CPU time")
	tb.addRow("one `want` over a link, both ends, with codec, JSON and sockets", c.link)
	tb.addRow("one `report` of 16 accounts over a link, both ends", c.report)
	tb.addRow("one `ping` over a link, both ends", c.probeLink)
	tb.addRow("a request through the entry router's queue and backlogs", c.entry)
	tb.addRow("the end of a request at the owner, with the decision about the next", c.owner)
	tb.addRow("merge of a report of 16 accounts", c.merge)
	tb.addRow("a probe in membership", c.probe)
	tb.addRow("adoption of one record among "+fmt.Sprint(records), c.adopt)
	tb.addRow("`rwcell.Partition` and `InRegion`", c.cells)
	tb.addRow("`rwfleetpolicy.Update`", c.fair)
	tb.addRow("`rwowner.Update` after a change of the configuration, router with most cells", c.ownerConfig)
	tb.addRow("`rwowner.Update` after a change of a member", c.ownerMember)
	tb.addRow("tick of the membership, 20 a second", c.memberTick)
	tb.addRow("tick of the owner, 20 a second", c.ownerTick)
	tb.addRow("tick of the home when all have answered, 10 a second", c.onceTick)
	tb.addRow("change of the VM list at a home, with all answers", c.listChange)
	tb.addRow("tick of the home before the first answer", c.onceStart)
	tb.addRow("tick of the home while one answer is missing and none is full", c.onceGaps)
	tb.write(t)
	return c
}
