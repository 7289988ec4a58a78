// Package rwbubble connects entry routers and owners of cells in one process, for
// tests and measurements in a bubble of testing/synctest, where time is virtual. It
// runs the real policies, owners and codecs; links and engines are minimal fakes.
package rwbubble

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwfleetpolicy"
	"redwingworks.example/internal/rwframe"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwowner"
	"redwingworks.example/internal/rwprefix"
	"redwingworks.example/internal/rwqueue"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwupstream"
)

const (
	// cachedPrefixes is the number of prompt prefixes in the cache of an engine.
	cachedPrefixes = 12
	// envelopeBytes is the size of the JSON-RPC envelope of a message.
	envelopeBytes = 45
	// maxMessage is the largest message of a link in bytes.
	maxMessage   = 1_200_000
	tickInterval = 50 * time.Millisecond
)

// Fleet is a set of routers and engines in one process.
type Fleet struct {
	// Delay is the one-way latency between routers.
	Delay time.Duration
	// Compress enables the counts of CompressedBytes. It must be set before
	// Start. Large tests leave it off, since compression takes CPU time.
	Compress bool

	ctx      context.Context
	snapshot *rwsnapshot.Snapshot
	cells    []rwcell.Cell
	engines  map[string]*engine

	mu           sync.Mutex
	random       *rand.Rand
	lossRate     float64
	routers      map[string]*router
	blocked      func(from, to rwidentity.Identity) bool
	sentBytes    map[string]int64
	sentMessages map[string]int64
	refused      map[rwcode.Code]int
	// codecs holds one codec for each ordered pair of routers.
	codecs          map[[2]string]*rwframe.Codec
	compressedBytes map[string]map[string]int64
}

type router struct {
	self   rwidentity.Identity
	policy *rwfleetpolicy.Policy
	owner  *rwowner.Owner
	stop   context.CancelFunc
}

// New returns a fleet with the given records and an engine for each upstream.
// step is the time between tokens. The fleet runs until the context ends.
func New(ctx context.Context, seed uint64, accounts []rwaccount.Account, kinds []rwkind.Kind, ups []rwupstream.Upstream, cellSize int, step time.Duration) *Fleet {
	f := &Fleet{
		Delay:           time.Millisecond,
		ctx:             ctx,
		snapshot:        rwsnapshot.Empty().WithRev(1).WithAccounts(accounts).WithKinds(kinds).WithUpstreams(ups),
		engines:         map[string]*engine{},
		random:          rand.New(rand.NewPCG(seed, 1)),
		routers:         map[string]*router{},
		sentBytes:       map[string]int64{},
		sentMessages:    map[string]int64{},
		refused:         map[rwcode.Code]int{},
		codecs:          map[[2]string]*rwframe.Codec{},
		compressedBytes: map[string]map[string]int64{},
	}
	f.cells = rwcell.Partition(f.snapshot, cellSize)
	for _, u := range ups {
		e := newEngine(u.Window, step)
		f.engines[u.Name] = e
		go e.run(ctx)
	}
	return f
}

// Start adds a router with a new incarnation. The others don't use it until they
// are given a list with it by SetLive.
func (f *Fleet) Start(name, zone string) rwidentity.Identity {
	self := rwidentity.Identity{Name: name, Zone: zone, Region: "main", Addr: name, Inc: time.Now().UnixMicro()}
	ctx, stop := context.WithCancel(f.ctx)
	r := &router{self: self, policy: rwfleetpolicy.New(self, uint64(self.Inc)), owner: rwowner.New(self), stop: stop}
	send := func(to rwidentity.Identity, method string, m *rwslotmessage.Message) { f.send(self, to, method, m) }
	r.policy.Snapshot = func() *rwsnapshot.Snapshot { return f.snapshot }
	r.policy.Now = time.Now
	r.policy.Send = send
	r.owner.Send = send
	f.mu.Lock()
	f.routers[name] = r
	f.mu.Unlock()
	go func() { _ = r.policy.Run(ctx) }()
	go r.tick(ctx)
	return self
}

func (r *router) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.owner.Tick(time.Now())
		}
	}
}

// Kill stops a router: new requests at it fail and messages to it are dropped.
func (f *Fleet) Kill(name string) {
	f.mu.Lock()
	r := f.routers[name]
	delete(f.routers, name)
	f.mu.Unlock()
	r.stop()
}

