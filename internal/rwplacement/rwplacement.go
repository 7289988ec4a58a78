// Package rwplacement decides which engine runs a model request and when, and
// which requests are refused. It handles these load patterns:
//
//   - Shared prompt parts that fit into the combined KV caches only once: a
//     request goes to the engine that caches its parts, unless queueing there
//     costs more than copying the parts to another engine.
//   - More prompt tokens than the engines can prefill in time: requests queue
//     here and not in the engines, where they would delay everything behind
//     them, and requests that can't meet their target are refused.
//   - A few accounts that demand many times their share: accounts with the least
//     usage go first, and requests of accounts above their max-min fair share
//     are refused while every engine has a long queue.
//   - Long prompts beside short ones on engines that prefill slowly: an engine
//     prefills for a part of the time only, so that the events of its streams
//     are in time (gaps.go), and in a crowded cell requests that can be in time
//     go first (overload.go).
//   - Engines that are cold and bear few requests (cold.go).
//
// The package reads no clock and does no I/O; callers pass the time.
package rwplacement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"redwingworks.example/internal/rwcache"
	"redwingworks.example/internal/rwfailure"
	"redwingworks.example/internal/rwmaxmin"
	"redwingworks.example/internal/rwprefill"
	"redwingworks.example/internal/rwprefillfit"
	"redwingworks.example/internal/rwprefillwindow"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrendezvous"
)

//go:generate go tool stringer -type=Verdict,End,Bound -linecomment

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Queued    Verdict = iota // wait
	Granted                  // granted
	Late                     // late
	OverShare                // over_share
	NoEngine                 // no_engine
	QueueFull                // full
	// Moved means that the router which was asked doesn't decide on the request,
	// so that the cell's next owner has to be asked.
	Moved // moved
)

// End is how a granted request ended.
type End int

// The ends.
const (
	Served      End = iota // served
	Failed                 // failed
	Refused                // refused
	Unreachable            // unreachable
	Abandoned              // abandoned
)

// Bound is what kept a request from an engine when its owner last looked at it.
type Bound int

// The bounds.
const (
	NoBound Bound = iota // none
	// TimeBound requests would be late on the best engine without its queue.
	TimeBound // time
	// SlotBound requests find no engine with a free slot, memory or reach.
	SlotBound // slot
	// QueueBound requests wait for the engine to prefill what it has.
	QueueBound // queue
	// GapBound requests wait because prefilling them would delay the events of the
	// engine's streams.
	GapBound // gap
	// OrderBound requests wait because the engine is kept for one before them.
	OrderBound // order
)

const (
	// forecastTargetRatio is the fraction of the latency target that a forecast
	// may use.
	forecastTargetRatio = 0.8
	// queueTargetRatio is the fraction of the shortest target that may be
	// queued at an engine ahead of a new request. More would not raise the
	// engine's throughput, and prompts without cached parts would never start:
	// the queue would drain no faster than their time runs out.
	queueTargetRatio = 0.15
	// overShareQueueTargetRatio replaces queueTargetRatio for accounts above
	// their share, which leaves room for the requests of other accounts.
	overShareQueueTargetRatio = 0.08
	// overShareRefuseTargetRatio is the fraction of the target that the
	// shortest backlog may reach before requests of accounts above their share
	// are refused.
	overShareRefuseTargetRatio = 0.2
	// starvedShareRatio is the fraction of its share below which an account's
	// requests are granted even if their forecast is late. Possibly no engine
	// caches the parts of its prompts, and none ever would if they were always
	// refused.
	starvedShareRatio = 0.5
	// lateQueueTargetRatio is the fraction of the target that may be queued
	// ahead of a request that would be late even on an idle engine. It is also
	// the fraction after which worthQueueing drops a request that would be late
	// even if its shared parts were cached.
	lateQueueTargetRatio = 0.08
	// targetGrowthPerRequest raises the remembered shortest target with each
	// request, so that it follows a change of the targets.
	targetGrowthPerRequest = 1.002
	// retryMemory is how long refused requests are remembered, to recognise
	// retries.
	retryMemory = 6 * time.Second
	// retryEfficiencyFactor lowers the priority of retries, most of which are
	// past their target already.
	retryEfficiencyFactor = 0.4
	// shareTolerance is how far an account may exceed its share before it
	// counts as above it.
	shareTolerance = 1.1
	// demandTolerance is how far the demand may exceed the estimated capacity
	// before shares are enforced.
	demandTolerance = 1.05
	// fairShareInterval is how long a computed fair share stays valid.
	fairShareInterval = 50 * time.Millisecond
	// copySetupTime is the fixed time to copy KV cache between engines, in
	// addition to the transfer.
	copySetupTime = 10 * time.Millisecond
	// copyCostPerToken weighs copied tokens against queueing: copying 10,000
	// tokens is worth a wait of 80 ms. Copies evict other parts from the
	// caches; with half of this weight, a third of all tokens that entered the
	// caches were copies.
	copyCostPerToken = 8 * time.Microsecond
	// evictionMemory is how long after its last use a shared part is likely to be
	// asked for again at its engine.
	evictionMemory = 10 * time.Second
	// minCopyTokens is the smallest number of tokens worth copying.
	minCopyTokens = 1_500
	// rereadBacklogScale is the mean backlog at which prefilling shared parts
	// again counts twice.
	rereadBacklogScale = 40 * time.Millisecond
	// cacheRatio is the fraction of an engine's KV capacity, after the tokens
	// reserved by running requests, that caches prompt parts.
	cacheRatio = 0.95
	// runningTokensRatio bounds the tokens reserved by running requests;
	// engines preempt requests beyond it.
	runningTokensRatio = 0.7
	// firstEventTimeout takes a prompt off the engine's model if its first
	// event is never reported.
	firstEventTimeout = 4 * time.Second
	// grantTimeout ends a grant whose end is never reported.
	grantTimeout = 30 * time.Second
	// refusedBackoff keeps requests off an engine that refused one.
	refusedBackoff = 150 * time.Millisecond
	// minUnreachableBackoff keeps requests from a zone off an engine that the
	// zone can't reach; it doubles up to maxUnreachableBackoff.
	minUnreachableBackoff = time.Second
	maxUnreachableBackoff = 4 * time.Second
	// failureWeight is the weight of one outcome in an engine's failure rate;
	// failureCost is the delay that a failure rate of 1 counts as.
	failureWeight = 0.25
	failureCost   = time.Second
	// firstEventOverdue is how long after its forecast a missing first event
	// counts as a failure of the engine.
	firstEventOverdue = 800 * time.Millisecond
	// maxQueuedPerAccount bounds the queued requests of one account. Without
	// it, a flood by two accounts kept the cell owner's CPU busy sorting
	// hundreds of requests while the engines idled.
	maxQueuedPerAccount = 24
	// minRetryAfter and maxRetryAfter bound the retry delay given to refused
	// callers.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
)

