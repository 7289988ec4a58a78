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
	// useOfTarget is the part of the latency target that a forecast may use.
	useOfTarget = 0.8
	// queueUse is the part of the shortest target that may be queued at an
	// engine. More would not make the engine faster, and prompts whose parts
	// no engine keeps would find no room: the queue drains no faster than
	// their time runs out.
	queueUse = 0.15
	// overShareUse replaces it for accounts above their share, so that the
	// others find room when they come.
	overShareUse = 0.08
	// crowded is the part of the target that the shortest backlog may take
	// before accounts above their share are refused.
	crowded = 0.2
	// starvedBelow is the part of its share below which an account gets a
	// place even if it will be late: its prompts may be such that no engine
	// keeps their parts, and they stay so if they are always refused.
	starvedBelow = 0.5
	// idleUse is the part of the target that may be queued ahead of a request
	// which can't be on time anywhere.
	idleUse = 0.08
	// targetDrift is how fast the shortest target that was seen is forgotten
	// with each request.
	targetDrift = 1.002
	// returnTime is how long a refused request is remembered, so that it is
	// known when its caller comes back.
	returnTime = 6 * time.Second
	// backGain weighs requests whose callers come back: most of them are past
	// their target already.
	backGain = 0.4
	// shareSlack is how far an account may exceed its share before that is
	// held against it.
	shareSlack = 1.1
	// servedAll is how far the demand may exceed what was served before shares
	// are held against accounts.
	servedAll = 1.05
	// levelInterval is how long a computed share stays valid.
	levelInterval = 50 * time.Millisecond
	// fetchSetup is the time that a copy of KV cache takes beside its bytes.
	fetchSetup = 10 * time.Millisecond
	// fetchCost weighs copied tokens against waiting: a copy of 10,000 tokens
	// is worth a wait of 80 ms. Copies push other parts out of the caches, and
	// with half of this weight a third of all that entered the caches was
	// copies.
	fetchCost = 8 * time.Microsecond
	// fetchMin is the smallest number of tokens worth a copy.
	fetchMin = 1_500
	// rereadScale is the mean backlog at which reading shared parts again
	// counts twice.
	rereadScale = 40 * time.Millisecond
	// cachePart is the part of an engine's memory, beside what running
	// requests take, that keeps parts.
	cachePart = 0.95
	// runningPart bounds the tokens of running requests, beyond which engines
	// preempt.
	runningPart = 0.7
	// firstTimeout drops a grant whose first event was never reported.
	firstTimeout = 4 * time.Second
	// grantTimeout drops a grant whose end was never reported.
	grantTimeout = 30 * time.Second
	// refusedPause keeps requests off an engine that refused one.
	refusedPause = 150 * time.Millisecond
	// downPause keeps requests of a zone off an engine that the zone can't
	// reach; it doubles up to maxDownPause.
	downPause    = time.Second
	maxDownPause = 4 * time.Second
	// failureWeight is the weight of one outcome in an engine's failure rate,
	// failureCost the wait that a rate of 1 is worth.
	failureWeight = 0.25
	failureCost   = time.Second
	// overdue is how long after its forecast a first event counts as a
	// failure of the engine.
	overdue = 800 * time.Millisecond
	// maxWaiting bounds the requests of one account that wait. Without it a
	// flood of two accounts kept the owner's processor busy with putting
	// hundreds of requests in order, while the engines idled.
	maxWaiting = 24
	// minRetry and maxRetry bound the time after which a caller may return.
	minRetry = 150 * time.Millisecond
	maxRetry = 2500 * time.Millisecond
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
func (a Request) AffinityKey() string { return rwprompt.Prompt{Parts: a.Parts}.AffinityKey() }

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
	running, tokens int
	failures        rwfailure.Rate
	// refused is the time up to which the engine gets no requests after it
	// refused one, down the same for zones that can't reach it.
	refused time.Time
	down    map[string]outage
}

type outage struct {
	until time.Time
	pause time.Duration
}

type grant struct {
	ask    Request
	engine *engine
	at     time.Time
	prompt *rwprefill.Prompt

	forecast       time.Duration
	first, overdue bool
}

