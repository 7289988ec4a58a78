// Package rwtestbed starts a fleet of today's size as real processes: 3 zones, 8
// routers, 10 engines, 3 plain services and 16 client accounts. Proxies between
// the processes inject network faults.
package rwtestbed

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/test/rwdirection"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwlink"
	"redwingworks.example/test/rwproxy"
	"redwingworks.example/test/rwtestaccount"
)

// The pools of the fleet.
const (
	ModelPool = "drafter"
	OrderPool = "orders"
	// Order is a non-idempotent kind of OrderPool, Lookup an idempotent one.
	Order  = "order"
	Lookup = "lookup"
)

const (
	largeShare = 4
	// zoneLatency is the one-way latency between zones. The real one is 0.5 to
	// 1.5 ms.
	zoneLatency = time.Millisecond
	// firstKeyHold replaces the time for which routers hold idempotency keys
	// after the first start of the fleet.
	firstKeyHold = time.Second
)

var (
	// Zones are the availability zones.
	Zones = []string{"za", "zb", "zc"}
	// Kinds are the kinds of ModelPool by urgency.
	Kinds = []string{"now", "soon", "later", "batch"}

	routersPerZone = []int{3, 3, 2}
	enginesPerZone = []int{4, 3, 3}
)

// Testbed is a fleet of processes. Its fields up to Drain must be set before
// Start.
type Testbed struct {
	// Slots is the number of slots of each engine, Step its time between tokens.
	Slots int
	Step  time.Duration
	// Prefill is the time to the first token after a cache miss.
	Prefill time.Duration
	// EqualShares gives all accounts the same share. Otherwise two accounts have
	// a share of 4.
	EqualShares bool
	// ProxyUpstreams puts proxies in front of the upstreams too, so that a
	// partition between zones also separates routers from upstreams.
	ProxyUpstreams bool
	// CheckFencing makes the services of the first zone check fencing tokens.
	CheckFencing bool
	// Policy is the scheduling policy of the routers.
	Policy string
	// Drain is how long a stopping router stays reachable while it is not ready.
	Drain time.Duration

	Accounts          []rwtestaccount.Account
	Platform          *rwfleet.Proc
	Routers           []*rwfleet.Proc
	Engines, Services []*rwfleet.Proc
	fleet             *rwfleet.Fleet
	peers, upstreams  map[string]*rwproxy.Proxy
	platforms         map[string]*rwproxy.Proxy
	partitions        map[[2]string]bool
	zoneOf            map[string]string
	replica           string
}

// New returns a fleet that is not running yet. bin is the directory of the
// programs, logs that of their output.
func New(bin, logs string) *Testbed {
	t := &Testbed{
		Slots:      4,
		Step:       20 * time.Millisecond,
		Policy:     "fleet",
		Drain:      time.Second,
		fleet:      rwfleet.New(bin, logs),
		peers:      map[string]*rwproxy.Proxy{},
		upstreams:  map[string]*rwproxy.Proxy{},
		platforms:  map[string]*rwproxy.Proxy{},
		partitions: map[[2]string]bool{},
		zoneOf:     map[string]string{},
	}
	return t
}

