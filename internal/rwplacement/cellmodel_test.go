package rwplacement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"redwingworks.example/internal/rwcache"
	"redwingworks.example/internal/rwprompt"
)

// modelSpec describes the engines of a modelled pool. Times are in ms.
type modelSpec struct {
	spec Spec
	// speeds are given to the engines in turn.
	speeds []float64
	// stepTime is the time of a step; stepTimePerRun is added for each running
	// request and stepTimePerContext for each 1,000 tokens of their contexts.
	stepTime, stepTimePerRun, stepTimePerContext float64
	// prefillRate is in tokens per ms; pairTime is the attention time of a
	// million pairs of a prefilled token and a token before it.
	prefillRate, pairTime, firstTime float64
	// chunk is the largest number of prompt tokens of a step; stride is the
	// number of tokens of an event.
	chunk, stride int
	// pauseRatio is the fraction of the spans of pauseSpan ms in which an engine
	// is pauseFactor times as slow.
	pauseRatio, pauseFactor, pauseSpan float64
	copySetup                          float64
	kinds                              []modelKind
}

// modelKind is a kind of request of a modelled pool.
type modelKind struct {
	name                 string
	sharedTokens         int
	meanOwn              float64
	events               int
	perEngine            float64
	target, gap          float64
	worth, worthWhenLate float64
	subjects             int
}

// mixed describes 140 engines with speeds of 1.0 and 1.3, long prompts with a target of
// 800 ms, and attention that costs as much as reading at a context of 24,000 tokens.
func mixed() modelSpec {
	return modelSpec{
		spec:   Spec{Slots: 32, KVCapacity: 447_296, TokenBytes: 163_840, LinkBytesPerSecond: 550e9 / 8, Window: 2 * time.Second},
		speeds: []float64{1, 1, 1.3}, stepTime: 4.23, stepTimePerRun: 0.000767, stepTimePerContext: 0.00857,
		prefillRate: 64.2, pairTime: 0.647, firstTime: 0.67, chunk: 2048, stride: 6, copySetup: 2.7,
		kinds: []modelKind{
			{"compare", 13_300, 3_720, 20, 423. / 140, 800, 400, 4.6, 0.46, 100},
			{"explain", 6_300, 2_890, 9, 359. / 140, 1200, 400, 1.5, 0.15, 100},
			{"quick", 350, 1_110, 29, 717. / 140, 1200, 400, 0.29, 0.029, 60},
		},
	}
}

// uneven describes engines with speeds of 0.7 and 1.7 that pause, in chunks of twice the size.
func uneven() modelSpec {
	return modelSpec{
		spec:   Spec{Slots: 24, KVCapacity: 659_339, TokenBytes: 18_432, LinkBytesPerSecond: 88e9 / 8, Window: 2 * time.Second},
		speeds: []float64{0.7, 0.7, 1.7}, stepTime: 3.79, stepTimePerRun: 0.0893, stepTimePerContext: 0.00138,
		prefillRate: 56.6, pairTime: 0.124, firstTime: 16, chunk: 4096, stride: 6, copySetup: 8,
		pauseRatio: 0.15, pauseFactor: 2.5, pauseSpan: 600,
		kinds: []modelKind{
			{"compare", 13_300, 3_720, 20, 600. / 140, 800, 600, 3.8, 1.9, 100},
			{"explain", 6_300, 2_890, 9, 418. / 140, 1200, 600, 1.5, 0.75, 100},
			{"quick", 350, 1_110, 29, 498. / 140, 1500, 600, 0.45, 0.22, 60},
		},
	}
}

// ownSigma is the standard deviation of the logarithm of the unique tokens, and
// maxOwn the largest number of them.
const (
	ownSigma = 1.0
	maxOwn   = 53_000
)

// modelRun is a request at a modelled engine.
type modelRun struct {
	call              *modelCall
	readyAt           float64
	cached, prefilled int
	generated, events int
	lastEvent         float64
}

// modelEngine prefills prompts in the order of arrival, in chunks that it shares with
// the steps of the requests that it decodes.
type modelEngine struct {
	id      string
	speed   float64
	cache   *rwcache.Cache
	waiting []*modelRun
	batch   []*modelRun
	stepEnd float64
	// chunks holds what the current step prefills.
	chunks []int
	// linkFree is when the last transfer to the engine ends.
	linkFree float64
	busy     float64
}