type account struct {
	// got and asked are tokens, decayed over the window, as of at.
	got, asked float64
	at         time.Time
}

// waiter is a request without a decision.
type waiter struct {
	ask Request
	at  time.Time
	// back is whether the caller was refused before.
	back bool
	// gain is the size of the request for each token that has to be read.
	gain float64
	// got is what the account got when the requests were put in order.
	got float64
	// decided requests no longer wait.
	decided bool
}

// Placer is the state for the engines of one cell. It is not safe for
// concurrent use.
type Placer struct {
	// OnForecastError, if set, is told how far a forecast was off; negative means that
	// the first event came earlier.
	OnForecastError func(time.Duration)

	spec    Spec
	engines map[string]*engine
	names   []string
	// homes are the names of engines that may get work.
	homes    []string
	grants   map[string]*grant
	accounts map[string]*account
	waiting  []*waiter
	level    float64
	levelAt  time.Time
	// target is the shortest target seen of late.
	target time.Duration
	// refused holds when requests were refused, by their own prompt part,
	// which stays the same when the caller comes back.
	refused   map[string]time.Time
	refusedAt time.Time
}

// New returns a placer without engines.
func New(spec Spec) *Placer {
	return &Placer{
		spec: spec, engines: map[string]*engine{}, grants: map[string]*grant{},
		accounts: map[string]*account{}, level: math.Inf(1), refused: map[string]time.Time{},
	}
}

// Waiting is the number of requests that wait.
func (p *Placer) Waiting() int { return len(p.waiting) }

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
				Engine: e, model: rwprefill.New(), down: map[string]outage{},
				cache: rwcache.New(p.spec.KVCapacity),
			}
		}
		next[e.ID] = old
	}
	p.engines = next
	p.names = slices.Sorted(maps.Keys(next))
	p.homes = p.names[:0:0]
	for _, name := range p.names {
		if !next[name].Leaving {
			p.homes = append(p.homes, name)
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
func (p *Placer) Submit(now time.Time, a Request) Decision {
	acc := p.account(now, a.Account)
	acc.asked += service(a)
	if p.target == 0 || a.Target < p.target {
		p.target = a.Target
	} else {
		p.target = fraction(p.target, targetDrift)
	}
	over := p.over(now, acc)
	if over && p.shortestBacklog(now) > fraction(a.Target, crowded) {
		return p.refuse(now, a, OverShare)
	}
	w := &waiter{ask: a, at: now, gain: gain(a), back: now.Sub(p.refused[ownPart(a)]) < returnTime}
	if w.back {
		w.gain *= backGain
	}
	if len(p.waiting) == 0 {
		if d, ok := p.place(now, w); ok {
			return d
		}
	}
	if len(p.homes) == 0 {
		return p.refuse(now, a, NoEngine)
	}
	if p.crowdedOut(a.Account) {
		return p.refuse(now, a, QueueFull)
	}
	if !p.canWait(now, w) {
		return p.refuse(now, a, Late)
	}
	p.waiting = append(p.waiting, w)
	return Decision{ID: a.ID, Verdict: Queued}
}

// crowdedOut reports whether so many requests of an account wait that another
// one could not be served in time.
func (p *Placer) crowdedOut(account string) bool {
	n := 0
	for _, w := range p.waiting {
		if w.ask.Account == account {
			n++
		}
	}
	return n >= maxWaiting
}

// Cancel forgets a request that waits.
func (p *Placer) Cancel(id string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.ask.ID == id })
}

// FirstEvent notes the first event of a request.
func (p *Placer) FirstEvent(now time.Time, id string) {
	g := p.grants[id]
	if g == nil || g.first {
		return
	}
	g.first = true
	g.engine.model.FirstEvent(now, g.prompt)
	if p.OnForecastError != nil {
		p.OnForecastError(now.Sub(g.at) - g.forecast)
	}
}

