// Package rwplacement decides which engine runs a model request, when, and which
// requests are refused. It answers three load patterns:
//
//   - Shared prompt parts that fit into the caches of all engines once only:
//     requests go to the engine that keeps their parts, and leave it when the
//     wait there costs more than a copy of the parts.
//   - More prompt tokens than the engines can read before the first events are
//     due: work waits here and not in the engines, where it would delay
//     everything behind it, and what can't be on time is refused.
//   - A few accounts that ask for many times their share: the accounts that
//     got least go first, and what an account asks beyond its max-min share is
//     refused while others wait.
//
// The package holds no clock and no I/O.
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
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrendezvous"
)

//go:generate go tool stringer -type=Verdict,End -linecomment

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

const (
	// forecastTargetRatio is the part of the latency target that a forecast may use.
	forecastTargetRatio = 0.8
	// queueTargetRatio is the part of the shortest target that may be queued at an
	// engine. More would not make the engine faster, and prompts whose parts
	// no engine keeps would find no room: the queue drains no faster than
	// their time runs out.
	queueTargetRatio = 0.15
	// overShareQueueTargetRatio replaces it for accounts above their share, so that the
	// others find room when they come.
	overShareQueueTargetRatio = 0.08
	// overShareRefuseTargetRatio is the part of the target that the shortest backlog may take
	// before accounts above their share are refused.
	overShareRefuseTargetRatio = 0.2
	// starvedShareRatio is the part of its share below which an account gets a
	// place even if it will be late: its prompts may be such that no engine
	// keeps their parts, and they stay so if they are always refused.
	starvedShareRatio = 0.5
	// lateQueueTargetRatio is the part of the target that may be queued ahead of a request
	// which can't be on time anywhere.
	lateQueueTargetRatio = 0.08
	// targetGrowthPerRequest is how fast the shortest target that was seen is forgotten
	// with each request.
	targetGrowthPerRequest = 1.002
	// retryMemory is how long a refused request is remembered, so that it is
	// known when its caller comes back.
	retryMemory = 6 * time.Second
	// retryEfficiencyFactor weighs requests whose callers come back: most of them are past
	// their target already.
	retryEfficiencyFactor = 0.4
	// shareTolerance is how far an account may exceed its share before that is
	// held against it.
	shareTolerance = 1.1
	// demandTolerance is how far the demand may exceed what was served before shares
	// are held against accounts.
	demandTolerance = 1.05
	// fairShareInterval is how long a computed share stays valid.
	fairShareInterval = 50 * time.Millisecond
	// copySetupTime is the time that a copy of KV cache takes beside its bytes.
	copySetupTime = 10 * time.Millisecond
	// copyCostPerToken weighs copied tokens against waiting: a copy of 10,000 tokens
	// is worth a wait of 80 ms. Copies push other parts out of the caches, and
	// with half of this weight a third of all that entered the caches was
	// copies.
	copyCostPerToken = 8 * time.Microsecond
	// minCopyTokens is the smallest number of tokens worth a copy.
	minCopyTokens = 1_500
	// rereadBacklogScale is the mean backlog at which reading shared parts again
	// counts twice.
	rereadBacklogScale = 40 * time.Millisecond
	// cacheRatio is the part of an engine's memory, beside what running
	// requests take, that keeps parts.
	cacheRatio = 0.95
	// runningTokensRatio bounds the tokens of running requests, beyond which engines
	// preempt.
	runningTokensRatio = 0.7
	// firstEventTimeout drops a grant whose first event was never reported.
	firstEventTimeout = 4 * time.Second
	// grantTimeout drops a grant whose end was never reported.
	grantTimeout = 30 * time.Second
	// refusedBackoff keeps requests off an engine that refused one.
	refusedBackoff = 150 * time.Millisecond
	// minUnreachableBackoff keeps requests of a zone off an engine that the zone can't
	// reach; it doubles up to maxDownPause.
	minUnreachableBackoff = time.Second
	maxUnreachableBackoff = 4 * time.Second
	// failureWeight is the weight of one outcome in an engine's failure rate,
	// failureCost the wait that a rate of 1 is worth.
	failureWeight = 0.25
	failureCost   = time.Second
	// firstEventOverdue is how long after its forecast a first event counts as a
	// failure of the engine.
	firstEventOverdue = 800 * time.Millisecond
	// maxQueuedPerAccount bounds the requests of one account that wait. Without it a
	// flood of two accounts kept the owner's processor busy with putting
	// hundreds of requests in order, while the engines idled.
	maxQueuedPerAccount = 24
	// minRetryAfter and maxRetry bound the time after which a caller may return.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2500 * time.Millisecond
)