// modelCall is a request of a caller and what became of it.
type modelCall struct {
	kind    int
	large   bool
	request Request
	at      float64
	verdict Verdict
	engine  string
	// first is when the first event arrived, or 0; late is whether it or a
	// later event came too late. finished is whether the response was complete.
	first          float64
	late, finished bool
	grantedAt      float64
	abandoned      bool
	retried        bool
	// lateGap is whether a pause between events was too long.
	lateGap  bool
	forecast float64
}

type modelCell struct {
	m       modelSpec
	p       *Placer
	rng     *rand.Rand
	engines map[string]*modelEngine
	ids     []string
	calls   []*modelCall
	open    map[string]*modelCall
	running map[string]*modelRun
	// slow holds the spans in which an engine pauses.
	slow map[string]bool
	// reports are events on their way to the owner of the cell.
	reports  []func(time.Time)
	reportAt []float64
	// returning are the refused calls that their callers send again.
	returning                    []*modelCall
	copied                       float64
	plannedReread, reread, known float64
	read                         float64
	// retries is whether callers send a refused request once more.
	retries bool
}

func newModelCell(m modelSpec, engines int, seed uint64) *modelCell {
	c := &modelCell{
		m: m, p: New(m.spec), rng: rand.New(rand.NewPCG(seed, 7)), engines: map[string]*modelEngine{},
		open: map[string]*modelCall{}, running: map[string]*modelRun{}, slow: map[string]bool{},
	}
	var list []Engine
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		c.ids = append(c.ids, id)
		list = append(list, Engine{ID: id})
		c.engines[id] = &modelEngine{id: id, speed: m.speeds[i%len(m.speeds)], cache: rwcache.New(m.spec.KVCapacity)}
	}
	c.p.SetEngines(list)
	return c
}

// play runs the cell from one time to another, in ms, at a multiple of the kinds' rates.
func (c *modelCell) play(from, to int, load float64) {
	for ms := from; ms < to; ms++ {
		now := float64(ms)
		for _, id := range c.ids {
			c.advance(c.engines[id], now)
		}
		c.deliver(now)
		for k, kind := range c.m.kinds {
			for n := c.poisson(kind.perEngine * float64(len(c.ids)) * load / 1000); n > 0; n-- {
				c.arrive(now, k)
			}
		}
		c.returnCalls(now)
		if ms%5 == 0 {
			for _, d := range c.p.Tick(at(ms)) {
				c.decide(now, d)
			}
		}
	}
}

func (c *modelCell) poisson(mean float64) int {
	n := 0
	for limit, v := math.Exp(-mean), c.rng.Float64(); v > limit; v *= c.rng.Float64() {
		n++
	}
	return n
}

// skewed returns a number below n; small ones are more frequent.
func (c *modelCell) skewed(n int) int {
	return min(int(float64(n)*math.Pow(c.rng.Float64(), 1.7)), n-1)
}

func (c *modelCell) arrive(now float64, k int) {
	kind := c.m.kinds[k]
	own := int(min(kind.meanOwn*math.Exp(ownSigma*c.rng.NormFloat64()-ownSigma*ownSigma/2), maxOwn)) + 16
	id := strconv.Itoa(len(c.calls))
	call := &modelCall{kind: k, at: now, large: float64(own) > kind.meanOwn*math.Exp(1.2816*ownSigma-ownSigma*ownSigma/2), request: Request{
		ID: id, Router: "r" + strconv.Itoa(c.rng.IntN(7)), Account: "acc" + strconv.Itoa(c.skewed(30)),
		Parts: []rwprompt.Part{
			{ID: kind.name, Tokens: kind.sharedTokens / 8},
			{ID: kind.name + strconv.Itoa(c.skewed(kind.subjects)), Tokens: kind.sharedTokens - kind.sharedTokens/8},
			{ID: "own-" + id, Tokens: own},
		},
		UniqueTokens: own, ExpectedOutput: kind.events * c.m.stride, Zone: "z",
		Target: time.Duration(kind.target) * time.Millisecond, GapTarget: time.Duration(kind.gap) * time.Millisecond, Elapsed: 3 * time.Millisecond,
	}}
	c.calls = append(c.calls, call)
	c.submit(now, call)
}

func (c *modelCell) submit(now float64, call *modelCall) {
	c.open[call.request.ID] = call
	c.decide(now, c.p.Submit(at(int(now)), call.request))
}