// Spec describes the engines of a pool.
type Spec struct {
	// Slots is the number of requests that an engine runs concurrently;
	// KVCapacity is the size of its KV cache in tokens.
	Slots, KVCapacity int
	// TokenBytes is the KV cache size of one token; LinkBytesPerSecond is the
	// bandwidth between engines. If either is 0, nothing is copied.
	TokenBytes, LinkBytesPerSecond float64
	// Window is the time constant over which the usage and demand of accounts
	// decay.
	Window time.Duration
}

// Engine is an engine of the placer.
type Engine struct {
	// ID identifies one incarnation of the engine.
	ID string
	// Leaving engines get no new requests, but their cache can still be copied.
	Leaving bool
	// Evacuated engines get no new requests and nothing is copied from them, until
	// their zone is taken back.
	Evacuated bool
	// Software is the version of the software that it runs.
	Software string
}

// Request is a model request to be placed on an engine.
type Request struct {
	// ID is unique across all routers. Router identifies the incarnation of the
	// router that sent the request.
	ID      string          `json:"id"`
	Router  string          `json:"from,omitempty"`
	Account string          `json:"acc"`
	Parts   []rwprompt.Part `json:"parts,omitempty"`
	// UniqueTokens is the number of prompt tokens that no other request shares;
	// ExpectedOutput is the expected number of generated tokens.
	UniqueTokens   int `json:"own"`
	ExpectedOutput int `json:"work"`
	// Zone is the availability zone of the router that sent the request.
	Zone    string `json:"zone"`
	Urgency int    `json:"urg,omitempty"`
	// Target is the latency target of the first event; Elapsed is how much of
	// it has passed.
	Target  time.Duration `json:"tgt"`
	Elapsed time.Duration `json:"ela"`
	// GapTarget is the target for the time between two events, or 0 if there is
	// none.
	GapTarget time.Duration `json:"gap,omitempty"`
	// Resumed is whether the request resumes a broken stream.
	Resumed bool `json:"res,omitempty"`
	// Stream is the id by which a stream is resumed, or empty if it can't be.
	Stream string `json:"stream,omitempty"`
	// Software is the only version of software that may run the request, or
	// empty if any may.
	Software string `json:"sw,omitempty"`
	// Avoid lists engines that have failed this request.
	Avoid []string `json:"avoid,omitempty"`
}

// AffinityKey returns the key that maps requests with a shared prompt to the
// same engine.
func (r Request) AffinityKey() string { return rwprompt.Prompt{Parts: r.Parts}.AffinityKey() }

