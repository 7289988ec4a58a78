// Package rwconfsync keeps a router's configuration up to date: from the
// platform if the router is a reader of its zone, from other routers in any
// case.
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
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstore"
)

const (
	// readers is the number of routers of each zone that watch the platform.
	readers = 2
	// watchWait is short, because a watch that hangs can't be told from one
	// that waits. With watchSlack it bounds how long a hanging watch hides a
	// change. It costs a reader one call in 2 s.
	watchWait  = 2 * time.Second
	watchSlack = 500 * time.Millisecond
	// quickReturn is the time below which a watch that brought nothing new is
	// taken for a failure, so that a platform that doesn't wait isn't called
	// in a loop.
	quickReturn = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = time.Second
	rolePoll    = 100 * time.Millisecond
	// roleDelay lets membership settle after a start, so that the routers of
	// a starting fleet don't all become readers for a moment.
	roleDelay   = time.Second
	pullTimeout = time.Second
	startPoll   = 100 * time.Millisecond
	// startFull is the number of peers that a starting router without records
	// asks for all of them: 157 KB each for 4,100 records. Two, so that one unreachable peer doesn't delay the start. The
	// startBatch peers after them send only what differs.
	startFull  = 2
	startBatch = 8
	// settled is how long this router's digest must not have changed before a
	// peer's different one is taken for a lost push. Pushes take less.
	settled = 300 * time.Millisecond
	// repairInterval limits repairs, which cost 1 KB each, and repeatInterval
	// those that can bring nothing because neither digest changed.
	repairInterval = 300 * time.Millisecond
	repeatInterval = 5 * time.Second
)

// Syncer is the configuration of one router.
type Syncer struct {
	// OnChange is called with each new snapshot, in order. It is set before
	// Run, may be nil and must not call Leave.
	OnChange func(*rwsnapshot.Snapshot)

	self    rwidentity.Identity
	peers   *rwpeer.Peers
	gossip  *rwgossip.Gossip
	source  *rwplatformclient.Client
	seeds   []string
	log     zerolog.Logger
	metrics *rwmetric.Metrics
	started time.Time

	view  atomic.Pointer[rwsnapshot.Snapshot]
	ready atomic.Bool

	// taking orders changes of the store and the calls of Changed.
	taking sync.Mutex

	mu    sync.Mutex
	store *rwstore.Store
	// changed is when the digest changed last.
	changed time.Time
	// repairs holds the last repair from each peer.
	repairs    map[string]repair
	lastRepair time.Time
	pulling    bool
	// platformLost is whether the last call failed.
	platformLost bool
}

type repair struct {
	mine, theirs uint64
	at           time.Time
}

// New registers the methods "push" and "pull" and sets the Heard and
// LeavingUpstream functions of the membership. The platform is a base URL with
// a final slash.
func New(peers *rwpeer.Peers, gossip *rwgossip.Gossip, platform string, seeds []string, log zerolog.Logger, metrics *rwmetric.Metrics) *Syncer {
	f := &Syncer{
		self:    peers.Self(),
		peers:   peers,
		gossip:  gossip,
		seeds:   seeds,
		log:     log,
		metrics: metrics,
		started: time.Now(),
		store:   rwstore.New(),
		repairs: map[string]repair{},
	}
	f.source = rwplatformclient.New(platform, f.client())
	f.view.Store(f.store.Snapshot())
	peers.Handle("push", f.handlePush)
	peers.Handle("pull", f.handlePull)
	gossip.OnMessage = f.heard
	gossip.OnUpstreamLeaving = f.MarkUpstreamLeaving
	return f
}

// client counts the bytes that calls of the platform send.
func (f *Syncer) client() *http.Client {
	dialer := net.Dialer{Timeout: watchSlack}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: readers,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &counted{Conn: conn, metrics: f.metrics}, nil
		},
	}}
}

type counted struct {
	net.Conn
	metrics *rwmetric.Metrics
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.Add("platform_bytes_sent", int64(n))
	return n, err
}

// Snapshot returns the configuration in force.
func (f *Syncer) Snapshot() *rwsnapshot.Snapshot { return f.view.Load() }