// Spec describes the engines of a pool.
type Spec struct {
	// Slots is how many requests an engine runs at once, Memory its KV cache
	// in tokens.
	Slots, KVCapacity int
	// TokenBytes is the size of a token of KV cache, LinkBytes the bandwidth
	// between engines in bytes a second; 0 means that nothing can be copied.
	TokenBytes, LinkBytesPerSecond float64
	// Window is the time over which accounts' shares are compared.
	Window time.Duration
}

// Engine is an engine of the placer.
type Engine struct {
	// ID names the start of the engine.
	ID string
	// Leaving engines get no work, but their cache can be copied.
	Leaving bool
}

// Request is a request that wants to run.
type Request struct {
	// ID is unique among the requests of all routers, From names the start of
	// the router that asks.
	ID      string          `json:"id"`
	Router  string          `json:"from,omitempty"`
	Account string          `json:"acc"`
	Parts   []rwprompt.Part `json:"parts,omitempty"`
	// UniqueTokens is the number of prompt tokens that no other request shares, Work
	// the number of generated tokens to expect.
	UniqueTokens   int `json:"own"`
	ExpectedOutput int `json:"work"`
	// Zone is that of the router that asks.
	Zone    string `json:"zone"`
	Urgency int    `json:"urg,omitempty"`
	// Target is the time to the first event, Elapsed the part of it that is
	// over.
	Target  time.Duration `json:"tgt"`
	Elapsed time.Duration `json:"ela"`
	// Resumed is whether the request goes on with a stream that broke.
	Resumed bool `json:"res,omitempty"`
	// Avoid are engines that failed this request.
	Avoid []string `json:"avoid,omitempty"`
}

// AffinityKey is the key by which requests that share a prompt find the same engine.
func (r Request) AffinityKey() string { return rwprompt.Prompt{Parts: r.Parts}.AffinityKey() }

// Decision answers an Ask.
type Decision struct {
	ID      string  `json:"id"`
	Verdict Verdict `json:"v"`
	// Engine is the one that the request got, or the best one if it was
	// refused; Source is an engine to copy prompt parts from, or empty.
	Engine string `json:"eng,omitempty"`
	Source string `json:"src,omitempty"`
	// Forecast is the expected time to the first event, Ahead the tokens that
	// the engine has to read before it, its own included, Uncached its own,
	// Kept the tokens that the engine keeps already.
	Forecast       time.Duration `json:"fc,omitempty"`
	QueuedTokens   int           `json:"ahead,omitempty"`
	UncachedTokens int           `json:"unc,omitempty"`
	// PrefillRate is the prefill speed in tokens a second that the forecast uses.
	PrefillRate  int `json:"rate,omitempty"`
	CachedTokens int `json:"kept,omitempty"`
	// Usage is what the account got over the window, Level the share that it may
	// have got; 0 means that shares were not held against anyone.
	Usage     int `json:"got,omitempty"`
	FairShare int `json:"lvl,omitempty"`
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration `json:"retry,omitempty"`
}