// Start starts all processes and waits until every router is ready.
func (t *Testbed) Start(ctx context.Context) error {
	if err := t.startPlatform(ctx); err != nil {
		return err
	}
	records := t.workRecords()
	upstreams, err := t.startUpstreams()
	if err != nil {
		return err
	}
	vms, err := t.prepareRouters()
	if err != nil {
		return err
	}
	records = append(append(records, upstreams...), vms...)
	if err := rwfleet.Publish(ctx, t.Platform.Addr, records...); err != nil {
		return err
	}
	for _, p := range t.Routers {
		if err := t.StartRouter(p, "--hold", firstKeyHold.String()); err != nil {
			return err
		}
	}
	t.applyLinks()
	for _, p := range t.Routers {
		if err := rwfleet.WaitReady(ctx, p.Addr, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Close stops all processes and proxies.
func (t *Testbed) Close() {
	t.fleet.Close()
	for _, set := range []map[string]*rwproxy.Proxy{t.peers, t.upstreams, t.platforms} {
		for _, p := range set {
			p.Close()
		}
	}
}

func (t *Testbed) startPlatform(ctx context.Context) error {
	var err error
	if t.replica, err = rwfleet.FreeAddr(); err != nil {
		return err
	}
	if t.Platform, err = t.fleet.StartPlatform("--replica", t.replica); err != nil {
		return err
	}
	return rwfleet.WaitReady(ctx, t.Platform.Addr, "/v1/records")
}

// workRecords returns the records of the accounts and kinds, half of them in each
// schema version, and fills Clients.
func (t *Testbed) workRecords() []rwrecord.Record {
	var records []rwrecord.Record
	for i := range 16 {
		c := rwtestaccount.Account{Name: fmt.Sprintf("account-%02d", i), Key: fmt.Sprintf("caller-key-%02d", i), Share: 1}
		if i < 2 && !t.EqualShares {
			c.Share = largeShare
		}
		t.Accounts = append(t.Accounts, c)
		records = append(records, AccountRecord(c, 1+i%2))
	}
	for urgency, name := range Kinds {
		records = append(records, rwfleet.Record("kind", name, 2, map[string]any{"class": name, "pool": ModelPool, "idempotent": true}))
		if urgency%2 == 0 {
			records[len(records)-1] = rwfleet.Record("kind", name, 1, map[string]any{"urgency": urgency, "pool": ModelPool, "idempotent": true})
		}
	}
	return append(records,
		rwfleet.Record("kind", Order, 1, map[string]any{"urgency": 0, "pool": OrderPool, "idempotent": false, "repeat": 60}),
		rwfleet.Record("kind", Lookup, 1, map[string]any{"urgency": 1, "pool": OrderPool, "idempotent": true}),
	)
}

// AccountRecord returns the record of an account in schema version 1 or 2.
func AccountRecord(c rwtestaccount.Account, schema int) rwrecord.Record {
	sum := sha256.Sum256([]byte(c.Key))
	hash := hex.EncodeToString(sum[:])
	if schema == 2 {
		return rwfleet.Record("account", c.Name, 2, map[string]any{
			"weight": 1000 * c.Share, "keys": []map[string]string{{"hash": hash}},
		})
	}
	return rwfleet.Record("account", c.Name, 1, map[string]any{"share": c.Share, "keys": []string{hash}})
}

func (t *Testbed) startUpstreams() ([]rwrecord.Record, error) {
	var records []rwrecord.Record
	for z, zone := range Zones {
		for i := range enginesPerZone[z] {
			p, err := t.fleet.StartEngine(fmt.Sprintf("engine-%s-%d", zone, i), t.Slots, t.Step, "--prefill", t.Prefill.String())
			if err != nil {
				return nil, err
			}
			t.Engines = append(t.Engines, p)
			if records, err = t.addUpstream(records, p, zone, ModelPool, "engine"); err != nil {
				return nil, err
			}
		}
		p, err := t.fleet.StartService("orders-"+zone, "--fence="+fmt.Sprint(t.CheckFencing && z == 0))
		if err != nil {
			return nil, err
		}
		t.Services = append(t.Services, p)
		if records, err = t.addUpstream(records, p, zone, OrderPool, "service"); err != nil {
			return nil, err
		}
	}
	return records, nil
}

func (t *Testbed) addUpstream(records []rwrecord.Record, p *rwfleet.Proc, zone, pool, kind string) ([]rwrecord.Record, error) {
	p.Zone, p.PublishedPeer = zone, p.Addr
	t.zoneOf[p.Name] = zone
	if t.ProxyUpstreams {
		proxy, err := rwproxy.New(p.Addr, t.requestSource)
		if err != nil {
			return nil, err
		}
		t.upstreams[p.Name] = proxy
		p.PublishedPeer = proxy.Addr()
	}
	return append(records, t.UpstreamRecord(p, pool, kind, "live", 1)), nil
}

// UpstreamRecord returns the record of an engine or service of this fleet.
func (t *Testbed) UpstreamRecord(p *rwfleet.Proc, pool, kind, state string, inc int64) rwrecord.Record {
	return rwfleet.Record("upstream", p.Name, 1, map[string]any{
		"pool": pool, "zone": p.Zone, "addr": p.PublishedPeer, "type": kind,
		"window": t.Slots, "state": state, "inc": inc,
		"fence": t.CheckFencing && kind == "service" && p.Zone == Zones[0],
	})
}

func (t *Testbed) prepareRouters() ([]rwrecord.Record, error) {
	var records []rwrecord.Record
	for z, zone := range Zones {
		for i := range routersPerZone[z] {
			p, err := rwfleet.NewRouter(fmt.Sprintf("router-%s-%d", zone, i), zone)
			if err != nil {
				return nil, err
			}
			peer, err := rwproxy.New(p.Peer, helloSource)
			if err != nil {
				return nil, err
			}
			t.peers[p.Name] = peer
			if t.platforms[p.Name], err = rwproxy.New(t.Platform.Addr, nil); err != nil {
				return nil, err
			}
			p.PublishedPeer = peer.Addr()
			t.zoneOf[p.Name] = zone
			t.Routers = append(t.Routers, p)
			records = append(records, rwfleet.VMRecord(p, "live"))
		}
	}
	return records, nil
}

// StartRouter starts or restarts a router. Only the first start of the whole
// fleet may shorten the time for which keys are held.
func (t *Testbed) StartRouter(p *rwfleet.Proc, args ...string) error {
	args = append([]string{"--drain", t.Drain.String(), "--hold", "0s", "--policy", t.Policy}, args...)
	return t.fleet.StartRouter(p, t.platforms[p.Name].Addr(), args...)
}

// Addrs returns the addresses at which the routers accept callers.
func (t *Testbed) Addrs() []string {
	var out []string
	for _, p := range t.Routers {
		out = append(out, p.Addr)
	}
	return out
}

// Partition stalls everything that the processes of one zone send to another until
// Heal. The other direction has to be partitioned separately.
func (t *Testbed) Partition(from, to string) { t.setPartition(from, to, true) }

// Heal ends all partitions between zones.
func (t *Testbed) Heal() {
	clear(t.partitions)
	t.applyLinks()
}

func (t *Testbed) setPartition(from, to string, partitioned bool) {
	t.partitions[[2]string{from, to}] = partitioned
	t.applyLinks()
}

// applyLinks sets the latency and the partitions of all links.
func (t *Testbed) applyLinks() {
	for _, proxies := range []map[string]*rwproxy.Proxy{t.peers, t.upstreams} {
		for target, proxy := range proxies {
			for _, source := range t.Routers {
				proxy.Set(source.Name, t.linkBetween(t.zoneOf[source.Name], t.zoneOf[target]))
			}
		}
	}
}

func (t *Testbed) linkBetween(source, target string) rwlink.Link {
	if source == target {
		return rwlink.Link{}
	}
	return rwlink.Link{
		Up:   rwdirection.Direction{Delay: zoneLatency, Stall: t.partitions[[2]string{source, target}]},
		Down: rwdirection.Direction{Delay: zoneLatency, Stall: t.partitions[[2]string{target, source}]},
	}
}

// PlatformAddr returns the address through which a router reaches the platform.
func (t *Testbed) PlatformAddr(router string) string { return t.platforms[router].Addr() }

// SetPlatformLink changes the connection of a router to the platform.
func (t *Testbed) SetPlatformLink(router string, link rwlink.Link) {
	t.platforms[router].Set("", link)
}

// SetPeerLink changes the connections from one router to another until the next
// Partition or Heal.
func (t *Testbed) SetPeerLink(source, target string, link rwlink.Link) {
	t.peers[target].Set(source, link)
}

// PeerLinks returns the number of open peer links to a router by their source.
func (t *Testbed) PeerLinks(target string) map[string]int { return t.peers[target].Connections() }

// UseReplica connects a router to the platform's replica, which can be made
// stale, or back to the platform itself. Open connections are reset.
func (t *Testbed) UseReplica(router string, stale bool) {
	target := t.Platform.Addr
	if stale {
		target = t.replica
	}
	p := t.platforms[router]
	p.SetTarget(target)
	p.Set("", rwlink.Link{Refuse: true})
	p.Set("", rwlink.Link{})
}

// helloSource returns the router's name from the first line of a peer link.
func helloSource(first []byte) (string, bool) {
	line, _, ok := bytes.Cut(first, []byte("\n"))
	if !ok {
		return "", false
	}
	var hello struct{ Params struct{ Name string } }
	_ = json.Unmarshal(line, &hello)
	return hello.Params.Name, true
}

// requestSource returns the router's name from the first request to an upstream.
// Request identifiers start with that name.
func (t *Testbed) requestSource(first []byte) (string, bool) {
	header, _, ok := bytes.Cut(first, []byte("\r\n\r\n"))
	if !ok {
		return "", false
	}
	for line := range strings.SplitSeq(string(header), "\r\n") {
		id, found := strings.CutPrefix(line, "Redwing-Request: ")
		if !found {
			continue
		}
		for _, p := range t.Routers {
			if strings.HasPrefix(id, p.Name+"-") {
				return p.Name, true
			}
		}
	}
	return "", true
}
