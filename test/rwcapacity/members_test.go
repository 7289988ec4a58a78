//go:build capacity

package rwcapacity_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbundle"
	"redwingworks.example/internal/rwframe"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmember"
	"redwingworks.example/internal/rwprobe"
	"redwingworks.example/internal/rwprobecall"
	"redwingworks.example/internal/rwpull"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwstore"
	"redwingworks.example/internal/rwvm"
)

const maxMessage = 1_200_000

type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// envelope has the JSON form of a JSON-RPC request, notification or response.
type envelope struct {
	ID      uint64 `json:"id,omitempty"`
	Version string `json:"jsonrpc"`
	Method  string `json:"method,omitempty"`
	Params  any    `json:"params,omitempty"`
	Result  any    `json:"result,omitempty"`
}

func encodedSize(t testing.TB, c *rwframe.Codec, v any) int {
	var n byteCounter
	require.NoError(t, c.WriteObject(&n, v))
	return int(n)
}

// memberGroup is a group of members. Messages between them are delivered
// immediately, or dropped if the receiver is stopped.
type memberGroup struct {
	t          *testing.T
	now        time.Time
	members    map[string]*rwmember.Members
	identities map[string]rwidentity.Identity
	byAddr     map[string]string
	names      []string
	codecs     map[string]*rwframe.Codec
	bytes      map[string]int
	messages   int
}

func newGroup(t *testing.T, n int) *memberGroup {
	g := &memberGroup{
		t: t, now: time.Unix(1_700_000_000, 0), members: map[string]*rwmember.Members{}, identities: map[string]rwidentity.Identity{},
		byAddr: map[string]string{}, codecs: map[string]*rwframe.Codec{}, bytes: map[string]int{},
	}
	var list []rwvm.VM
	for i := range n {
		id := routerID(i)
		list = append(list, rwvm.VM{Name: id.Name, Addr: id.Addr, Zone: id.Zone, Region: id.Region})
		g.names, g.identities[id.Name], g.byAddr[id.Addr] = append(g.names, id.Name), id, id.Name
	}
	for i, name := range g.names {
		g.members[name] = rwmember.New(g.identities[name], uint64(i))
		g.members[name].SetPublishedVMs(list)
		g.members[name].SetConfigDigest(rwrevision.Revision{Rev: 123456}, 1<<52)
	}
	return g
}

func routerID(i int) rwidentity.Identity {
	return rwidentity.Identity{
		Name: fmt.Sprintf("router-%03d", i), Zone: fmt.Sprint("zone-", i%zones), Region: fmt.Sprint("region-", i%zones%regions),
		Addr: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250+1), Inc: 1_700_000_000_000_000 + int64(i)*7919,
	}
}

func (g *memberGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(50 * time.Millisecond) {
		for _, name := range g.names {
			if m := g.members[name]; m != nil {
				g.deliver(name, m.Tick(g.now))
			}
		}
	}
}

func (g *memberGroup) deliver(from string, list []rwprobecall.ProbeCall) {
	for _, s := range list {
		to := g.byAddr[s.Addr]
		m := g.members[to]
		if m == nil {
			continue
		}
		g.add(from, to, from, envelope{ID: s.ID, Version: "2.0", Method: s.Method, Params: s.Probe})
		var answer rwprobe.Probe
		if s.Method == "ping" {
			a, out := m.HandlePing(g.now, g.identities[from], s.Probe)
			answer = a
			g.deliver(to, out)
		} else {
			answer = g.relay(from, to, s)
		}
		if s.ID == 0 {
			continue
		}
		g.add(from, to, to, envelope{ID: s.ID, Version: "2.0", Result: answer})
		if g.members[from] != nil {
			g.deliver(from, g.members[from].HandleAnswer(g.now, s.ID, answer))
		}
	}
}