type engine struct {
	Engine
	cache *rwcache.Cache
	model *rwprefill.Model
	// running is the number of granted requests, tokens what they hold in
	// memory beside shared parts.
	running, reservedTokens int
	failures                rwfailure.Rate
	// refusedUntil is the time up to which the engine gets no requests after it
	// refused one, down the same for zones that can't reach it.
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
	// usage and asked are tokens, decayed over the window, as of at.
	usage, demand float64
	updatedAt     time.Time
}

// queuedRequest is a request without a decision.
type queuedRequest struct {
	request  Request
	queuedAt time.Time
	// retry is whether the caller was refused before.
	retry bool
	// efficiency is the size of the request for each token that has to be read.
	efficiency float64
	// usage is what the account got when the requests were put in order.
	usage float64
	// decided requests no longer wait.
	decided bool
}

// Placer is the state for the engines of one cell. It is not safe for
// concurrent use.
type Placer struct {
	// OnForecastError, if set, is told how far a forecast was off; negative means that
	// the first event came earlier.
	OnForecastError func(time.Duration)

	spec      Spec
	engines   map[string]*engine
	engineIDs []string
	// availableIDs are the names of engines that may get work.
	availableIDs []string
	grants       map[string]*grant
	accounts     map[string]*account
	queue        []*queuedRequest
	fairShare    float64
	fairShareAt  time.Time
	// minTarget is the shortest target seen of late.
	minTarget time.Duration
	// refusedAt holds when requests were refused, by their own prompt part,
	// which stays the same when the caller comes back.
	refusedAt       map[string]time.Time
	refusedPrunedAt time.Time
}

// New returns a placer without engines.
func New(spec Spec) *Placer {
	return &Placer{
		spec: spec, engines: map[string]*engine{}, grants: map[string]*grant{},
		accounts: map[string]*account{}, fairShare: math.Inf(1), refusedAt: map[string]time.Time{},
	}
}

// Waiting is the number of requests that wait.
func (p *Placer) Waiting() int { return len(p.queue) }

// Configure changes the description of the engines.
func (p *Placer) Configure(spec Spec) { p.spec = spec }

// SetEngines sets the engines that may get work. Requests on engines that are no
// longer listed run on.
func (p *Placer) SetEngines(list []Engine) {
	next := map[string]*engine{}
	for _, e := range list {
		old := p.engines[e.ID]
		if old != nil {
			old.Leaving = e.Leaving
		} else {
			old = &engine{
				Engine: e, model: rwprefill.New(), outages: map[string]outage{},
				cache: rwcache.New(p.spec.KVCapacity),
			}
		}
		next[e.ID] = old
	}
	p.engines = next
	p.engineIDs = slices.Sorted(maps.Keys(next))
	p.availableIDs = p.engineIDs[:0:0]
	for _, name := range p.engineIDs {
		if !next[name].Leaving {
			p.availableIDs = append(p.availableIDs, name)
		}
	}
}

// AddCached notes prompt parts that an engine keeps, as it told itself. A placer
// that begins anew would otherwise have parts read again that its predecessor
// had put elsewhere than at their home.
func (p *Placer) AddCached(id string, parts []rwprompt.Part) {
	if e := p.engines[id]; e != nil {
		for _, part := range parts {
			e.cache.Use([]rwprompt.Part{part})
		}
	}
}

// Submit decides on a new request. With the verdict Wait, the decision comes from
// a later Tick.
func (p *Placer) Submit(now time.Time, r Request) Decision {
	acc := p.account(now, r.Account)
	acc.demand += chargedTokens(r)
	if p.minTarget == 0 || r.Target < p.minTarget {
		p.minTarget = r.Target
	} else {
		p.minTarget = scale(p.minTarget, targetGrowthPerRequest)
	}
	over := p.overShare(now, acc)
	if over && p.shortestBacklog(now) > scale(r.Target, overShareRefuseTargetRatio) {
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
	if len(p.availableIDs) == 0 {
		return p.refuse(now, r, NoEngine)
	}
	if p.queueFull(r.Account) {
		return p.refuse(now, r, QueueFull)
	}
	if !p.worthQueueing(now, w) {
		return p.refuse(now, r, Late)
	}
	p.queue = append(p.queue, w)
	return Decision{ID: r.ID, Verdict: Queued}
}

// queueFull reports whether so many requests of an account wait that another
// one could not be served in time.
func (p *Placer) queueFull(account string) bool {
	n := 0
	for _, w := range p.queue {
		if w.request.Account == account {
			n++
		}
	}
	return n >= maxQueuedPerAccount
}

// Cancel forgets a request that waits.
func (p *Placer) Cancel(id string) {
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w.request.ID == id })
}

