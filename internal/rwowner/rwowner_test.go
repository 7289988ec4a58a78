package rwowner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbacklog"
	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwowner"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstore"
	"redwingworks.example/internal/rwusage"
)

const accountName, kindName = "varna", "lookup"

var (
	self  = rwidentity.Identity{Name: "self", Zone: "za", Region: "main", Inc: 1}
	entry = rwidentity.Identity{Name: "entry", Zone: "za", Region: "main", Inc: 1}
)

type sent struct {
	to      rwidentity.Identity
	method  string
	message *rwslotmessage.Message
}

// fixture is the owner of a cell with one upstream that runs one request at a
// time.
type fixture struct {
	t       *testing.T
	owner   *rwowner.Owner
	view    *rwsnapshot.Snapshot
	cells   []rwcell.Cell
	now     time.Time
	leaving []rwidentity.Identity
	sent    []sent
}

func newFixture(t *testing.T) *fixture {
	store := rwstore.New()
	_, faults := store.Apply([]rwrecord.Record{
		{Kind: "account", Name: accountName, Rev: 1, Schema: 1, Value: []byte(`{"share":1,"keys":[]}`)},
		{Kind: "kind", Name: kindName, Rev: 2, Schema: 1, Value: []byte(`{"urgency":1,"pool":"orders","idempotent":true}`)},
		{Kind: "upstream", Name: "service", Rev: 3, Schema: 1, Value: []byte(
			`{"pool":"orders","zone":"za","addr":"127.0.0.1:1","type":"service","window":1,"state":"live","inc":1}`)},
	})
	require.Empty(t, faults)
	f := &fixture{t: t, owner: rwowner.New(self), view: store.Snapshot(), now: time.Unix(1e9, 0)}
	f.cells = rwcell.Partition(f.view, 1)
	require.Len(t, f.cells, 1)
	f.owner.Send = func(to rwidentity.Identity, method string, m *rwslotmessage.Message) {
		f.sent = append(f.sent, sent{to, method, m})
	}
	f.owner.Leaving = func() []rwidentity.Identity { return f.leaving }
	return f
}

func (f *fixture) update(live ...rwidentity.Identity) {
	f.owner.Update(f.now, f.view, f.cells, live)
}

// settle lets the time pass for which a new owner makes no grants.
func (f *fixture) settle() { f.now = f.now.Add(time.Second) }

// want sends a backlog and the ends of grants to the owner.
func (f *fixture) want(from rwidentity.Identity, count int, ended ...uint64) {
	m := &rwslotmessage.Message{Cell: f.cells[0].Name}
	if count > 0 {
		m.Backlogs = []rwbacklog.Backlog{{Account: accountName, Kind: kindName, Count: count}}
	}
	for _, id := range ended {
		m.Done = append(m.Done, rwusage.Usage{ID: id, Cost: 1, Total: time.Millisecond})
	}
	f.owner.HandleWant(f.now, from, m)
}

// grants returns the identifiers of the grants that were sent to a router since
// the last call.
func (f *fixture) grants(to rwidentity.Identity) []uint64 {
	var out []uint64
	for _, s := range f.sent {
		if s.to == to && s.method == rwslotmessage.Grant {
			for _, g := range s.message.Grants {
				out = append(out, g.ID)
			}
		}
	}
	f.sent = nil
	return out
}

// Guards against an owner that forgets the waiting requests of a router when that
// router leaves. They would get no grants until the router reports its backlog
// again, and the router doesn't exit before they have ended.
func TestLeavingRouterIsStillGranted(t *testing.T) {
	f := newFixture(t)
	f.update(self, entry)
	f.settle()
	f.want(entry, 2)
	first := f.grants(entry)
	require.Len(t, first, 1)
	f.leaving = []rwidentity.Identity{entry}
	f.update(self)
	require.Empty(t, f.grants(entry))
	f.want(entry, 0, first...)
	require.Len(t, f.grants(entry), 1)
}

// Guards against an owner that takes the slots of a leaving router for free
// while its requests are running, and against one that keeps them after that
// router has ended.
func TestLeavingRouterHoldsItsSlots(t *testing.T) {
	f := newFixture(t)
	f.update(self, entry)
	f.settle()
	f.want(entry, 1)
	require.Len(t, f.grants(entry), 1)
	f.leaving = []rwidentity.Identity{entry}
	f.update(self)
	f.want(self, 1)
	require.Empty(t, f.grants(self))
	f.leaving = nil
	f.update(self)
	require.Len(t, f.grants(self), 1)
}

// Guards against a new owner that learns of the waiting requests of a leaving
// router only when that router reports its backlog again.
func TestNewOwnerAsksLeavingRouters(t *testing.T) {
	f := newFixture(t)
	f.leaving = []rwidentity.Identity{entry}
	f.update(self)
	require.True(t, slices.ContainsFunc(f.sent, func(s sent) bool {
		return s.to == entry && s.method == rwslotmessage.Owner
	}))
}

// Guards against a new owner that grants a slot before a leaving router has said
// that it holds it.
func TestNewOwnerWaitsForLeavingRouters(t *testing.T) {
	f := newFixture(t)
	f.leaving = []rwidentity.Identity{entry}
	f.update(self)
	f.owner.HandleSync(f.now, self, &rwslotmessage.Message{Cell: f.cells[0].Name})
	f.want(self, 1)
	require.Empty(t, f.grants(self))
	f.owner.HandleSync(f.now, entry, &rwslotmessage.Message{Cell: f.cells[0].Name})
	f.want(self, 1)
	require.Len(t, f.grants(self), 1)
}

// Guards against a leaving router that never answers and keeps a new owner from
// granting.
func TestNewOwnerWaitsForLeavingRoutersForLimitedTime(t *testing.T) {
	f := newFixture(t)
	f.leaving = []rwidentity.Identity{entry}
	f.update(self)
	f.owner.HandleSync(f.now, self, &rwslotmessage.Message{Cell: f.cells[0].Name})
	f.settle()
	f.want(self, 1)
	require.Len(t, f.grants(self), 1)
}

// Guards against a router that is asked twice for its state because it began to
// leave while the members were read: its second answer can cross with a grant.
func TestRouterInBothListsIsAskedOnce(t *testing.T) {
	f := newFixture(t)
	f.leaving = []rwidentity.Identity{entry}
	f.update(self, entry)
	asked := 0
	for _, s := range f.sent {
		if s.to == entry && s.method == rwslotmessage.Owner {
			asked++
		}
	}
	require.Equal(t, 1, asked)
}