// SetPrefixAffinity makes the current routers prefer the engine that ran the
// prefix of a request last. It can't be turned off again.
func (f *Fleet) SetPrefixAffinity(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if on {
			r.policy.Affinity = rwprefix.New()
		}
	}
}

// SetLoss sets the fraction of messages that are lost.
func (f *Fleet) SetLoss(loss float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = loss
}

// Block drops the messages between the routers for which the function returns
// true. With nil, no message is dropped.
func (f *Fleet) Block(blocked func(from, to rwidentity.Identity) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

// SetLive sets the routers that a router treats as live.
func (f *Fleet) SetLive(name string, live []rwidentity.Identity) {
	f.mu.Lock()
	r := f.routers[name]
	f.mu.Unlock()
	r.policy.Update(f.cells, live)
	r.owner.Update(time.Now(), f.snapshot, f.cells, live)
}

func (f *Fleet) send(from, to rwidentity.Identity, method string, m *rwslotmessage.Message) {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.Name != to.Name {
		f.sentBytes[from.Name] += int64(len(data)) + envelopeBytes
		f.sentMessages[method]++
		f.addCompressed(from.Name, to.Name, method, data)
		if f.lossRate > 0 && f.random.Float64() < f.lossRate {
			return
		}
		if f.blocked != nil && f.blocked(from, to) {
			return
		}
	}
	delay := f.Delay
	if from.Name == to.Name {
		delay = 0
	}
	time.AfterFunc(delay, func() { f.deliver(from, to, method, data) })
}

// notification has the JSON form of a JSON-RPC notification.
type notification struct {
	Version string          `json:"jsonrpc"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params"`
}

// addCompressed counts the bytes of a message on its link. Lost messages count
// too, since they were written to the link.
func (f *Fleet) addCompressed(from, to, method string, data []byte) {
	if !f.Compress {
		return
	}
	link := [2]string{from, to}
	if f.codecs[link] == nil {
		f.codecs[link] = rwframe.New(maxMessage)
	}
	if f.compressedBytes[from] == nil {
		f.compressedBytes[from] = map[string]int64{}
	}
	var n byteCounter
	if err := f.codecs[link].WriteObject(&n, notification{"2.0", method, data}); err != nil {
		panic(err)
	}
	f.compressedBytes[from][method] += int64(n)
}

type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// CompressedBytes returns the bytes that each router sent to others by method,
// after compression.
func (f *Fleet) CompressedBytes() map[string]map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]map[string]int64{}
	for name, methods := range f.compressedBytes {
		out[name] = maps.Clone(methods)
	}
	return out
}

func (f *Fleet) deliver(from, to rwidentity.Identity, method string, data []byte) {
	f.mu.Lock()
	r := f.routers[to.Name]
	f.mu.Unlock()
	if r == nil {
		return
	}
	var m rwslotmessage.Message
	if err := json.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	now := time.Now()
	switch method {
	case rwslotmessage.Want:
		r.owner.HandleWant(now, from, &m)
	case rwslotmessage.Sync:
		r.owner.HandleSync(now, from, &m)
	case rwslotmessage.Report:
		r.owner.HandleReport(now, &m)
	case rwslotmessage.Grant:
		r.policy.HandleGrants(from, &m)
	case rwslotmessage.Check:
		r.policy.HandleCheck(from, &m)
	case rwslotmessage.Owner:
		r.policy.Resync(from, m.Cell)
	}
}

// Request runs a request with the given number of tokens at a router and returns
// its error.
func (f *Fleet) Request(ctx context.Context, at string, q *rwrequest.Request, tokens int) error {
	f.mu.Lock()
	r := f.routers[at]
	f.mu.Unlock()
	if r == nil {
		return rwfault.New(rwcode.PeerUnreachable, at)
	}
	q.Arrived = time.Now()
	s, err := r.policy.Acquire(ctx, q)
	if err != nil {
		return err
	}
	start := time.Now()
	if start.After(s.Expires) {
		s.Done(0, 0, 0, rwcode.GrantExpired)
		return rwfault.New(rwcode.GrantExpired, q.ID)
	}
	f.engines[s.Upstream.Name].lookUpPrefix(q.PrefixHash)
	first := f.engines[s.Upstream.Name].generate(f.ctx, rwqueue.FlowKey{Account: q.Account, Kind: q.Kind}, tokens, s.ReportCost)
	s.Done(float64(tokens), first, time.Since(start), rwcode.None)
	return f.ctx.Err()
}