// FirstEvent notes the first event of a request.
func (p *Placer) FirstEvent(now time.Time, id string) {
	g := p.grants[id]
	if g == nil || g.hasFirstEvent {
		return
	}
	g.hasFirstEvent = true
	g.engine.model.FirstEvent(now, g.prompt)
	if p.OnForecastError != nil {
		p.OnForecastError(now.Sub(g.grantedAt) - g.forecast)
	}
}

// cancelPrompt takes a prompt without a first event off its engine.
func (p *Placer) cancelPrompt(now time.Time, g *grant) {
	g.hasFirstEvent = true
	g.engine.model.Cancel(now, g.prompt)
}

// Ended notes the end of a granted request.
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
			// The account got nothing for what it was charged.
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
		e.failures.Record(now, true, failureWeight)
	case Refused:
		e.refusedUntil = now.Add(refusedBackoff)
	case Unreachable:
		e.markUnreachable(now, g.request.Zone)
	case Abandoned:
	}
}

// RemoveRouter forgets the grants of a router that is gone: it reports no events any
// more, and the engines end what they did for it.
func (p *Placer) RemoveRouter(now time.Time, from string) {
	for id, g := range p.grants {
		if g.request.Router == from {
			p.Ended(now, id, Abandoned)
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w.request.Router == from })
}

func (e *engine) markUnreachable(now time.Time, zone string) {
	pause := minUnreachableBackoff
	if o, ok := e.outages[zone]; ok {
		if now.Before(o.until) {
			return
		}
		pause = min(2*o.backoff, maxUnreachableBackoff)
	}
	e.outages[zone] = outage{until: now.Add(pause), backoff: pause}
}

// Tick returns the decisions on requests that waited.
func (p *Placer) Tick(now time.Time) []Decision {
	p.expire(now)
	var out []Decision
	order := p.orderedQueue(now)
	for len(order) > 0 && p.hasRoom(now) {
		decided := p.grantRound(now, order)
		if len(decided) == 0 {
			break
		}
		out = append(out, decided...)
		order = slices.DeleteFunc(order, func(w *queuedRequest) bool { return w.decided })
	}
	for _, w := range order {
		if !p.worthQueueing(now, w) {
			w.decided = true
			out = append(out, p.refuse(now, w.request, Late))
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedRequest) bool { return w.decided })
	return out
}

// orderedQueue returns the waiting requests, first those of the account that got
// least, of its requests the most urgent, and of these the one that gives most
// for each token that an engine has to read. Urgency never beats shares:
// accounts have urgencies too, and the urgent ones would leave nothing to the
// others.
func (p *Placer) orderedQueue(now time.Time) []*queuedRequest {
	order := slices.Clone(p.queue)
	for _, w := range order {
		w.usage = p.account(now, w.request.Account).usage
	}
	slices.SortStableFunc(order, func(x, y *queuedRequest) int {
		return cmp.Or(
			cmp.Compare(x.usage, y.usage), cmp.Compare(x.request.Account, y.request.Account),
			cmp.Compare(x.request.Urgency, y.request.Urgency), cmp.Compare(y.efficiency, x.efficiency),
		)
	})
	return order
}