// Decision is the answer to a Request.
type Decision struct {
	ID      string  `json:"id"`
	Verdict Verdict `json:"v"`
	// Engine is the granted engine, or the best candidate if the request was
	// refused. Source is an engine to copy prompt parts from, or empty.
	Engine string `json:"eng,omitempty"`
	Source string `json:"src,omitempty"`
	// Stream is that of a granted request; Software is that of the engine.
	Stream   string `json:"-"`
	Software string `json:"sw,omitempty"`
	// Forecast is the expected time to the first event. QueuedTokens is the
	// number of tokens that the engine has to prefill before it, including this
	// request's if it was granted; UncachedTokens is the number of this
	// request's tokens to prefill; CachedTokens is the number that the engine
	// has cached.
	Forecast       time.Duration `json:"fc,omitempty"`
	QueuedTokens   int           `json:"ahead,omitempty"`
	UncachedTokens int           `json:"unc,omitempty"`
	// PrefillRate is the prefill speed in tokens per second that the forecast
	// assumes.
	PrefillRate  int `json:"rate,omitempty"`
	CachedTokens int `json:"kept,omitempty"`
	// Usage is what the account was granted over the window, in tokens;
	// FairShare is its fair share, or 0 if shares are not enforced.
	Usage     int `json:"got,omitempty"`
	FairShare int `json:"lvl,omitempty"`
	// Bound is what kept a refused request from its engine, as a text.
	Bound string `json:"bound,omitempty"`
	// Crowded is whether the cell was crowded: requests that returned went last, and
	// prompts that are too long to be in time were refused.
	Crowded bool `json:"crowd,omitempty"`
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration `json:"retry,omitempty"`
	// Cold is whether the granted engine is cold. Such a grant is void some time
	// after it was made, which was Waited after the request reached the owner.
	Cold   bool          `json:"cold,omitempty"`
	Waited time.Duration `json:"wait,omitempty"`
	// ColdEngines is for how long engines of the service stay cold, as the owner that
	// was asked knows it.
	ColdEngines map[string]time.Duration `json:"colds,omitempty"`
}

type engine struct {
	Engine
	cache *rwcache.Cache
	model *rwprefill.Model
	// running is the number of granted requests; reservedTokens is the KV cache
	// that they take, excluding shared parts.
	running, reservedTokens int
	failures                rwfailure.Rate
	// prefills holds when the engine prefills the prompts that were sent to it.
	prefills rwprefillwindow.Window
	// refusedUntil is the end of the backoff after the engine refused a
	// request; outages holds the backoffs of zones that can't reach the engine.
	refusedUntil time.Time
	outages      map[string]outage
}

type outage struct {
	until   time.Time
	backoff time.Duration
}

type grant struct {
	request   Request
	engine    *engine
	grantedAt time.Time
	prompt    *rwprefill.Prompt

	forecast               time.Duration
	hasFirstEvent, overdue bool
}

type account struct {
	// usage and demand are token counts as of updatedAt that decay over the
	// window.
	usage, demand float64
	updatedAt     time.Time
	// late counts the requests that were refused as late since the last Load, by what
	// kept them from their engines.
	late map[string]int
}

// queuedRequest is a request that has no decision yet.
type queuedRequest struct {
	request  Request
	queuedAt time.Time
	// retry is whether the request was refused before.
	retry bool
	// efficiency is the value of the request per token of engine work.
	efficiency float64
	// usage is the account's usage at the time of sorting.
	usage float64
	// bound is what kept the request from its engine.
	bound Bound
	// choice is the engine that the request waits for.
	choice choice
	// worthUntil is until when the request counts as worth queueing.
	worthUntil time.Time
	// yields is whether the request goes after all that don't yield, as of the time
	// of sorting.
	yields bool
	// decided requests are about to be removed from the queue.
	decided bool
}

// Placer places requests on the engines of one cell. It is not safe for
// concurrent use.
type Placer struct {
	// OnForecastError, if set, is called at the first event of a request with
	// the error of its forecast, which is negative if the event came early.
	// Events that are missing or come after firstEventTimeout are not counted.
	OnForecastError func(time.Duration)
	// Cold bounds what cold engines get, if its functions are set.
	Cold Cold

	spec      Spec
	engines   map[string]*engine
	engineIDs []string
	// availableIDs are the engines that may get new requests.
	availableIDs []string
	grants       map[string]*grant
	accounts     map[string]*account
	queue        []*queuedRequest
	fairShare    float64
	fairShareAt  time.Time
	// minTarget is the shortest recent target.
	minTarget time.Duration
	// pool measures the engines together; calibration is what it last showed.
	pool          *rwprefillfit.Fit
	calibration   rwprefill.Calibration
	calibrationAt time.Time
	// minGap is the shortest recent target for the time between events, or 0.
	minGap time.Duration
	// refusedAt holds the times of refusals by the id of the request's unique
	// prompt part, which stays the same when the caller retries.
	refusedAt       map[string]time.Time
	refusedPrunedAt time.Time
	// considered counts the engines that were considered for requests since the last
	// Load. It is what deciding costs, whatever the machine.
	considered int
	// engineless counts the requests without a choice that this tick came to.
	engineless int
}

// New returns a placer without engines.
func New(spec Spec) *Placer {
	return &Placer{
		spec: spec, engines: map[string]*engine{}, grants: map[string]*grant{},
		accounts: map[string]*account{}, fairShare: math.Inf(1), refusedAt: map[string]time.Time{},
		pool: rwprefillfit.New(poolHalfLife),
	}
}

// Streams returns the ids of the running streams that can be resumed.
func (p *Placer) Streams() []string {
	var out []string
	for _, g := range p.grants {
		if g.request.Stream != "" {
			out = append(out, g.request.Stream)
		}
	}
	return out
}

// QueueLength returns the number of queued requests.
func (p *Placer) QueueLength() int { return len(p.queue) }

// Configure replaces the description of the engines.
func (p *Placer) Configure(spec Spec) { p.spec = spec }

