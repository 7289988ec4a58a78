// Package rwconfsync keeps a router's configuration up to date. Every router
// gets changes from other routers; the readers of each zone also watch the
// platform.
package rwconfsync

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwbundle"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdeflater"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwgossip"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwplatformclient"
	"redwingworks.example/internal/rwpull"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstore"
)

const (
	// readersPerZone is the number of routers of each zone that watch the platform.
	readersPerZone = 2
	// watchWait is the long-poll time of a watch. It is short, because a watch
	// that hangs looks like one that waits: watchWait plus watchSlack bounds
	// how long a hanging watch hides a change. It costs a reader one call in
	// 2 s.
	watchWait  = 2 * time.Second
	watchSlack = 500 * time.Millisecond
	// minWatchTime is the shortest duration of a successful watch without
	// changes. A shorter one counts as a failure, so that a platform that
	// doesn't wait isn't called in a busy loop.
	minWatchTime       = time.Second
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = time.Second
	readerPollInterval = 100 * time.Millisecond
	// readerStartDelay lets membership converge, so that the routers of a
	// starting fleet don't all become readers for a moment.
	readerStartDelay  = time.Second
	pullTimeout       = time.Second
	startPollInterval = 100 * time.Millisecond
	// startFullPulls is the number of peers at a time from which a starting
	// router without records requests all of them: 157 KB each for 4,100
	// records. It is 2, so that one unreachable peer doesn't delay the start.
	// Later pulls go to startRepairPulls peers at a time and fetch only
	// differing records.
	startFullPulls   = 2
	startRepairPulls = 8
	// digestSettleTime is how long this router's digest must be unchanged
	// before a different digest of a peer counts as a lost push. Pushes arrive
	// within this time.
	digestSettleTime = 300 * time.Millisecond
	// repairInterval is the least time between two repairs, which cost 1 KB
	// each, and from a repair to a pull of later records.
	// repeatedRepairInterval is the least time between repairs with the same
	// peer while neither digest changes, which find nothing new.
	repairInterval         = 300 * time.Millisecond
	repeatedRepairInterval = 5 * time.Second
)

// Syncer synchronizes the configuration of one router.
type Syncer struct {
	// OnChange is called with each new snapshot, in order. It must be set
	// before Run, may be nil and must not call MarkUpstreamLeaving.
	OnChange func(*rwsnapshot.Snapshot)
	// Dial opens a connection to the platform. It must be set before Run; New
	// sets it to the DialContext of a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	self     rwidentity.Identity
	peers    *rwpeer.Peers
	gossip   *rwgossip.Gossip
	platform *rwplatformclient.Client
	seeds    []string
	log      zerolog.Logger
	metrics  *rwmetric.Metrics
	started  time.Time

	snapshot atomic.Pointer[rwsnapshot.Snapshot]
	ready    atomic.Bool

	// sending has a value for each part that is being sent.
	sending  chan struct{}
	deflater rwdeflater.Deflater

	// applyMu serializes changes of the store and the calls of OnChange.
	applyMu sync.Mutex

	mu    sync.Mutex
	store *rwstore.Store
	// digestChanged is the time of the last change of the digest.
	digestChanged time.Time
	// repairs holds the last repair with each peer, by name.
	repairs    map[string]repairAttempt
	lastRepair time.Time
	pulling    bool
	// platformLost reports whether the last call of the platform failed.
	platformLost bool
}

type repairAttempt struct {
	mine, theirs uint64
	at           time.Time
}

// New registers the handlers of "push", "pull" and "part" and sets the OnMessage and
// OnUpstreamLeaving callbacks of the membership. The platform is a base URL
// with a trailing slash.
func New(peers *rwpeer.Peers, gossip *rwgossip.Gossip, platform string, seeds []string, log zerolog.Logger, metrics *rwmetric.Metrics) *Syncer {
	f := &Syncer{
		Dial:    (&net.Dialer{Timeout: watchSlack}).DialContext,
		self:    peers.Self(),
		peers:   peers,
		gossip:  gossip,
		seeds:   seeds,
		log:     log,
		metrics: metrics,
		started: time.Now(),
		store:   rwstore.New(),
		repairs: map[string]repairAttempt{},
		sending: make(chan struct{}, maxSending),
	}
	f.platform = rwplatformclient.New(platform, f.client())
	f.snapshot.Store(f.store.Snapshot())
	peers.Handle("push", f.handlePush)
	peers.Handle("pull", f.handlePull)
	peers.Handle("part", f.handlePart)
	gossip.OnMessage = f.compareDigests
	gossip.OnUpstreamLeaving = f.MarkUpstreamLeaving
	return f
}