// hasRoom reports whether any engine takes requests: in a flood most ticks find
// none, and then the waiting requests need not be looked at.
func (p *Placer) hasRoom(now time.Time) bool {
	return p.shortestBacklog(now) <= scale(p.minTarget, queueTargetRatio)
}

// grantRound grants at most one request of each account, in order, and refuses those
// that can't be on time any more.
func (p *Placer) grantRound(now time.Time, order []*queuedRequest) []Decision {
	var out []Decision
	// An engine that the first in order waits for is kept from those behind
	// it: they would refill its queue, and a request that needs a shorter
	// queue would never find one.
	kept := map[*engine]bool{}
	granted := map[string]bool{}
	for _, w := range order {
		if granted[w.request.Account] {
			continue
		}
		o, ok := p.bestOption(now, w.request)
		switch {
		case !ok || kept[o.engine]:
		case p.canStart(now, w, o):
			w.decided = true
			granted[w.request.Account] = true
			out = append(out, p.grant(now, w.request, o))
		case p.canStartLater(now, w, o):
			kept[o.engine] = true
		case !p.lateOnIdleEngine(w, o):
			w.decided = true
			out = append(out, p.refuse(now, w.request, Late))
		}
	}
	return out
}

// expire forgets grants whose reports were lost, and counts first events that
// are overdue against their engine.
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
			g.engine.failures.Record(now, true, failureWeight)
		}
	}
}

// option is an engine that could run a request.
type option struct {
	engine         *engine
	source         *engine
	cachedTokens   int
	uncachedTokens float64
	backlog        time.Duration
	forecast       time.Duration
	cost           time.Duration
}

func (p *Placer) tryGrant(now time.Time, w *queuedRequest) (Decision, bool) {
	a := w.request
	o, ok := p.bestOption(now, a)
	if !ok || !p.canStart(now, w, o) {
		return Decision{}, false
	}
	return p.grant(now, a, o), true
}

// canStart reports whether a request may go to its best engine now. The second best
// is no choice while the best is busy: it would get a copy of the parts, and
// under load all caches would end up with copies of everything.
func (p *Placer) canStart(now time.Time, w *queuedRequest, o option) bool {
	queue := queueTargetRatio
	if p.overShare(now, p.account(now, w.request.Account)) {
		queue = overShareQueueTargetRatio
	}
	switch short := o.backlog <= scale(p.minTarget, queue); {
	case p.starved(now, w):
		return short
	case p.lateOnIdleEngine(w, o):
		return o.backlog <= scale(w.request.Target, lateQueueTargetRatio)
	default:
		return short && o.forecast <= p.timeLeft(now, w)
	}
}

// canStartLater reports whether a request could go to an engine once its queue is
// short.
func (p *Placer) canStartLater(now time.Time, w *queuedRequest, o option) bool {
	return p.starved(now, w) || o.forecast-o.backlog <= p.timeLeft(now, w)
}

// starved reports whether a request's account gets far less than its share.
func (p *Placer) starved(now time.Time, w *queuedRequest) bool {
	level := p.FairShare(now)
	return !math.IsInf(level, 1) && p.account(now, w.request.Account).usage < starvedShareRatio*level &&
		p.elapsed(now, w) < w.request.Target
}

// timeLeft is the time in which a request must have its first event.
func (p *Placer) timeLeft(now time.Time, w *queuedRequest) time.Duration {
	return scale(w.request.Target, forecastTargetRatio) - p.elapsed(now, w)
}

// lateOnIdleEngine reports whether a request would be late even on an engine that has
// nothing else to do.
func (p *Placer) lateOnIdleEngine(w *queuedRequest, o option) bool {
	return o.forecast-o.backlog > scale(w.request.Target, forecastTargetRatio)
}

// elapsed is the part of a request's target that is over. Callers that come
// back after a refusal start anew: to refuse them twice serves nobody.
func (p *Placer) elapsed(now time.Time, w *queuedRequest) time.Duration {
	d := now.Sub(w.queuedAt)
	if !w.retry && !w.request.Resumed {
		d += w.request.Elapsed
	}
	return d
}