func (c *modelCell) decide(now float64, d Decision) {
	call := c.open[d.ID]
	if call == nil || d.Verdict == Queued {
		return
	}
	delete(c.open, d.ID)
	call.verdict = d.Verdict
	if d.Verdict != Granted {
		if c.retries && !call.retried {
			call.retried = true
			call.grantedAt = now + float64(d.RetryAfter.Milliseconds()) + 4
			c.returning = append(c.returning, call)
		}
		return
	}
	call.grantedAt, call.engine = now, d.Engine
	call.forecast = float64(d.Forecast) / 1e6
	if x := d.UncachedTokens - call.request.UniqueTokens; x > 0 {
		c.plannedReread += float64(x)
		for _, e := range c.engines {
			if e.cache.CachedTokens(call.request.Parts) > 2000 {
				c.known += float64(x)
				break
			}
		}
	}
	e := c.engines[d.Engine]
	run := &modelRun{call: call, readyAt: now + 2}
	if src := c.engines[d.Source]; src != nil {
		shared := call.request.Parts[:len(call.request.Parts)-1]
		if n := src.cache.CachedTokens(shared) - e.cache.CachedTokens(shared); n > 0 {
			took := c.m.copySetup + float64(n)*c.m.spec.TokenBytes/c.m.spec.LinkBytesPerSecond*1000
			e.linkFree = max(e.linkFree, now) + took
			run.readyAt = e.linkFree
			c.copied += float64(n)
			e.cache.Use(at(int(now)), shared)
		}
	}
	e.waiting = append(e.waiting, run)
	c.running[call.request.ID] = run
	slices.SortStableFunc(e.waiting, func(x, y *modelRun) int { return cmp.Compare(x.readyAt, y.readyAt) })
}

func (c *modelCell) returnCalls(now float64) {
	later := c.returning[:0:0]
	for _, call := range c.returning {
		if call.grantedAt > now {
			later = append(later, call)
			continue
		}
		call.request.ID += "-again"
		c.submit(now, call)
	}
	c.returning = later
}

func (c *modelCell) report(at float64, f func(time.Time)) {
	c.reports, c.reportAt = append(c.reports, f), append(c.reportAt, at)
}

func (c *modelCell) deliver(now float64) {
	reports, times := c.reports, c.reportAt
	c.reports, c.reportAt = nil, nil
	for i, f := range reports {
		if times[i] > now {
			c.report(times[i], f)
			continue
		}
		f(at(int(now)))
	}
}

// advance runs the steps of an engine that end by now.
func (c *modelCell) advance(e *modelEngine, now float64) {
	for e.stepEnd <= now {
		if len(e.chunks) > 0 {
			c.finishStep(e)
		}
		c.admit(e)
		e.chunks = nil
		if len(e.batch) == 0 {
			e.stepEnd = now + 1
			continue
		}
		took := c.startStep(e)
		e.busy += took
		e.stepEnd += took
	}
}

func (c *modelCell) admit(e *modelEngine) {
	for len(e.batch) < c.m.spec.Slots && len(e.waiting) > 0 && e.waiting[0].readyAt <= e.stepEnd {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		r := run.call.request
		run.cached = e.cache.CachedTokens(r.Parts[:len(r.Parts)-1])
		run.prefilled = run.cached
		c.reread += float64(promptTokens(r) - r.UniqueTokens - run.cached)
		e.batch = append(e.batch, run)
	}
}

// startStep returns the time of a step of up to one chunk of prompts and one token of
// each request that is decoded.
func (c *modelCell) startStep(e *modelEngine) float64 {
	took := c.m.stepTime + c.m.stepTimePerRun*float64(len(e.batch))
	left := c.m.chunk
	for _, run := range e.batch {
		n := min(promptTokens(run.call.request)-run.prefilled, left)
		left -= n
		e.chunks = append(e.chunks, n)
		took += float64(n)/c.m.prefillRate + float64(n)*(float64(run.prefilled)+float64(n)/2)*c.m.pairTime/1e6
		if n == 0 {
			took += float64(run.prefilled+run.generated) / 1000 * c.m.stepTimePerContext
		}
		c.read += float64(n)
	}
	return took / e.speed * c.pause(e)
}

func (c *modelCell) pause(e *modelEngine) float64 {
	if c.m.pauseRatio == 0 {
		return 1
	}
	key := e.id + "/" + strconv.Itoa(int(e.stepEnd/c.m.pauseSpan))
	slow, known := c.slow[key]
	if !known {
		slow = c.rng.Float64() < c.m.pauseRatio
		c.slow[key] = slow
	}
	if slow {
		return c.m.pauseFactor
	}
	return 1
}