// SetEngines replaces the list of engines. Requests that run on engines no
// longer listed continue.
func (p *Placer) SetEngines(list []Engine) {
	next := map[string]*engine{}
	for _, e := range list {
		old := p.engines[e.ID]
		if old != nil {
			old.Leaving, old.Evacuated, old.Software = e.Leaving, e.Evacuated, e.Software
		} else {
			old = &engine{
				Engine: e, model: rwprefill.NewPooled(p.pool).WithCalibration(p.calibration), outages: map[string]outage{},
				cache: rwcache.New(p.spec.KVCapacity),
			}
		}
		next[e.ID] = old
	}
	p.engines = next
	p.engineIDs = slices.Sorted(maps.Keys(next))
	p.availableIDs = p.engineIDs[:0:0]
	for _, name := range p.engineIDs {
		if !next[name].Leaving && !next[name].Evacuated {
			p.availableIDs = append(p.availableIDs, name)
		}
	}
}

// AddCached records prompt parts that an engine reported as cached. Without it,
// a new placer would have parts prefilled again that the previous owner had
// placed on engines other than their preferred one.
func (p *Placer) AddCached(id string, parts []rwprompt.Part) {
	if e := p.engines[id]; e != nil {
		for _, part := range parts {
			e.cache.Use(time.Time{}, []rwprompt.Part{part})
		}
	}
}

// Submit decides on a new request. After the verdict Queued, a later Tick
// returns the decision.
func (p *Placer) Submit(now time.Time, r Request) Decision {
	p.calibrate(now)
	p.noteGap(r)
	acc := p.account(now, r.Account)
	acc.demand += chargedTokens(r)
	if p.minTarget == 0 || r.Target < p.minTarget {
		p.minTarget = r.Target
	} else {
		p.minTarget = scale(p.minTarget, targetGrowthPerRequest)
	}
	over := p.overShare(now, acc)
	if over && !r.Resumed && p.shortestBacklog(now) > scale(r.Target, overShareRefuseTargetRatio) {
		return p.refuse(now, r, OverShare)
	}
	w := &queuedRequest{request: r, queuedAt: now, efficiency: efficiency(r), retry: now.Sub(p.refusedAt[uniquePartID(r)]) < retryMemory}
	if w.retry {
		w.efficiency *= retryEfficiencyFactor
	}
	if len(p.queue) == 0 {
		if d, ok := p.tryGrant(now, w); ok {
			return d
		}
	}
	if !p.hasEngine(r) {
		return p.refuse(now, r, NoEngine)
	}
	if p.queueFull(r.Account) {
		return p.refuse(now, r, QueueFull)
	}
	if !p.worthQueueing(now, w) {
		return p.refuseLate(now, w)
	}
	p.queue = append(p.queue, w)
	return Decision{ID: r.ID, Verdict: Queued}
}

// hasEngine reports whether an engine may get the request, now or later.
func (p *Placer) hasEngine(r Request) bool {
	return slices.ContainsFunc(p.availableIDs, func(id string) bool { return p.engines[id].suits(r) })
}

// suits reports whether the engine runs software that may run the request.
func (e *engine) suits(r Request) bool { return r.Software == "" || r.Software == e.Software }

// queueFull reports whether an account has maxQueuedPerAccount queued requests.
func (p *Placer) queueFull(account string) bool {
	n := 0
	for _, w := range p.queue {
		if w.request.Account == account {
			n++
		}
	}
	return n >= maxQueuedPerAccount
}

// Cancel removes a queued request.
func (p *Placer) Cancel(id string) {
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w.request.ID == id })
}

// FirstEvent records the first event of a request.
func (p *Placer) FirstEvent(now time.Time, id string) {
	g := p.grants[id]
	if g == nil || g.hasFirstEvent {
		return
	}
	g.hasFirstEvent = true
	p.noteAnswer(now, g.engine)
	g.engine.model.FirstEvent(now, g.prompt)
	if p.OnForecastError != nil {
		p.OnForecastError(now.Sub(g.grantedAt) - g.forecast)
	}
}

// cancelPrompt removes a prompt without a first event from the engine's model.
func (p *Placer) cancelPrompt(now time.Time, g *grant) {
	g.hasFirstEvent = true
	g.engine.model.Cancel(now, g.prompt)
}

// Ended records the end of a granted request.
func (p *Placer) Ended(now time.Time, id string, end End) {
	g := p.grants[id]
	if g == nil {
		return
	}
	delete(p.grants, id)
	e := g.engine
	if !g.hasFirstEvent {
		p.cancelPrompt(now, g)
		if end != Served {
			// Refund the account: it was charged for a request that was not
			// served.
			acc := p.account(now, g.request.Account)
			acc.usage = max(acc.usage-chargedTokens(g.request), 0)
		}
	}
	e.running--
	e.reservedTokens -= g.request.UniqueTokens + g.request.ExpectedOutput
	switch end {
	case Served:
		e.failures.Record(now, false, failureWeight)
		delete(e.outages, g.request.Zone)
	case Failed:
		p.noteFailure(now, e)
		e.failures.Record(now, true, failureWeight)
	case Refused:
		e.refusedUntil = now.Add(refusedBackoff)
	case Unreachable:
		p.noteFailure(now, e)
		e.markUnreachable(now, g.request.Zone)
	case Abandoned:
	}
}

// RemoveRouter drops the grants and queued requests of a router incarnation
// that was declared dead or replaced. It reports no more events, and the
// engines cancel its requests.
func (p *Placer) RemoveRouter(now time.Time, from string) {
	for id, g := range p.grants {
		if g.request.Router == from {
			p.Ended(now, id, Abandoned)
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w.request.Router == from })
}