// cancel takes a prompt without a first event off its engine.
func (p *Placer) cancel(now time.Time, g *grant) {
	g.first = true
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
	if !g.first {
		p.cancel(now, g)
		if end != Served {
			// The account got nothing for what it was charged.
			acc := p.account(now, g.ask.Account)
			acc.got = max(acc.got-service(g.ask), 0)
		}
	}
	e.running--
	e.tokens -= g.ask.UniqueTokens + g.ask.ExpectedOutput
	switch end {
	case Served:
		e.failures.Record(now, false, failureWeight)
		delete(e.down, g.ask.Zone)
	case Failed:
		e.failures.Record(now, true, failureWeight)
	case Refused:
		e.refused = now.Add(refusedPause)
	case Unreachable:
		e.unreachable(now, g.ask.Zone)
	case Abandoned:
	}
}

// RemoveRouter forgets the grants of a router that is gone: it reports no events any
// more, and the engines end what they did for it.
func (p *Placer) RemoveRouter(now time.Time, from string) {
	for id, g := range p.grants {
		if g.ask.Router == from {
			p.Ended(now, id, Abandoned)
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.ask.Router == from })
}

func (e *engine) unreachable(now time.Time, zone string) {
	pause := downPause
	if o, ok := e.down[zone]; ok {
		if now.Before(o.until) {
			return
		}
		pause = min(2*o.pause, maxDownPause)
	}
	e.down[zone] = outage{until: now.Add(pause), pause: pause}
}

// Tick returns the decisions on requests that waited.
func (p *Placer) Tick(now time.Time) []Decision {
	p.expire(now)
	var out []Decision
	order := p.order(now)
	for len(order) > 0 && p.room(now) {
		decided := p.pass(now, order)
		if len(decided) == 0 {
			break
		}
		out = append(out, decided...)
		order = slices.DeleteFunc(order, func(w *waiter) bool { return w.decided })
	}
	for _, w := range order {
		if !p.canWait(now, w) {
			w.decided = true
			out = append(out, p.refuse(now, w.ask, Late))
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.decided })
	return out
}

// order returns the waiting requests, first those of the account that got
// least, of its requests the most urgent, and of these the one that gives most
// for each token that an engine has to read. Urgency never beats shares:
// accounts have urgencies too, and the urgent ones would leave nothing to the
// others.
func (p *Placer) order(now time.Time) []*waiter {
	order := slices.Clone(p.waiting)
	for _, w := range order {
		w.got = p.account(now, w.ask.Account).got
	}
	slices.SortStableFunc(order, func(x, y *waiter) int {
		return cmp.Or(
			cmp.Compare(x.got, y.got), cmp.Compare(x.ask.Account, y.ask.Account),
			cmp.Compare(x.ask.Urgency, y.ask.Urgency), cmp.Compare(y.gain, x.gain),
		)
	})
	return order
}

// room reports whether any engine takes requests: in a flood most ticks find
// none, and then the waiting requests need not be looked at.
func (p *Placer) room(now time.Time) bool {
	return p.shortestBacklog(now) <= fraction(p.target, queueUse)
}

// pass grants at most one request of each account, in order, and refuses those
// that can't be on time any more.
func (p *Placer) pass(now time.Time, order []*waiter) []Decision {
	var out []Decision
	// An engine that the first in order waits for is kept from those behind
	// it: they would refill its queue, and a request that needs a shorter
	// queue would never find one.
	kept := map[*engine]bool{}
	granted := map[string]bool{}
	for _, w := range order {
		if granted[w.ask.Account] {
			continue
		}
		o, ok := p.best(now, w.ask)
		switch {
		case !ok || kept[o.engine]:
		case p.fits(now, w, o):
			w.decided = true
			granted[w.ask.Account] = true
			out = append(out, p.grant(now, w.ask, o))
		case p.feasible(now, w, o):
			kept[o.engine] = true
		case !p.hopeless(w, o):
			w.decided = true
			out = append(out, p.refuse(now, w.ask, Late))
		}
	}
	return out
}