// client returns an HTTP client for the platform that counts the sent bytes.
func (f *Syncer) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: readersPerZone,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := f.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, metrics: f.metrics}, nil
		},
	}}
}

type countingConn struct {
	net.Conn
	metrics *rwmetric.Metrics
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.Add("platform_bytes_sent", int64(n))
	return n, err
}

// Snapshot returns the active configuration.
func (f *Syncer) Snapshot() *rwsnapshot.Snapshot { return f.snapshot.Load() }

// Ready reports whether the router has records and either a peer has answered
// and a pull of differing records was tried, or all known peers were asked. Once
// true, it stays true.
func (f *Syncer) Ready() bool { return f.ready.Load() }

// MarkUpstreamLeaving records that an upstream is leaving, as a peer or the
// upstream itself reported.
func (f *Syncer) MarkUpstreamLeaving(l rwleaving.Upstream) {
	f.apply(nil, []rwleaving.Upstream{l})
}

// Run synchronizes the configuration until the context ends.
func (f *Syncer) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { f.bootstrap(ctx) })
	f.runReader(ctx)
	parts.Wait()
	return nil
}

// runReader reads the platform at the start, until that succeeds or the router
// is ready and not a reader, and watches it as long as this router is a reader.
func (f *Syncer) runReader(ctx context.Context) {
	backoff, full := minBackoff, true
	for ctx.Err() == nil {
		if !full && !f.isReader() {
			sleep(ctx, readerPollInterval)
			backoff = minBackoff
			continue
		}
		if f.ready.Load() && full && !f.isReader() {
			full = false
			continue
		}
		begin := time.Now()
		changed, err := f.callPlatform(ctx, full)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && (full || changed || time.Since(begin) >= minWatchTime):
			full, backoff = false, minBackoff
		default:
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// isReader reports whether this router has to watch the platform for its zone.
func (f *Syncer) isReader() bool {
	if time.Since(f.started) < readerStartDelay {
		return false
	}
	for _, r := range f.readersOf(f.self.Zone) {
		if r.Name == f.self.Name {
			return true
		}
	}
	return false
}

func (f *Syncer) readersOf(zone string) []rwidentity.Identity {
	live := f.gossip.Live(zone)
	byName := make(map[string]rwidentity.Identity, len(live))
	names := make([]string, 0, len(live))
	for _, r := range live {
		byName[r.Name] = r
		names = append(names, r.Name)
	}
	names = rwrendezvous.Order("reader", names)
	var out []rwidentity.Identity
	for _, n := range names[:min(readersPerZone, len(names))] {
		out = append(out, byName[n])
	}
	return out
}

// callPlatform reads or watches the platform once and reports whether that
// brought new records.
func (f *Syncer) callPlatform(ctx context.Context, full bool) (bool, error) {
	f.metrics.Add("platform_calls", 1)
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	var items []rwrecord.Record
	var err error
	if full {
		items, err = f.platform.Read(ctx)
	} else {
		items, err = f.platform.Watch(ctx, f.Snapshot().Rev(), watchWait)
	}
	f.recordPlatformResult(err)
	if err != nil {
		return false, err
	}
	applied := f.apply(items, nil)
	if len(applied) > 0 && !full {
		// Most records of a full read are new to this router only. If others
		// lack one, they notice by the revision or digest in this router's
		// probes.
		f.push(applied, true)
	}
	return len(applied) > 0, nil
}

func (f *Syncer) recordPlatformResult(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.metrics.Add("platform_failures", 1)
	}
	if f.platformLost == (err != nil) {
		return
	}
	f.platformLost = err != nil
	if err != nil {
		rwlog.Warn(&f.log, rwlog.PlatformLost, err).Send()
		return
	}
	rwlog.Info(&f.log, rwlog.PlatformRestored).Send()
}

// apply applies records and leaving upstreams to the store, publishes the new
// snapshot and returns the records that were new.
func (f *Syncer) apply(items []rwrecord.Record, leaving []rwleaving.Upstream) []rwrecord.Record {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	before := f.store.Snapshot()
	applied, faults := f.store.Apply(items)
	for _, l := range leaving {
		f.store.MarkUpstreamLeaving(l)
	}
	snapshot, digest, left := f.store.Snapshot(), f.store.Digest(), f.store.Leaving()
	if len(applied) > 0 {
		f.digestChanged = time.Now()
	}
	f.mu.Unlock()
	f.logApplied(applied, faults)
	if snapshot == before {
		return nil
	}
	f.snapshot.Store(snapshot)
	f.gossip.SetPublishedVMs(snapshot.VMs())
	f.gossip.SetConfigDigest(rwrevision.Revision{Rev: snapshot.Rev()}, digest)
	for _, l := range left {
		f.gossip.AddLeavingUpstream(l)
	}
	if f.OnChange != nil {
		f.OnChange(snapshot)
	}
	return applied
}

func (f *Syncer) logApplied(applied []rwrecord.Record, faults []error) {
	for _, r := range applied {
		f.metrics.Add("records_news", 1)
		rwlog.Info(&f.log, rwlog.RecordAdopted).Str("kind", r.Kind).Str("record", r.Name).Int64("rev", r.Rev).Send()
	}
	for _, err := range faults {
		fault := rwfault.From(err)
		f.metrics.Refused(fault.Code)
		if fault.Code == rwcode.RecordStale {
			rwlog.Info(&f.log, rwlog.RecordStale).Str("detail", fault.Error()).Send()
			continue
		}
		rwlog.Warn(&f.log, rwlog.RecordSetAside, err).Send()
	}
}

// push sends records to the routers of this zone and, if otherZones is set, to
// the readers of the other zones.
func (f *Syncer) push(records []rwrecord.Record, otherZones bool) {
	slices.SortFunc(records, func(a, b rwrecord.Record) int { return cmp.Compare(a.Rev, b.Rev) })
	to := f.gossip.Live(f.self.Zone)
	if otherZones {
		zones := map[string]bool{f.self.Zone: true}
		for _, r := range f.gossip.Live("") {
			if !zones[r.Zone] {
				zones[r.Zone] = true
				to = append(to, f.readersOf(r.Zone)...)
			}
		}
	}
	for _, b := range rwbundle.Split(records) {
		if b.IsLarge() {
			// Others see the revision or digest in the probes, and pull the records.
			continue
		}
		for _, r := range to {
			if r.Name != f.self.Name {
				f.peers.Notify(r.Addr, "push", b)
			}
		}
	}
}

func (f *Syncer) handlePush(_ context.Context, from rwidentity.Identity, params json.RawMessage) (any, error) {
	b, err := rwbundle.Decode(params)
	if err != nil {
		return nil, err
	}
	applied := f.apply(b.Items, b.Leaving)
	if len(applied) > 0 && from.Zone != f.self.Zone && f.isReader() {
		f.push(applied, false)
	}
	return nil, nil
}

func (f *Syncer) handlePull(_ context.Context, _ rwidentity.Identity, params json.RawMessage) (any, error) {
	p, err := rwpull.Decode(params)
	if err != nil {
		return nil, err
	}
	answer := f.firstBundle(p)
	if p.Parts && answer.IsLarge() {
		answer.Items, answer.InParts = nil, true
	}
	return answer, nil
}

// compareDigests compares a peer's configuration with this router's. It does
// nothing while a pull is in progress or for repairInterval after a repair. If
// the peer has a higher revision, the later records are pulled without waiting
// for digestSettleTime. If its revision is equal or lower but the digests
// differ, one of the two lost a push; each router pulls the records that it
// lacks itself.
func (f *Syncer) compareDigests(from rwidentity.Identity, rev rwrevision.Revision, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	mine, myRev := f.store.Digest(), f.snapshot.Load().Rev()
	if digest == mine || f.pulling || now.Sub(f.lastRepair) < repairInterval {
		return
	}
	pull := rwpull.Pull{After: myRev}
	if rev.Rev <= myRev {
		last := f.repairs[from.Name]
		same := last.mine == mine && last.theirs == digest
		if now.Sub(f.digestChanged) < digestSettleTime || (same && now.Sub(last.at) < repeatedRepairInterval) {
			return
		}
		f.repairs[from.Name] = repairAttempt{mine, digest, now}
		f.lastRepair = now
		pull = rwpull.Pull{Checksums: f.store.BucketDigests()}
	}
	f.pulling = true
	go f.pullFrom(from, pull)
}

func (f *Syncer) pullFrom(from rwidentity.Identity, pull rwpull.Pull) {
	defer func() {
		f.mu.Lock()
		f.pulling = false
		f.mu.Unlock()
	}()
	f.metrics.Add("pulls", 1)
	applied, err := f.pull(context.Background(), from.Addr, pull)
	if err == nil && len(applied) > 0 && f.ready.Load() && f.isReader() {
		f.push(applied, false)
	}
}

// pull requests records from one peer until it has no more. A pull with
// checksums also ends when an answer has nothing new: the peer may have only
// older records.
func (f *Syncer) pull(ctx context.Context, addr string, p rwpull.Pull) ([]rwrecord.Record, error) {
	var applied []rwrecord.Record
	for until := time.Now().Add(pullTimeout); ; {
		p.Parts = true
		var raw json.RawMessage
		limited, cancel := context.WithDeadline(ctx, until)
		err := f.peers.Call(limited, addr, "pull", p, &raw)
		cancel()
		if err != nil {
			return applied, err
		}
		b, err := rwbundle.Decode(raw)
		if err != nil {
			return applied, err
		}
		setAside := int64(0)
		if b.InParts {
			if b, setAside, err = f.pullLarge(ctx, addr, p, b); err != nil {
				return applied, err
			}
			// The parts have time limits of their own.
			until = time.Now().Add(pullTimeout)
		}
		fresh := f.apply(b.Items, b.Leaving)
		applied = append(applied, fresh...)
		switch {
		case b.More && setAside > p.After:
			p.After = setAside
		case !b.More || len(b.Items) == 0 || (len(p.Checksums) > 0 && len(fresh) == 0):
			return applied, nil
		case len(p.Checksums) > 0:
			after := p.After
			p = f.repairPull()
			p.After = after
		default:
			p.After = b.Items[len(b.Items)-1].Rev
		}
	}
}

// repairPull returns a request for the records that differ from this store's.
func (f *Syncer) repairPull() rwpull.Pull {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rwpull.Pull{Checksums: f.store.BucketDigests()}
}

func (f *Syncer) isEmpty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Empty()
}