func (e *engine) markUnreachable(now time.Time, zone string) {
	backoff := minUnreachableBackoff
	if o, ok := e.outages[zone]; ok {
		if now.Before(o.until) {
			return
		}
		backoff = min(2*o.backoff, maxUnreachableBackoff)
	}
	e.outages[zone] = outage{until: now.Add(backoff), backoff: backoff}
}

// Tick returns the decisions on queued requests.
func (p *Placer) Tick(now time.Time) []Decision {
	p.expire(now)
	p.calibrate(now)
	p.engineless = 0
	var out []Decision
	order := p.orderedQueue(now)
	for len(order) > 0 && p.hasShortQueue(now) {
		decided := p.grantInOrder(now, order)
		if len(decided) == 0 {
			break
		}
		out = append(out, decided...)
		order = slices.DeleteFunc(order, func(w *queuedRequest) bool { return w.decided })
	}
	full := !p.hasShortQueue(now)
	for _, w := range order {
		if full {
			w.bound = QueueBound
		}
		switch {
		case !p.hasEngine(w.request):
			// The engines have left or their zone is evacuated.
			w.decided = true
			out = append(out, p.refuse(now, w.request, NoEngine))
		case now.Before(w.worthUntil):
		case !p.worthQueueing(now, w):
			w.decided = true
			out = append(out, p.refuseLate(now, w))
		default:
			w.worthUntil = now.Add(p.choiceTime())
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w.decided })
	return out
}

// orderedQueue returns the queued requests in the order of service: by least
// account usage, then urgency, then efficiency. Usage comes before urgency
// because accounts may set an urgency, and the urgent accounts would leave
// nothing to the others.
func (p *Placer) orderedQueue(now time.Time) []*queuedRequest {
	order := slices.Clone(p.queue)
	for _, w := range order {
		w.usage = p.account(now, w.request.Account).usage
		w.yields = p.yields(now, w)
	}
	slices.SortStableFunc(order, func(x, y *queuedRequest) int {
		return cmp.Or(
			compareYields(x, y),
			cmp.Compare(x.usage, y.usage), cmp.Compare(x.request.Account, y.request.Account),
			cmp.Compare(x.request.Urgency, y.request.Urgency), cmp.Compare(y.efficiency, x.efficiency),
		)
	})
	return order
}

// hasShortQueue reports whether the queue of any engine is short enough for
// another request. In a flood, most ticks find none and skip the grant rounds.
func (p *Placer) hasShortQueue(now time.Time) bool {
	return p.shortestBacklog(now) <= scale(p.minTarget, queueTargetRatio)
}

// grantInOrder grants at most one request per account, in order, and refuses
// requests that can no longer be on time. Engines are considered only for requests that
// may start now and for those whose choice is old.
func (p *Placer) grantInOrder(now time.Time, order []*queuedRequest) []Decision {
	var out []Decision
	r := p.newRound(now)
	reserved := r.reserved
	granted := map[string]bool{}
	for _, w := range order {
		if granted[w.request.Account] {
			continue
		}
		if bound, waits := p.keepWaiting(now, r, w); waits {
			w.bound = bound
			continue
		}
		w.choice = p.choose(now, r, w)
		o, ok := w.choice.option, w.choice.ok
		wasReserved := ok && r.isReserved(o.engine)
		switch {
		case !ok:
		case wasReserved:
			reserved[o.engine] += o.prefill
		case p.canStart(now, w, o):
			w.decided = true
			granted[w.request.Account] = true
			d := p.grant(now, w.request, o)
			d.Waited = now.Sub(w.queuedAt)
			out = append(out, d)
			r.backlogs[o.engine] = o.engine.model.Backlog(now)
		case w.choice.later:
			reserved[o.engine] += o.prefill
		case !p.lateOnIdleEngine(w, o):
			w.decided = true
			out = append(out, p.refuseLate(now, w))
		}
		if !w.decided {
			w.bound = p.boundOf(w, o, ok, wasReserved)
		}
	}
	return out
}

// expire ends grants whose reports were lost, and counts overdue first events
// as failures of the engine.
func (p *Placer) expire(now time.Time) {
	for id, g := range p.grants {
		age := now.Sub(g.grantedAt)
		switch {
		case age > grantTimeout:
			p.Ended(now, id, Abandoned)
		case !g.hasFirstEvent && age > firstEventTimeout:
			p.cancelPrompt(now, g)
		case !g.hasFirstEvent && !g.overdue && age > g.forecast+firstEventOverdue && !g.engine.model.Overtaken(g.prompt):
			g.overdue = true
			p.noteFailure(now, g.engine)
			g.engine.failures.Record(now, true, failureWeight)
		}
	}
}

// option is a candidate engine for a request.
type option struct {
	engine         *engine
	source         *engine
	cachedTokens   int
	uncachedTokens float64
	backlog        time.Duration
	// copyTime is how long copying from source takes.
	copyTime time.Duration
	// prefill is how long the engine prefills the request.
	prefill time.Duration
	// gapWait is for how long the request is kept from the engine because of the
	// streams there.
	gapWait  time.Duration
	forecast time.Duration
	cost     time.Duration
}