// expire forgets grants whose reports were lost, and counts first events that
// are overdue against their engine.
func (p *Placer) expire(now time.Time) {
	for id, g := range p.grants {
		age := now.Sub(g.at)
		switch {
		case age > grantTimeout:
			p.Ended(now, id, Abandoned)
		case !g.first && age > firstTimeout:
			p.cancel(now, g)
		case !g.first && !g.overdue && age > g.forecast+overdue && !g.engine.model.Overtaken(g.prompt):
			g.overdue = true
			g.engine.failures.Record(now, true, failureWeight)
		}
	}
}

// option is an engine that could run a request.
type option struct {
	engine   *engine
	source   *engine
	kept     int
	uncached float64
	wait     time.Duration
	forecast time.Duration
	cost     time.Duration
}

func (p *Placer) place(now time.Time, w *waiter) (Decision, bool) {
	a := w.ask
	o, ok := p.best(now, a)
	if !ok || !p.fits(now, w, o) {
		return Decision{}, false
	}
	return p.grant(now, a, o), true
}

// fits reports whether a request may go to its best engine now. The second best
// is no choice while the best is busy: it would get a copy of the parts, and
// under load all caches would end up with copies of everything.
func (p *Placer) fits(now time.Time, w *waiter, o option) bool {
	queue := queueUse
	if p.over(now, p.account(now, w.ask.Account)) {
		queue = overShareUse
	}
	switch short := o.wait <= fraction(p.target, queue); {
	case p.starved(now, w):
		return short
	case p.hopeless(w, o):
		return o.wait <= fraction(w.ask.Target, idleUse)
	default:
		return short && o.forecast <= p.left(now, w)
	}
}

// feasible reports whether a request could go to an engine once its queue is
// short.
func (p *Placer) feasible(now time.Time, w *waiter, o option) bool {
	return p.starved(now, w) || o.forecast-o.wait <= p.left(now, w)
}

// starved reports whether a request's account gets far less than its share.
func (p *Placer) starved(now time.Time, w *waiter) bool {
	level := p.FairShare(now)
	return !math.IsInf(level, 1) && p.account(now, w.ask.Account).got < starvedBelow*level &&
		p.elapsed(now, w) < w.ask.Target
}

// left is the time in which a request must have its first event.
func (p *Placer) left(now time.Time, w *waiter) time.Duration {
	return fraction(w.ask.Target, useOfTarget) - p.elapsed(now, w)
}

// hopeless reports whether a request would be late even on an engine that has
// nothing else to do.
func (p *Placer) hopeless(w *waiter, o option) bool {
	return o.forecast-o.wait > fraction(w.ask.Target, useOfTarget)
}

// elapsed is the part of a request's target that is over. Callers that come
// back after a refusal start anew: to refuse them twice serves nobody.
func (p *Placer) elapsed(now time.Time, w *waiter) time.Duration {
	d := now.Sub(w.at)
	if !w.back && !w.ask.Resumed {
		d += w.ask.Elapsed
	}
	return d
}

// gain is the number of tokens that a request is about, generated ones counted
// ten times, for each token that has to be read for it.
func gain(a Request) float64 {
	return (float64(total(a)) + 10*float64(a.ExpectedOutput)) / float64(a.UniqueTokens+2*a.ExpectedOutput+1)
}

// ownPart is the id of the prompt part that only this request has.
func ownPart(a Request) string {
	if len(a.Parts) == 0 {
		return ""
	}
	return a.Parts[len(a.Parts)-1].ID
}

// total is the number of prompt tokens.
func total(a Request) int {
	if len(a.Parts) == 0 {
		return a.UniqueTokens
	}
	n := 0
	for _, part := range a.Parts {
		n += part.Tokens
	}
	return n
}

// canWait reports whether a request could still be on time if an engine had
// nothing else to do.
func (p *Placer) canWait(now time.Time, w *waiter) bool {
	need := time.Duration(math.MaxInt64)
	for _, e := range p.engines {
		need = min(need, e.model.FirstEventDelay()+e.model.Read(float64(w.ask.UniqueTokens)))
	}
	limit := fraction(w.ask.Target, useOfTarget)
	if len(p.homes) == 0 {
		return false
	}
	if p.starved(now, w) {
		return true
	}
	if need > limit {
		return p.elapsed(now, w) < fraction(w.ask.Target, idleUse)
	}
	return p.elapsed(now, w)+need < limit
}