func (g *memberGroup) relay(from, to string, s rwprobecall.ProbeCall) rwprobe.Probe {
	m := g.members[to]
	r := m.HandleIndirectProbe(g.now, g.identities[from], s.Probe)
	target := g.members[g.byAddr[r.Addr]]
	if target == nil {
		return m.IndirectProbeResult(g.now, s.Probe.Target, nil)
	}
	g.add(to, g.byAddr[r.Addr], to, envelope{ID: 1, Version: "2.0", Method: r.Method, Params: r.Probe})
	got, out := target.HandlePing(g.now, g.identities[to], r.Probe)
	g.deliver(g.byAddr[r.Addr], out)
	return m.IndirectProbeResult(g.now, s.Probe.Target, &got)
}

// add counts a message of sender on the link that from opened to another router.
// Real links stay open for days, so the compression history of a new codec is
// first filled with a message of the steady state.
func (g *memberGroup) add(from, to, sender string, v envelope) {
	key := from + ">" + to + ":" + sender
	c := g.codecs[key]
	if c == nil {
		c = rwframe.New(maxMessage)
		g.codecs[key] = c
		id := g.identities[sender]
		old := v
		p := rwprobe.Probe{Name: id.Name, Inc: id.Inc, Rev: 123455, Digest: 1<<52 - 12345}
		if v.Result != nil {
			old.Result = p
		} else {
			old.Params = p
		}
		encodedSize(g.t, c, old)
	}
	g.bytes[sender] += encodedSize(g.t, c, v)
	g.messages++
}

func (g *memberGroup) total() int {
	sum := 0
	for _, n := range g.bytes {
		sum += n
	}
	return sum
}

// memberCosts are the bytes and messages per second of each node in the steady
// state, and the bytes of the whole fleet for one failure and for one start.
type memberCosts struct{ quiet, messages, failure, start float64 }

// TestMembers measures the messages of the membership.
func TestMembers(t *testing.T) { measureMembers(t) }

func measureMembers(t *testing.T) memberCosts {
	const run = 10 * time.Second
	var x, quiet, failure, start, messages []float64
	for _, n := range []int{16, 32, 64, 96, 128} {
		g := newGroup(t, n)
		g.run(20 * time.Second)
		require.Len(t, g.members[g.names[0]].Live(""), n, "the fleet has not formed")
		seconds := run.Seconds()
		bytes, count := g.total(), g.messages
		g.run(run)
		q := float64(g.total() - bytes)
		messages = append(messages, float64(g.messages-count)/seconds/float64(n))
		stopped := g.names[1]
		g.members[stopped] = nil
		bytes = g.total()
		g.run(run)
		require.Len(t, g.members[g.names[0]].Live(""), n-1, "the failure was not seen")
		f := float64(g.total()-bytes) - q
		id := g.identities[stopped]
		id.Inc = g.now.UnixMicro()
		g.identities[stopped] = id
		g.members[stopped] = rwmember.New(id, 99)
		var list []rwvm.VM
		for _, name := range g.names {
			v := g.identities[name]
			list = append(list, rwvm.VM{Name: name, Addr: v.Addr, Zone: v.Zone, Region: v.Region})
		}
		g.members[stopped].SetPublishedVMs(list)
		bytes = g.total()
		g.run(run)
		require.Len(t, g.members[g.names[0]].Live(""), n, "the start was not seen")
		x = append(x, float64(n))
		quiet, failure = append(quiet, q/seconds/float64(n)), append(failure, f)
		start = append(start, float64(g.total()-bytes)-q)
	}
	tb := newTable("member fits", fitColumns...)
	out := memberCosts{
		quiet:    tb.addFit("quiet, B/s a node, by nodes", x, quiet).At(nodes),
		messages: tb.addFit("quiet, messages/s sent a node, by nodes", x, messages).At(nodes),
		failure:  tb.addFit("a failure, bytes of the fleet, by nodes", x, failure).At(nodes),
		start:    tb.addFit("a start, bytes of the fleet, by nodes", x, start).At(nodes),
	}
	tb.write(t)
	return out
}

func hash(name string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(name))) }