func (p *Placer) tryGrant(now time.Time, w *queuedRequest) (Decision, bool) {
	r := w.request
	o, ok := p.bestOption(now, r, nil, p.meanBacklog(now))
	if !ok || !p.canStart(now, w, o) {
		return Decision{}, false
	}
	return p.grant(now, r, o), true
}

// canStart reports whether a request may start on its best engine now. While
// the best engine is busy, the second best is not used: it would need a copy of
// the parts, and under load every cache would fill with copies.
func (p *Placer) canStart(now time.Time, w *queuedRequest, o option) bool {
	if o.gapWait > 0 && !p.outOfTime(now, w, o) {
		return false
	}
	switch short := o.backlog <= p.longestQueue(now, w); {
	case p.starved(now, w):
		return short
	case p.lateOnIdleEngine(w, o):
		return !p.lateWithCachedParts(w, o) && o.backlog <= scale(w.request.Target, lateQueueTargetRatio)
	default:
		return short && o.forecast <= p.timeLeft(now, w)
	}
}

// longestQueue returns the backlog up to which an engine's queue is short for a request.
func (p *Placer) longestQueue(now time.Time, w *queuedRequest) time.Duration {
	ratio := queueTargetRatio
	if p.overShare(now, p.account(now, w.request.Account)) {
		ratio = overShareQueueTargetRatio
	}
	return scale(p.minTarget, ratio)
}

// canStartLater reports whether a request could start once the engine's queue
// is shorter.
func (p *Placer) canStartLater(now time.Time, w *queuedRequest, o option) bool {
	return p.starved(now, w) || o.forecast-o.backlog <= p.timeLeft(now, w)
}

// starved reports whether the request's account is far below its share while the
// request's target has not passed yet.
func (p *Placer) starved(now time.Time, w *queuedRequest) bool {
	share := p.FairShare(now)
	return !math.IsInf(share, 1) && p.account(now, w.request.Account).usage < starvedShareRatio*share &&
		p.elapsed(now, w) < w.request.Target
}

// timeLeft returns the time left until a request must have its first event.
func (p *Placer) timeLeft(now time.Time, w *queuedRequest) time.Duration {
	return scale(w.request.Target, forecastTargetRatio) - p.elapsed(now, w)
}

// lateOnIdleEngine reports whether a request would be late even on an idle
// engine.
func (p *Placer) lateOnIdleEngine(w *queuedRequest, o option) bool {
	return o.forecast-o.backlog > scale(w.request.Target, forecastTargetRatio)
}

// elapsed returns how much of a request's target has passed. It starts from
// zero for resumed streams and for retries: refusing a request twice serves
// nobody.
func (p *Placer) elapsed(now time.Time, w *queuedRequest) time.Duration {
	d := now.Sub(w.queuedAt)
	if !w.retry && !w.request.Resumed {
		d += w.request.Elapsed
	}
	return d
}

// efficiency returns the value of a request, its prompt tokens plus ten times
// its generated ones, per token of engine work.
func efficiency(r Request) float64 {
	return (float64(promptTokens(r)) + 10*float64(r.ExpectedOutput)) / float64(r.UniqueTokens+2*r.ExpectedOutput+1)
}

// uniquePartID returns the id of the prompt part that only this request has.
func uniquePartID(r Request) string {
	if len(r.Parts) == 0 {
		return ""
	}
	return r.Parts[len(r.Parts)-1].ID
}

// promptTokens returns the number of prompt tokens.
func promptTokens(r Request) int {
	if len(r.Parts) == 0 {
		return r.UniqueTokens
	}
	n := 0
	for _, part := range r.Parts {
		n += part.Tokens
	}
	return n
}

// worthQueueing reports whether to queue a request: whether it could still be
// on time on an idle engine that caches its shared parts. If it would be late
// even there, it is queued for lateQueueTargetRatio of its target. Requests of
// starved accounts are always queued, and none is while no engine is available.
func (p *Placer) worthQueueing(now time.Time, w *queuedRequest) bool {
	need := time.Duration(math.MaxInt64)
	for _, e := range p.engines {
		if !e.suits(w.request) {
			continue
		}
		need = min(need, e.model.FirstEventDelay()+e.model.PrefillTime(uniqueWork(e.model, w.request)))
	}
	limit := scale(w.request.Target, forecastTargetRatio)
	if !p.hasEngine(w.request) || p.allCold(now, w.request) {
		return false
	}
	if p.starved(now, w) {
		return true
	}
	if need > limit {
		if p.crowded() {
			return false
		}
		return p.elapsed(now, w) < scale(w.request.Target, lateQueueTargetRatio)
	}
	return p.elapsed(now, w)+need < limit
}