// efficiency is the number of tokens that a request is about, generated ones counted
// ten times, for each token that has to be read for it.
func efficiency(r Request) float64 {
	return (float64(promptTokens(r)) + 10*float64(r.ExpectedOutput)) / float64(r.UniqueTokens+2*r.ExpectedOutput+1)
}

// uniquePartID is the id of the prompt part that only this request has.
func uniquePartID(r Request) string {
	if len(r.Parts) == 0 {
		return ""
	}
	return r.Parts[len(r.Parts)-1].ID
}

// promptTokens is the number of prompt tokens.
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

// worthQueueing reports whether a request could still be on time if an engine had
// nothing else to do.
func (p *Placer) worthQueueing(now time.Time, w *queuedRequest) bool {
	need := time.Duration(math.MaxInt64)
	for _, e := range p.engines {
		need = min(need, e.model.FirstEventDelay()+e.model.PrefillTime(float64(w.request.UniqueTokens)))
	}
	limit := scale(w.request.Target, forecastTargetRatio)
	if len(p.availableIDs) == 0 {
		return false
	}
	if p.starved(now, w) {
		return true
	}
	if need > limit {
		return p.elapsed(now, w) < scale(w.request.Target, lateQueueTargetRatio)
	}
	return p.elapsed(now, w)+need < limit
}

func (p *Placer) bestOption(now time.Time, r Request) (option, bool) {
	mean := p.meanBacklog(now)
	home := rwrendezvous.Top(r.AffinityKey(), p.availableIDs)
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
		if o := p.evaluate(now, r, e, source, name == home, mean); !found || o.cost < best.cost {
			best, found = o, true
		}
	}
	return best, found
}

func (p *Placer) eligible(now time.Time, e *engine, r Request) bool {
	return !e.Leaving && e.running < p.spec.Slots &&
		float64(e.reservedTokens+r.UniqueTokens+r.ExpectedOutput) <= float64(p.spec.KVCapacity)*runningTokensRatio &&
		!now.Before(e.refusedUntil) && !now.Before(e.outages[r.Zone].until)
}

func (p *Placer) evaluate(now time.Time, r Request, e *engine, src copySource, home bool, mean time.Duration) option {
	o := option{engine: e, cachedTokens: e.cache.CachedTokens(r.Parts)}
	all := promptTokens(r)
	shared := all - r.UniqueTokens
	missing := max(shared-o.cachedTokens, 0)
	o.uncachedTokens = float64(all - min(o.cachedTokens, all))
	o.backlog = e.model.Backlog(now)
	var extra time.Duration
	if missing > 0 {
		if src.engine != nil && src.cachedTokens-o.cachedTokens >= minCopyTokens {
			copied := float64(src.cachedTokens - o.cachedTokens)
			o.source = src.engine
			o.uncachedTokens -= copied
			extra = copySetupTime + seconds(copied*p.spec.TokenBytes/p.spec.LinkBytesPerSecond)
			o.cost = time.Duration(copied) * copyCostPerToken
			missing -= src.cachedTokens - o.cachedTokens
		}
		again := e.model.PrefillTime(float64(max(missing, 0)))
		o.cost += time.Duration(float64(again) * float64(mean) / float64(rereadBacklogScale))
		if home && o.cachedTokens == 0 && o.source == nil {
			// Nothing is known of the parts: the home is where a placer
			// before this one put them.
			o.cost -= e.model.PrefillTime(float64(shared))
		}
	}
	o.forecast = e.model.FirstEventDelay() + o.backlog + extra + e.model.PrefillTime(o.uncachedTokens)
	o.cost += o.forecast + time.Duration(e.failures.At(now)*float64(failureCost))
	return o
}

// copySource is an engine that prompt parts can be copied from.
type copySource struct {
	engine       *engine
	cachedTokens int
}