func (c *modelCell) finishStep(e *modelEngine) {
	now := e.stepEnd
	var batch []*modelRun
	for i, run := range e.batch {
		all := promptTokens(run.call.request)
		run.prefilled += e.chunks[i]
		if run.prefilled >= all {
			if e.chunks[i] > 0 {
				e.cache.Use(at(int(now)), run.call.request.Parts)
			}
			run.generated++
			c.emit(now, run)
		}
		kind := c.m.kinds[run.call.kind]
		if c.giveUp(now, run) {
			run.call.abandoned = true
			c.end(now, run, Abandoned)
			continue
		}
		if run.generated >= kind.events*c.m.stride {
			run.call.finished = true
			c.end(now, run, Served)
			continue
		}
		batch = append(batch, run)
	}
	e.batch = batch
	// The placer's grants reserve the memory, so the cache shrinks with them.
	reserved := 0
	for _, run := range batch {
		reserved += run.call.request.UniqueTokens + run.generated
	}
	e.cache.Resize(c.m.spec.KVCapacity - reserved)
}

func (c *modelCell) emit(now float64, run *modelRun) {
	if run.generated%c.m.stride != 0 {
		return
	}
	kind, call := c.m.kinds[run.call.kind], run.call
	if run.events == 0 {
		call.first = now + 2 + c.m.firstTime
		call.late = call.first-call.at > kind.target
		id := call.request.ID
		c.report(now+3+c.m.firstTime, func(t time.Time) { c.p.FirstEvent(t, id) })
	} else if now-run.lastEvent > kind.gap {
		call.late = true
		call.lateGap = true
	}
	run.events++
	run.lastEvent = now
}

// giveUp reports whether the caller of a request has left.
func (c *modelCell) giveUp(now float64, run *modelRun) bool {
	kind := c.m.kinds[run.call.kind]
	since := run.call.at
	if run.events > 0 {
		since = run.lastEvent
	}
	return now-since > max(2000, 4*kind.target, 8*kind.gap)
}

func (c *modelCell) end(now float64, run *modelRun, end End) {
	id := run.call.request.ID
	delete(c.running, id)
	c.report(now+3, func(t time.Time) { c.p.Ended(t, id, end) })
}

// outcome counts the calls of a class.
type outcome struct {
	asked, inTime, late, refused, failed int
}

func (o *outcome) add(x outcome) {
	o.asked, o.inTime, o.late = o.asked+x.asked, o.inTime+x.inTime, o.late+x.late
	o.refused, o.failed = o.refused+x.refused, o.failed+x.failed
}

func (o outcome) inTimeRatio() float64 { return float64(o.inTime) / float64(max(o.asked, 1)) }

func (o outcome) String() string {
	n := float64(max(o.asked, 1)) / 100
	return fmt.Sprintf("%5d asked, %3.0f%% in time, %3.0f%% late, %3.0f%% refused, %3.0f%% failed", o.asked,
		float64(o.inTime)/n, float64(o.late)/n, float64(o.refused)/n, float64(o.failed)/n)
}

// outcomes counts the calls that arrived in a span, in ms, and that match.
func (c *modelCell) outcomes(from, to float64, match func(*modelCall) bool) outcome {
	var o outcome
	for _, call := range c.calls {
		if call.at < from || call.at >= to || !match(call) {
			continue
		}
		o.asked++
		switch {
		case call.verdict != Granted:
			o.refused++
		case !call.finished:
			o.failed++
		case call.late:
			o.late++
		default:
			o.inTime++
		}
	}
	return o
}

// begun returns the tokens of the prompts whose first event fell into a span,
// per second.
func (c *modelCell) begun(from, to float64) float64 {
	sum := 0.0
	for _, call := range c.calls {
		if call.first >= from && call.first < to {
			sum += chargedTokens(call.request)
		}
	}
	return sum / (to - from) * 1000
}

// worth returns which fraction of the value of the calls of a span was earned.
func (c *modelCell) worth(from, to float64) float64 {
	owed, earned := 0.0, 0.0
	for _, call := range c.calls {
		if call.at < from || call.at >= to {
			continue
		}
		kind := c.m.kinds[call.kind]
		mean := float64(kind.sharedTokens) + kind.meanOwn + 10*float64(kind.events*c.m.stride)
		size := float64(promptTokens(call.request) + 10*call.request.ExpectedOutput)
		factor := min(0.3+0.7*size/mean, 4)
		owed += kind.worth * factor
		switch {
		case !call.finished:
		case call.late:
			earned += kind.worthWhenLate * factor
		default:
			earned += kind.worth * factor
		}
	}
	return earned / owed
}