// bootstrap pulls from peers until the router is ready: when it has records and
// either a peer has answered and a pull of differing records was tried, or all
// known peers were asked.
func (f *Syncer) bootstrap(ctx context.Context) {
	tried, answered, compared := map[string]bool{}, false, false
	for ctx.Err() == nil {
		p, batch := rwpull.Pull{}, startFullPulls
		if !f.isEmpty() {
			p, batch = f.repairPull(), startRepairPulls
			compared = true
		}
		addrs := f.untriedAddrs(tried)
		addrs = addrs[:min(batch, len(addrs))]
		for _, a := range addrs {
			tried[a] = true
		}
		answered = f.askPeers(ctx, addrs, p) || answered
		empty := f.isEmpty()
		if !empty && ((answered && compared) || len(f.untriedAddrs(tried)) == 0) {
			f.ready.Store(true)
			return
		}
		if empty && len(addrs) == 0 {
			// The peers may still be starting, so they are asked again.
			clear(tried)
		}
		sleep(ctx, startPollInterval)
	}
}

// untriedAddrs returns the addresses of seeds, members and published VMs that
// were not asked yet, in random order.
func (f *Syncer) untriedAddrs(tried map[string]bool) []string {
	addrs := slices.Clone(f.seeds)
	for _, r := range f.gossip.Live("") {
		addrs = append(addrs, r.Addr)
	}
	for _, v := range f.Snapshot().VMs() {
		addrs = append(addrs, v.Addr)
	}
	slices.Sort(addrs)
	addrs = slices.DeleteFunc(slices.Compact(addrs), func(a string) bool {
		return tried[a] || a == f.self.Addr
	})
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// askPeers pulls from all the addresses concurrently and reports whether any
// answered.
func (f *Syncer) askPeers(ctx context.Context, addrs []string, p rwpull.Pull) bool {
	var answered atomic.Bool
	var calls sync.WaitGroup
	for _, a := range addrs {
		calls.Go(func() {
			if _, err := f.pull(ctx, a, p); err == nil {
				answered.Store(true)
			}
		})
	}
	calls.Wait()
	return answered.Load()
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