func (p *Placer) best(now time.Time, a Request) (option, bool) {
	mean := p.meanBacklog(now)
	home := rwrendezvous.Top(a.AffinityKey(), p.homes)
	first, second := p.sources(a)
	var best option
	found := false
	for _, name := range p.homes {
		e := p.engines[name]
		if slices.Contains(a.Avoid, name) || !p.usable(now, e, a) {
			continue
		}
		source := first
		if first.engine == e {
			source = second
		}
		if o := p.option(now, a, e, source, name == home, mean); !found || o.cost < best.cost {
			best, found = o, true
		}
	}
	return best, found
}

func (p *Placer) usable(now time.Time, e *engine, a Request) bool {
	return !e.Leaving && e.running < p.spec.Slots &&
		float64(e.tokens+a.UniqueTokens+a.ExpectedOutput) <= float64(p.spec.KVCapacity)*runningPart &&
		!now.Before(e.refused) && !now.Before(e.down[a.Zone].until)
}

func (p *Placer) option(now time.Time, a Request, e *engine, src source, home bool, mean time.Duration) option {
	o := option{engine: e, kept: e.cache.CachedTokens(a.Parts)}
	all := total(a)
	shared := all - a.UniqueTokens
	missing := max(shared-o.kept, 0)
	o.uncached = float64(all - min(o.kept, all))
	o.wait = e.model.Backlog(now)
	var extra time.Duration
	if missing > 0 {
		if src.engine != nil && src.kept-o.kept >= fetchMin {
			copied := float64(src.kept - o.kept)
			o.source = src.engine
			o.uncached -= copied
			extra = fetchSetup + seconds(copied*p.spec.TokenBytes/p.spec.LinkBytesPerSecond)
			o.cost = time.Duration(copied) * fetchCost
			missing -= src.kept - o.kept
		}
		again := e.model.Read(float64(max(missing, 0)))
		o.cost += time.Duration(float64(again) * float64(mean) / float64(rereadScale))
		if home && o.kept == 0 && o.source == nil {
			// Nothing is known of the parts: the home is where a placer
			// before this one put them.
			o.cost -= e.model.Read(float64(shared))
		}
	}
	o.forecast = e.model.FirstEventDelay() + o.wait + extra + e.model.Read(o.uncached)
	o.cost += o.forecast + time.Duration(e.failures.At(now)*float64(failureCost))
	return o
}

// source is an engine that prompt parts can be copied from.
type source struct {
	engine *engine
	kept   int
}

// sources returns the engines that keep most and second most of a prompt.
func (p *Placer) sources(a Request) (first, second source) {
	if p.spec.TokenBytes <= 0 || p.spec.LinkBytesPerSecond <= 0 {
		return first, second
	}
	shared := a.Parts[:max(len(a.Parts)-1, 0)]
	for _, name := range p.names {
		e := p.engines[name]
		switch n := e.cache.CachedTokens(shared); {
		case n > first.kept:
			first, second = source{e, n}, first
		case n > second.kept:
			second = source{e, n}
		}
	}
	return first, second
}

func (p *Placer) grant(now time.Time, a Request, o option) Decision {
	e := o.engine
	e.cache.Resize(int(float64(p.spec.KVCapacity-e.tokens) * cachePart))
	e.cache.Use(a.Parts)
	prompt := e.model.Send(now, o.uncached)
	e.running++
	e.tokens += a.UniqueTokens + a.ExpectedOutput
	p.account(now, a.Account).got += service(a)
	p.grants[a.ID] = &grant{
		ask: a, engine: e, at: now, prompt: prompt, forecast: o.forecast,
	}
	d := Decision{
		ID: a.ID, Verdict: Granted, Engine: e.ID, Forecast: o.forecast, QueuedTokens: int(e.model.QueuedTokens(now)),
		UncachedTokens: int(o.uncached), CachedTokens: o.kept, PrefillRate: int(e.model.Rate()),
	}
	if o.source != nil {
		d.Source = o.source.ID
	}
	return p.withShare(now, a, d)
}