func marshal(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func accountRecord(i int, rev int64) rwrecord.Record {
	v := marshal(map[string]any{"share": 1 + i%4, "keys": []string{hash(accountName(i))}})
	return rwrecord.Record{Kind: "account", Name: accountName(i), Rev: rev, Schema: 1, Value: v}
}

func upstreamRecord(i int, rev int64) rwrecord.Record {
	v := marshal(map[string]any{
		"pool": fmt.Sprintf("model-%02d", i%models), "zone": fmt.Sprint("zone-", i/models%zones), "type": "engine",
		"addr": fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1), "window": 160, "state": "live", "inc": 1,
	})
	return rwrecord.Record{Kind: "upstream", Name: fmt.Sprintf("engine-%03d", i), Rev: rev, Schema: 1, Value: v}
}

func vmRecord(i int, rev int64) rwrecord.Record {
	id := routerID(i)
	v := marshal(map[string]any{"addr": id.Addr, "http": id.Addr, "zone": id.Zone, "region": id.Region, "state": "live"})
	return rwrecord.Record{Kind: "vm", Name: id.Name, Rev: rev, Schema: 1, Value: v}
}

func kindRecord(i int, rev int64) rwrecord.Record {
	v := marshal(map[string]any{"urgency": i % 4, "pool": fmt.Sprintf("model-%02d", i), "idempotent": true, "repeat": 600})
	return rwrecord.Record{Kind: "kind", Name: fmt.Sprintf("kind-%02d", i), Rev: rev, Schema: 1, Value: v}
}

// configuration returns records for the given number of tenths of the size in two
// years.
func configuration(tenths int) []rwrecord.Record {
	var out []rwrecord.Record
	rev := int64(0)
	add := func(n int, record func(int, int64) rwrecord.Record) {
		for i := range n {
			rev++
			out = append(out, record(i, rev))
		}
	}
	add(accounts*tenths/10, accountRecord)
	add(upstreams*tenths/10, upstreamRecord)
	add(nodes*tenths/10, vmRecord)
	add(models, kindRecord)
	return out
}

// configCosts are sizes in bytes, after compression except for raw.
type configCosts struct{ push, copy, raw, sums float64 }

// TestConfig measures the bytes that distribute the configuration.
func TestConfig(t *testing.T) { measureConfig(t) }

func measureConfig(t *testing.T) configCosts {
	var x, framed, raw, one []float64
	sums := 0
	for _, tenths := range []int{1, 2, 4, 6} {
		items := configuration(tenths)
		c, plain, size := rwframe.New(maxMessage), 0, 0
		encodedSize(t, c, envelope{Version: "2.0", Method: "hello"})
		for _, b := range rwbundle.Split(items) {
			data, err := json.Marshal(b)
			require.NoError(t, err)
			plain += len(data)
			size += encodedSize(t, c, envelope{ID: 1, Version: "2.0", Result: b})
		}
		x, raw, framed = append(x, float64(len(items))), append(raw, float64(plain)), append(framed, float64(size))
		// The first changes fill the compression history of the link, since
		// real links have carried other changes before.
		push := rwframe.New(maxMessage)
		changes := 0
		for i := range 20 {
			r := accountRecord(i*7, int64(len(items)+i+1))
			n := encodedSize(t, push, envelope{Version: "2.0", Method: "push", Params: rwbundle.Bundle{Items: []rwrecord.Record{r}}})
			if i >= 10 {
				changes += n
			}
		}
		one = append(one, float64(changes)/10)
		s := rwstore.New()
		s.Apply(items)
		sums = encodedSize(t, push, envelope{ID: 2, Version: "2.0", Method: "pull", Params: rwpull.Pull{Checksums: s.BucketDigests()}})
	}
	tb := newTable("config fits", fitColumns...)
	tb.addFit("a push, bytes a receiver, by records", x, one)
	out := configCosts{
		push: one[len(one)-1], sums: float64(sums),
		raw:  tb.addFit("a whole copy before compression, bytes, by records", x, raw).At(records),
		copy: tb.addFit("a whole copy, bytes, by records", x, framed).At(records),
	}
	tb.write(t)
	return out
}