// bestOption returns the engine with the least cost. mean is the mean backlog of the
// available engines, and reserved is how long engines prefill for
// requests that wait for them and come first. In pools where prefilling is kept from delaying
// streams, the wait for an engine counts for requests whose shared parts are too short to be
// copied: they would wait behind long prompts for an engine that caches little of theirs,
// while others are idle. Requests with longer parts wait for the engines that cache them,
// since copying or prefilling these parts takes more from all than the wait from one.
func (p *Placer) bestOption(now time.Time, r Request, reserved map[*engine]time.Duration, mean time.Duration) (option, bool) {
	movable := p.paced() && promptTokens(r)-r.UniqueTokens < minCopyTokens
	preferred := rwrendezvous.Top(r.AffinityKey(), p.availableIDs)
	first, second := p.copySources(r)
	var best option
	found := false
	for _, name := range p.availableIDs {
		e := p.engines[name]
		if slices.Contains(r.Avoid, name) || !p.eligible(now, e, r) {
			continue
		}
		source := first
		if first.engine == e {
			source = second
		}
		o := p.evaluate(now, r, e, source, name == preferred, mean)
		if movable {
			o.cost += o.gapWait + reserved[e]
		}
		if !found || o.cost < best.cost {
			best, found = o, true
		}
	}
	return best, found
}

func (p *Placer) eligible(now time.Time, e *engine, r Request) bool {
	return !e.Leaving && !e.Evacuated && e.suits(r) && p.hasSlot(e, r) &&
		float64(e.reservedTokens+r.UniqueTokens+r.ExpectedOutput) <= float64(p.spec.KVCapacity)*runningTokensRatio &&
		!now.Before(e.refusedUntil) && !now.Before(e.outages[r.Zone].until) && p.coldRoom(now, e, r)
}

func (p *Placer) evaluate(now time.Time, r Request, e *engine, src copySource, preferred bool, mean time.Duration) option {
	p.considered++
	o := option{engine: e, cachedTokens: e.cache.CachedTokens(r.Parts)}
	all := promptTokens(r)
	shared := all - r.UniqueTokens
	missing := max(shared-o.cachedTokens, 0)
	missingTokens := missing
	o.uncachedTokens = float64(all - min(o.cachedTokens, all))
	o.backlog = e.model.Backlog(now)
	if missing > 0 {
		if src.engine != nil && src.cachedTokens-o.cachedTokens >= minCopyTokens {
			copied := float64(src.cachedTokens - o.cachedTokens)
			o.source = src.engine
			o.uncachedTokens -= copied
			o.copyTime = copySetupTime + seconds(copied*p.spec.TokenBytes/p.spec.LinkBytesPerSecond)
			o.cost = time.Duration(copied) * copyCostPerToken
			missing -= src.cachedTokens - o.cachedTokens
		}
		o.cost += p.evictionCost(now, e, missingTokens)
		reread := e.model.PrefillTime(float64(max(missing, 0)))
		o.cost += time.Duration(float64(reread) * float64(mean) / float64(rereadBacklogScale))
		if preferred && o.cachedTokens == 0 && o.source == nil {
			// This engine is not known to cache the parts, and there is none to
			// copy them from. A previous owner would have placed them on the
			// preferred engine, so it may still have them.
			o.cost -= e.model.PrefillTime(float64(shared))
		}
	}
	o.prefill = e.model.PrefillTime(o.work(r))
	o.forecast = e.model.FirstEventDelay() + o.backlog + o.copyTime + o.prefill
	o.gapWait = p.gapWait(now, o)
	o.cost += p.gapCost(o) + p.coldCost(now, e, o.work(r)) + o.forecast + time.Duration(e.failures.At(now)*float64(failureCost))
	return o
}

// evictionCost returns what it costs later requests that shared parts of a number of
// tokens enter an engine's cache, by copying or by prefilling: they displace the least
// recently used parts, which are prefilled again if a request asks for them. Parts
// that nobody has used for evictionMemory are displaced for nothing, and so are all in
// pools that aren't slow, which prefill them again in a short time.
func (p *Placer) evictionCost(now time.Time, e *engine, tokens int) time.Duration {
	usedAt, full := e.cache.NextEvicted()
	if !full || !p.slowPool() {
		return 0
	}
	recent := 1 - float64(now.Sub(usedAt))/float64(evictionMemory)
	return scale(e.model.PrefillTime(float64(tokens)), min(max(recent, 0), 1))
}

// copySource is an engine to copy prompt parts from.
type copySource struct {
	engine       *engine
	cachedTokens int
}

// copySources returns the engines that cache the most and the second most of a
// prompt.
func (p *Placer) copySources(r Request) (first, second copySource) {
	if p.spec.TokenBytes <= 0 || p.spec.LinkBytesPerSecond <= 0 {
		return first, second
	}
	shared := r.Parts[:max(len(r.Parts)-1, 0)]
	for _, name := range p.engineIDs {
		e := p.engines[name]
		switch n := e.cache.CachedTokens(shared); {
		case e.Evacuated:
		case n > first.cachedTokens:
			first, second = copySource{e, n}, first
		case n > second.cachedTokens:
			second = copySource{e, n}
		}
	}
	return first, second
}