// withShare adds the account's share to a decision, for the log.
func (p *Placer) withShare(now time.Time, a Request, d Decision) Decision {
	d.Usage = int(p.account(now, a.Account).got)
	if level := p.FairShare(now); !math.IsInf(level, 1) {
		d.FairShare = int(level)
	}
	return d
}

func (p *Placer) refuse(now time.Time, a Request, v Verdict) Decision {
	asked, got := p.totals(now)
	retry := minRetry + p.meanBacklog(now)
	if load := asked / max(got, 1); load > 1 {
		// The part of the demand that the engines can't serve comes back
		// later by as much.
		retry += seconds(min(load-1, 1))
	}
	if part := ownPart(a); part != "" {
		p.refused[part] = now
	}
	if now.Sub(p.refusedAt) > returnTime {
		p.refusedAt = now
		maps.DeleteFunc(p.refused, func(_ string, at time.Time) bool { return now.Sub(at) > returnTime })
	}
	d := Decision{ID: a.ID, Verdict: v, RetryAfter: min(retry, maxRetry)}
	if o, ok := p.best(now, a); ok {
		d.Engine, d.Forecast, d.CachedTokens = o.engine.ID, o.forecast, o.kept
		d.QueuedTokens, d.UncachedTokens = int(o.engine.model.QueuedTokens(now)), int(o.uncached)
	}
	return p.withShare(now, a, d)
}

// FairShare is the share of an account over the window while the engines can't
// serve all, and infinite while they can. What they can serve is what they did
// serve: it depends on how much of the prompts they kept.
func (p *Placer) FairShare(now time.Time) float64 {
	if now.Sub(p.levelAt) < levelInterval {
		return p.level
	}
	p.levelAt = now
	capacity := 0.0
	asked, got := p.totals(now)
	p.level = math.Inf(1)
	// What the engines can read at least, for the time after a start in which
	// little was served yet.
	for _, name := range p.homes {
		capacity += p.engines[name].model.Rate() * p.spec.Window.Seconds()
	}
	got = max(got, capacity)
	if asked <= got*servedAll {
		return p.level
	}
	demands := make([]float64, 0, len(p.accounts))
	for _, acc := range p.accounts {
		demands = append(demands, acc.asked)
	}
	p.level = rwmaxmin.Share(got, demands)
	return p.level
}

// totals returns what all accounts asked for and got over the window.
func (p *Placer) totals(now time.Time) (asked, got float64) {
	for name := range p.accounts {
		acc := p.account(now, name)
		if acc.asked < 1 && acc.got < 1 {
			delete(p.accounts, name)
			continue
		}
		asked += acc.asked
		got += acc.got
	}
	return asked, got
}

func (p *Placer) over(now time.Time, acc *account) bool {
	return acc.got > shareSlack*p.FairShare(now)
}

// account returns the counters of an account, decayed up to now.
func (p *Placer) account(now time.Time, name string) *account {
	acc := p.accounts[name]
	if acc == nil {
		acc = &account{at: now}
		p.accounts[name] = acc
	}
	if d := now.Sub(acc.at); d > 0 {
		f := math.Exp(-d.Seconds() / p.spec.Window.Seconds())
		acc.got, acc.asked, acc.at = acc.got*f, acc.asked*f, now
	}
	return acc
}

func (p *Placer) meanBacklog(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, name := range p.homes {
		sum += p.engines[name].model.Backlog(now)
	}
	return sum / time.Duration(max(len(p.homes), 1))
}

func (p *Placer) shortestBacklog(now time.Time) time.Duration {
	if len(p.homes) == 0 {
		return 0
	}
	least := time.Duration(math.MaxInt64)
	for _, name := range p.homes {
		least = min(least, p.engines[name].model.Backlog(now))
	}
	return least
}

// service is what an account gets with a request: all tokens of the prompt,
// whoever read them first, and generated ones twice.
func service(a Request) float64 { return float64(total(a) + 2*a.ExpectedOutput) }

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