// copySources returns the engines that keep most and second most of a prompt.
func (p *Placer) copySources(r Request) (first, second copySource) {
	if p.spec.TokenBytes <= 0 || p.spec.LinkBytesPerSecond <= 0 {
		return first, second
	}
	shared := r.Parts[:max(len(r.Parts)-1, 0)]
	for _, name := range p.engineIDs {
		e := p.engines[name]
		switch n := e.cache.CachedTokens(shared); {
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
	e.cache.Use(r.Parts)
	prompt := e.model.Send(now, o.uncachedTokens)
	e.running++
	e.reservedTokens += r.UniqueTokens + r.ExpectedOutput
	p.account(now, r.Account).usage += chargedTokens(r)
	p.grants[r.ID] = &grant{
		request: r, engine: e, grantedAt: now, prompt: prompt, forecast: o.forecast,
	}
	d := Decision{
		ID: r.ID, Verdict: Granted, Engine: e.ID, Forecast: o.forecast, QueuedTokens: int(e.model.QueuedTokens(now)),
		UncachedTokens: int(o.uncachedTokens), CachedTokens: o.cachedTokens, PrefillRate: int(e.model.Rate()),
	}
	if o.source != nil {
		d.Source = o.source.ID
	}
	return p.withShare(now, r, d)
}

// withShare adds the account's share to a decision, for the log.
func (p *Placer) withShare(now time.Time, r Request, d Decision) Decision {
	d.Usage = int(p.account(now, r.Account).usage)
	if level := p.FairShare(now); !math.IsInf(level, 1) {
		d.FairShare = int(level)
	}
	return d
}

func (p *Placer) refuse(now time.Time, r Request, v Verdict) Decision {
	asked, got := p.demandAndUsage(now)
	retry := minRetryAfter + p.meanBacklog(now)
	if load := asked / max(got, 1); load > 1 {
		// The part of the demand that the engines can't serve comes back
		// later by as much.
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
	if o, ok := p.bestOption(now, r); ok {
		d.Engine, d.Forecast, d.CachedTokens = o.engine.ID, o.forecast, o.cachedTokens
		d.QueuedTokens, d.UncachedTokens = int(o.engine.model.QueuedTokens(now)), int(o.uncachedTokens)
	}
	return p.withShare(now, r, d)
}

// FairShare is the share of an account over the window while the engines can't
// serve all, and infinite while they can. What they can serve is what they did
// serve: it depends on how much of the prompts they kept.
func (p *Placer) FairShare(now time.Time) float64 {
	if now.Sub(p.fairShareAt) < fairShareInterval {
		return p.fairShare
	}
	p.fairShareAt = now
	capacity := 0.0
	asked, got := p.demandAndUsage(now)
	p.fairShare = math.Inf(1)
	// What the engines can read at least, for the time after a start in which
	// little was served yet.
	for _, name := range p.availableIDs {
		capacity += p.engines[name].model.Rate() * p.spec.Window.Seconds()
	}
	got = max(got, capacity)
	if asked <= got*demandTolerance {
		return p.fairShare
	}
	demands := make([]float64, 0, len(p.accounts))
	for _, acc := range p.accounts {
		demands = append(demands, acc.demand)
	}
	p.fairShare = rwmaxmin.Share(got, demands)
	return p.fairShare
}

// demandAndUsage returns what all accounts asked for and got over the window.
func (p *Placer) demandAndUsage(now time.Time) (asked, got float64) {
	for name := range p.accounts {
		acc := p.account(now, name)
		if acc.demand < 1 && acc.usage < 1 {
			delete(p.accounts, name)
			continue
		}
		asked += acc.demand
		got += acc.usage
	}
	return asked, got
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

// chargedTokens is what an account gets with a request: all tokens of the prompt,
// whoever read them first, and generated ones twice.
func chargedTokens(r Request) float64 { return float64(promptTokens(r) + 2*r.ExpectedOutput) }

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