func (p *Placer) grant(now time.Time, r Request, o option) Decision {
	e := o.engine
	e.cache.Resize(int(float64(p.spec.KVCapacity-e.reservedTokens) * cacheRatio))
	e.cache.Use(now, r.Parts)
	prompt := e.model.SendPrompt(now, float64(promptTokens(r))-o.uncachedTokens, o.uncachedTokens, o.copyTime)
	e.prefills.Add(now, o.prefill)
	e.running++
	e.reservedTokens += r.UniqueTokens + r.ExpectedOutput
	p.account(now, r.Account).usage += chargedTokens(r)
	p.grants[r.ID] = &grant{
		request: r, engine: e, grantedAt: now, prompt: prompt, forecast: o.forecast,
	}
	d := Decision{
		ID: r.ID, Verdict: Granted, Engine: e.ID, Stream: r.Stream, Software: e.Software, Forecast: o.forecast, QueuedTokens: int(e.model.QueuedTokens(now)),
		UncachedTokens: int(o.uncachedTokens), CachedTokens: o.cachedTokens, PrefillRate: int(e.model.Rate()),
	}
	if o.source != nil {
		d.Source = o.source.ID
	}
	return p.withShare(now, r, p.withCold(now, r, d))
}

// withShare adds the account's usage and share, and whether the cell is crowded, to a
// decision, for logging.
func (p *Placer) withShare(now time.Time, r Request, d Decision) Decision {
	d.Usage, d.Crowded = int(p.account(now, r.Account).usage), p.crowded()
	if share := p.FairShare(now); !math.IsInf(share, 1) {
		d.FairShare = int(share)
	}
	return d
}

func (p *Placer) refuse(now time.Time, r Request, v Verdict) Decision {
	demand, usage := p.demandAndUsage(now)
	retry := minRetryAfter + p.meanBacklog(now)
	if load := demand / max(usage, 1); load > 1 {
		// Callers of the demand beyond capacity should retry later in
		// proportion to the excess.
		retry += seconds(min(load-1, 1))
	}
	if part := uniquePartID(r); part != "" {
		p.refusedAt[part] = now
	}
	if now.Sub(p.refusedPrunedAt) > retryMemory {
		p.refusedPrunedAt = now
		maps.DeleteFunc(p.refusedAt, func(_ string, at time.Time) bool { return now.Sub(at) > retryMemory })
	}
	d := Decision{ID: r.ID, Verdict: v, RetryAfter: min(retry, maxRetryAfter)}
	if o, ok := p.bestOption(now, r, nil, p.meanBacklog(now)); ok {
		d.Engine, d.Forecast, d.CachedTokens = o.engine.ID, o.forecast, o.cachedTokens
		d.QueuedTokens, d.UncachedTokens = int(o.engine.model.QueuedTokens(now)), int(o.uncachedTokens)
		d.PrefillRate = int(o.engine.model.Rate())
	}
	return p.withShare(now, r, d)
}

// FairShare returns the number of tokens that an account may use over the
// window while demand exceeds capacity, and infinity otherwise. The served
// tokens are the estimate of the capacity, because it depends on how much of
// the prompts is cached.
func (p *Placer) FairShare(now time.Time) float64 {
	if now.Sub(p.fairShareAt) < fairShareInterval {
		return p.fairShare
	}
	p.fairShareAt = now
	capacity := 0.0
	demand, usage := p.demandAndUsage(now)
	p.fairShare = math.Inf(1)
	// The prefill rates bound the capacity from below after a start, when
	// little has been served.
	for _, name := range p.availableIDs {
		capacity += p.engines[name].model.Rate() * p.spec.Window.Seconds()
	}
	usage = max(usage, capacity)
	if demand <= usage*demandTolerance {
		return p.fairShare
	}
	demands := make([]float64, 0, len(p.accounts))
	for _, acc := range p.accounts {
		demands = append(demands, acc.demand)
	}
	p.fairShare = rwmaxmin.Share(usage, demands)
	return p.fairShare
}

// demandAndUsage returns the total demand and usage of all accounts over the
// window.
func (p *Placer) demandAndUsage(now time.Time) (demand, usage float64) {
	for name := range p.accounts {
		acc := p.account(now, name)
		if acc.demand < 1 && acc.usage < 1 {
			delete(p.accounts, name)
			continue
		}
		demand += acc.demand
		usage += acc.usage
	}
	return demand, usage
}

func (p *Placer) overShare(now time.Time, acc *account) bool {
	return acc.usage > shareTolerance*p.FairShare(now)
}

// account returns the counters of an account, decayed up to now.
func (p *Placer) account(now time.Time, name string) *account {
	acc := p.accounts[name]
	if acc == nil {
		acc = &account{updatedAt: now}
		p.accounts[name] = acc
	}
	if d := now.Sub(acc.updatedAt); d > 0 {
		f := math.Exp(-d.Seconds() / p.spec.Window.Seconds())
		acc.usage, acc.demand, acc.updatedAt = acc.usage*f, acc.demand*f, now
	}
	return acc
}

func (p *Placer) meanBacklog(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, name := range p.availableIDs {
		sum += p.engines[name].model.Backlog(now)
	}
	return sum / time.Duration(max(len(p.availableIDs), 1))
}

func (p *Placer) shortestBacklog(now time.Time) time.Duration {
	if len(p.availableIDs) == 0 {
		return 0
	}
	least := time.Duration(math.MaxInt64)
	for _, name := range p.availableIDs {
		least = min(least, p.engines[name].model.Backlog(now))
	}
	return least
}

// chargedTokens returns what a request counts towards its account's usage: all
// prompt tokens, cached or not, and generated tokens twice.
func chargedTokens(r Request) float64 { return float64(promptTokens(r) + 2*r.ExpectedOutput) }

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