// Served returns the tokens that all engines generated so far by account.
func (f *Fleet) Served() map[string]float64 {
	out := map[string]float64{}
	for flow, v := range f.ServedByKind() {
		out[flow.Account] += v
	}
	return out
}

// ServedByKind returns the tokens that all engines generated so far by account
// and kind.
func (f *Fleet) ServedByKind() map[rwqueue.FlowKey]float64 {
	out := map[rwqueue.FlowKey]float64{}
	for _, e := range f.engines {
		e.addServed(out)
	}
	return out
}

// Utilization returns the fraction of the engines' slots that was in use since
// the start.
func (f *Fleet) Utilization() float64 {
	used, all := 0.0, 0.0
	for _, e := range f.engines {
		e.mu.Lock()
		used += float64(e.busySlotSteps)
		all += float64(e.steps * e.slots)
		e.mu.Unlock()
	}
	return used / max(all, 1)
}

// CacheHitRate returns the fraction of requests whose prefix was in the cache of
// their engine.
func (f *Fleet) CacheHitRate() float64 {
	hits, lookups := 0, 0
	for _, e := range f.engines {
		e.mu.Lock()
		hits += e.hits
		lookups += e.lookups
		e.mu.Unlock()
	}
	return float64(hits) / max(float64(lookups), 1)
}

// Traffic returns the bytes before compression that each router sent to others,
// and the number of messages by method.
func (f *Fleet) Traffic() (bytes, count map[string]int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bytes, count = map[string]int64{}, map[string]int64{}
	for k, v := range f.sentBytes {
		bytes[k] = v
	}
	for k, v := range f.sentMessages {
		count[k] = v
	}
	return bytes, count
}

// engine fakes continuous batching: in each step, each request of the batch gets
// one token.
type engine struct {
	slots int
	step  time.Duration

	mu                   sync.Mutex
	waiting              []*request
	batch                []*request
	busySlotSteps, steps int
	served               map[rwqueue.FlowKey]float64
	// cache holds prefixes, the most recently used one at the end.
	cache         []uint64
	hits, lookups int
}

type request struct {
	flow       rwqueue.FlowKey
	tokensLeft int
	tokensDone float64
	reportCost func(float64)
	firstToken chan struct{}
	finished   chan struct{}
}

func newEngine(slots int, step time.Duration) *engine {
	return &engine{slots: slots, step: step, served: map[rwqueue.FlowKey]float64{}}
}

func (e *engine) run(ctx context.Context) {
	t := time.NewTicker(e.step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.advance()
		}
	}
}

// lookUpPrefix counts whether a prefix is cached and moves it to the end of the
// cache.
func (e *engine) lookUpPrefix(prefix uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lookups++
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.hits++
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
}

func (e *engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch) < e.slots && len(e.waiting) > 0 {
		e.batch = append(e.batch, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.steps++
	e.busySlotSteps += len(e.batch)
	kept := e.batch[:0]
	for _, j := range e.batch {
		e.served[j.flow]++
		j.tokensDone++
		j.tokensLeft--
		if j.tokensDone == 1 {
			close(j.firstToken)
		}
		if j.reportCost != nil {
			j.reportCost(j.tokensDone)
		}
		if j.tokensLeft > 0 {
			kept = append(kept, j)
		} else {
			close(j.finished)
		}
	}
	e.batch = kept
}

func (e *engine) generate(ctx context.Context, flow rwqueue.FlowKey, tokens int, reportCost func(float64)) time.Duration {
	start := time.Now()
	j := &request{flow: flow, tokensLeft: tokens, reportCost: reportCost, firstToken: make(chan struct{}), finished: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, j)
	e.mu.Unlock()
	first := time.Duration(0)
	select {
	case <-j.firstToken:
		first = time.Since(start)
	case <-ctx.Done():
	}
	select {
	case <-j.finished:
	case <-ctx.Done():
	}
	return first
}

func (e *engine) addServed(out map[rwqueue.FlowKey]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for flow, v := range e.served {
		out[flow] += v
	}
}
