//go:build capacity

package rwcapacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwframe"
	"redwingworks.example/internal/rwintentmessage"
	"redwingworks.example/internal/rwonce"
	"redwingworks.example/internal/rwvmlist"
)

// keyHomes are the routers of a fleet as home routers of idempotency keys.
// Messages between them are delivered immediately.
type keyHomes struct {
	t        *testing.T
	now      time.Time
	names    []string
	machines []*rwonce.Machine
	codecs   map[[2]int]*rwframe.Codec
	bytes    int
}

// newKeyHomes returns home routers that have been up for longer than the hold
// time.
func newKeyHomes(t *testing.T, n int) *keyHomes {
	h := &keyHomes{t: t, now: time.Unix(1_700_000_000, 0), codecs: map[[2]int]*rwframe.Codec{}}
	for i := range n {
		h.names = append(h.names, routerID(i).Name)
		h.machines = append(h.machines, rwonce.New(routerID(i), rwonce.Config{Hold: time.Second}, h.now))
	}
	h.publish(100, h.machines)
	h.run(3 * time.Second)
	for _, m := range h.machines {
		require.True(t, m.Recovered())
	}
	return h
}

func (h *keyHomes) publish(rev int64, to []*rwonce.Machine) {
	for _, m := range to {
		m.SetList(h.now, rwvmlist.New(rev, h.names, h.names), time.Minute)
	}
}

func (h *keyHomes) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
		for i, m := range h.machines {
			m.Tick(h.now)
			for _, p := range m.PendingMessages(h.now) {
				h.deliver(i, p)
			}
		}
	}
}

func (h *keyHomes) deliver(from int, p rwintentmessage.Message) {
	to := 0
	for h.names[to] != p.To {
		to++
	}
	m, other, id := h.machines[from], h.machines[to], routerID(from)
	if p.Query != nil {
		h.add(from, to, envelope{ID: 1, Version: "2.0", Method: "traces", Params: p.Query})
		r := other.HandleQuery(h.now, id, *p.Query)
		h.add(to, from, envelope{ID: 1, Version: "2.0", Result: r})
		m.HandleReply(h.now, p.To, *p.Query, r)
		return
	}
	h.add(from, to, envelope{ID: 1, Version: "2.0", Method: "trace", Params: p.Sync})
	a := other.HandleSync(h.now, id, *p.Sync)
	h.add(to, from, envelope{ID: 1, Version: "2.0", Result: a})
	m.HandleSyncAck(h.now, p.To, *p.Sync, a)
}

func (h *keyHomes) add(from, to int, v any) {
	pair := [2]int{from, to}
	if h.codecs[pair] == nil {
		h.codecs[pair] = rwframe.New(maxMessage)
	}
	h.bytes += encodedSize(h.t, h.codecs[pair], v)
}

// keyCosts are the bytes that each node sends after one change of the VM list:
// when all routers get the list at once, and when half of them get it later.
type keyCosts struct{ change, spread float64 }

// TestKeys measures the messages between home routers after a change of the VM
// list.
func TestKeys(t *testing.T) { measureKeys(t) }

func measureKeys(t *testing.T) keyCosts {
	var x, change, spread []float64
	for _, n := range []int{8, 16, 32, 64} {
		h := newKeyHomes(t, n)
		before := h.bytes
		h.publish(101, h.machines)
		h.run(8 * time.Second)
		x, change = append(x, float64(n)), append(change, float64(h.bytes-before)/float64(n))
		before = h.bytes
		h.publish(102, h.machines[:n/2])
		h.run(100 * time.Millisecond)
		h.publish(102, h.machines[n/2:])
		h.run(8 * time.Second)
		spread = append(spread, float64(h.bytes-before)/float64(n))
		for _, m := range h.machines {
			require.True(t, m.Recovered())
		}
	}
	for i, n := range x {
		change[i] /= n - 1
		spread[i] /= n - 1
	}
	tb := newTable("key fits", fitColumns...)
	out := keyCosts{
		change: (nodes - 1) * tb.addFit("a list change seen by all at once, bytes sent a node and peer, by nodes", x, change).At(nodes),
		spread: (nodes - 1) * tb.addFit("the same, seen by half of the routers 100 ms later", x, spread).At(nodes),
	}
	tb.write(t)
	return out
}