// Ready reports whether there are records, and a peer has answered or none is
// reachable. It never becomes false again.
func (f *Syncer) Ready() bool { return f.ready.Load() }

// MarkUpstreamLeaving takes in that an upstream is leaving, from a peer or from the
// upstream's own answer.
func (f *Syncer) MarkUpstreamLeaving(l rwleaving.Upstream) {
	f.take(nil, []rwleaving.Upstream{l})
}

// Run follows the configuration until the context ends.
func (f *Syncer) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { f.start(ctx) })
	f.read(ctx)
	parts.Wait()
	return nil
}

// read calls the platform: once at the start, and as long as this router is a
// reader.
func (f *Syncer) read(ctx context.Context) {
	backoff, full := minBackoff, true
	for ctx.Err() == nil {
		if !full && !f.reader() {
			sleep(ctx, rolePoll)
			backoff = minBackoff
			continue
		}
		if f.ready.Load() && full && !f.reader() {
			full = false
			continue
		}
		begin := time.Now()
		news, err := f.callPlatform(ctx, full)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && (full || news || time.Since(begin) >= quickReturn):
			full, backoff = false, minBackoff
		default:
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// reader reports whether this router has to watch the platform.
func (f *Syncer) reader() bool {
	if time.Since(f.started) < roleDelay {
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
	for _, n := range names[:min(readers, len(names))] {
		out = append(out, byName[n])
	}
	return out
}

// callPlatform reads or watches once and reports whether that brought news.
func (f *Syncer) callPlatform(ctx context.Context, full bool) (bool, error) {
	f.metrics.Add("platform_calls", 1)
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	var items []rwrecord.Record
	var err error
	if full {
		items, err = f.source.Read(ctx)
	} else {
		items, err = f.source.Watch(ctx, f.Snapshot().Rev(), watchWait)
	}
	f.platformResult(err)
	if err != nil {
		return false, err
	}
	news := f.take(items, nil)
	if len(news) > 0 && !full {
		// A full read is mostly news only to this router. What is news to
		// others too, they see by the revision that this router's probes
		// carry.
		f.push(news, true)
	}
	return len(news) > 0, nil
}

func (f *Syncer) platformResult(err error) {
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

// take adopts records and leaving upstreams and returns the records that are
// news.
func (f *Syncer) take(items []rwrecord.Record, leaving []rwleaving.Upstream) []rwrecord.Record {
	f.taking.Lock()
	defer f.taking.Unlock()
	f.mu.Lock()
	before := f.store.Snapshot()
	news, faults := f.store.Apply(items)
	for _, l := range leaving {
		f.store.MarkUpstreamLeaving(l)
	}
	view, sum, left := f.store.Snapshot(), f.store.Digest(), f.store.Leaving()
	if len(news) > 0 {
		f.changed = time.Now()
	}
	f.mu.Unlock()
	f.report(news, faults)
	if view == before {
		return nil
	}
	f.view.Store(view)
	f.gossip.SetPublishedVMs(view.VMs())
	f.gossip.SetConfigDigest(view.Rev(), sum)
	for _, l := range left {
		f.gossip.AddLeavingUpstream(l)
	}
	if f.OnChange != nil {
		f.OnChange(view)
	}
	return news
}

func (f *Syncer) report(news []rwrecord.Record, faults []error) {
	for _, r := range news {
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

// push sends news to the routers of this zone and, if far is true, to the
// readers of the other zones.
func (f *Syncer) push(news []rwrecord.Record, far bool) {
	slices.SortFunc(news, func(a, b rwrecord.Record) int { return cmp.Compare(a.Rev, b.Rev) })
	to := f.gossip.Live(f.self.Zone)
	if far {
		zones := map[string]bool{f.self.Zone: true}
		for _, r := range f.gossip.Live("") {
			if !zones[r.Zone] {
				zones[r.Zone] = true
				to = append(to, f.readersOf(r.Zone)...)
			}
		}
	}
	for _, b := range rwbundle.Split(news) {
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
	news := f.take(b.Items, b.Leaving)
	if len(news) > 0 && from.Zone != f.self.Zone && f.reader() {
		f.push(news, false)
	}
	return nil, nil
}

func (f *Syncer) handlePull(_ context.Context, _ rwidentity.Identity, params json.RawMessage) (any, error) {
	p, err := rwpull.Decode(params)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	items := f.store.RecordsAfter(p.After)
	if len(p.Checksums) > 0 {
		items = f.store.DifferingRecords(p.Checksums)
	}
	answer := rwbundle.Bundle{}
	if parts := rwbundle.Split(items); len(parts) > 0 {
		answer = parts[0]
	}
	answer.Leaving = f.store.Leaving()
	return answer, nil
}

// heard compares a peer's configuration with this router's. A higher revision
// is fetched at once. A different digest means that one of the two lost a
// push; each fetches what it lacks itself.
func (f *Syncer) heard(from rwidentity.Identity, rev int64, sum uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	mine, myRev := f.store.Digest(), f.view.Load().Rev()
	if sum == mine || f.pulling || now.Sub(f.lastRepair) < repairInterval {
		return
	}
	pull := rwpull.Pull{After: myRev}
	if rev <= myRev {
		last := f.repairs[from.Name]
		same := last.mine == mine && last.theirs == sum
		if now.Sub(f.changed) < settled || (same && now.Sub(last.at) < repeatInterval) {
			return
		}
		f.repairs[from.Name] = repair{mine, sum, now}
		f.lastRepair = now
		pull = rwpull.Pull{Checksums: f.store.BucketDigests()}
	}
	f.pulling = true
	go f.fetch(from, pull)
}

func (f *Syncer) fetch(from rwidentity.Identity, pull rwpull.Pull) {
	defer func() {
		f.mu.Lock()
		f.pulling = false
		f.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	f.metrics.Add("pulls", 1)
	news, err := f.pull(ctx, from.Addr, pull)
	if err == nil && len(news) > 0 && f.ready.Load() && f.reader() {
		f.push(news, false)
	}
}

// pull asks one peer until it has no more records. An answer to sums that
// brings nothing ends it too: the peer may only have older records.
func (f *Syncer) pull(ctx context.Context, addr string, p rwpull.Pull) ([]rwrecord.Record, error) {
	var news []rwrecord.Record
	for {
		var raw json.RawMessage
		if err := f.peers.Call(ctx, addr, "pull", p, &raw); err != nil {
			return news, err
		}
		b, err := rwbundle.Decode(raw)
		if err != nil {
			return news, err
		}
		fresh := f.take(b.Items, b.Leaving)
		news = append(news, fresh...)
		if !b.More || len(b.Items) == 0 || (len(p.Checksums) > 0 && len(fresh) == 0) {
			return news, nil
		}
		if len(p.Checksums) > 0 {
			p = f.differing()
		} else {
			p.After = b.Items[len(b.Items)-1].Rev
		}
	}
}

// differing asks for what another store has and this one doesn't.
func (f *Syncer) differing() rwpull.Pull {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rwpull.Pull{Checksums: f.store.BucketDigests()}
}

func (f *Syncer) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Empty()
}

// start asks peers until the router is ready: when a peer has answered and
// others were asked for what differs, or when no peer is left to ask.
func (f *Syncer) start(ctx context.Context) {
	tried, answered, compared := map[string]bool{}, false, false
	for ctx.Err() == nil {
		p, batch := rwpull.Pull{}, startFull
		if !f.empty() {
			p, batch = f.differing(), startBatch
			compared = true
		}
		addrs := f.untried(tried)
		addrs = addrs[:min(batch, len(addrs))]
		for _, a := range addrs {
			tried[a] = true
		}
		answered = f.askPeers(ctx, addrs, p) || answered
		empty := f.empty()
		if !empty && ((answered && compared) || len(f.untried(tried)) == 0) {
			f.ready.Store(true)
			return
		}
		if empty && len(addrs) == 0 {
			// The peers may only be starting, so they are asked again.
			clear(tried)
		}
		sleep(ctx, startPoll)
	}
}

// untried returns the next addresses to ask: seeds, members and published VMs.
func (f *Syncer) untried(tried map[string]bool) []string {
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

// askPeers asks all the addresses and reports whether one answered.
func (f *Syncer) askPeers(ctx context.Context, addrs []string, p rwpull.Pull) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
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
