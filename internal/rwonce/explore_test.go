package rwonce_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingworks.example/internal/rwcall"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdecision"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwonce"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwresult"
	"redwingworks.example/internal/rwvmlist"
)

// Assumptions of the simulation. All but the last are also stated in
// docs/design.md, which instead of the last requires that a router that starts
// with an old list finds a router that knows a newer one, unless no router took
// over by that one.
//   - Callers don't repeat a key after the repeat window.
//   - The clocks of callers and routers differ by less than 5 s.
//   - A VM that is no longer published has stopped within the stop time.
//   - A router that starts reads a list that is at most maxStartLag lists old.
const (
	repeat      = 10 * time.Second
	rpcTimeout  = time.Second
	routerNames = "abcde"
)

type fault int

const (
	crashFault fault = iota
	restartFault
	leaveFault
	pauseFault
	partitionFault
	listFault
	startFault
)

// faultMixes are the sets of faults that a seed chooses from. With the first
// one, most keys are held most of the time. The other mixes keep the fleet
// working.
var faultMixes = [][]fault{
	{crashFault, crashFault, leaveFault, pauseFault, partitionFault, listFault, startFault, startFault},
	{restartFault},
	{restartFault, restartFault, pauseFault, listFault},
	{leaveFault, startFault, startFault, restartFault},
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type router struct {
	name        string
	inc         int64
	machine     *rwonce.Machine
	up          bool
	pausedUntil time.Time
	// listIndex is the index of the router's list in simulation.lists.
	listIndex int
	waiting   map[string][]func()
}

type attempt struct {
	call        rwcall.Call
	notRun      bool
	ran         bool
	falseNotRun bool
	// issuer and inc name the router incarnation that issued the ticket.
	issuer string
	inc    int64
}

type simulation struct {
	rng          *rand.Rand
	now          time.Time
	start        time.Time
	seq          int
	events       queue
	routers      map[string]*router
	lists        []rwvmlist.List
	blockedUntil map[[2]string]time.Time
	rules        rwonce.Rules
	lossRate     float64
	noFaults     bool
	// manualLists means that running routers adopt a list only when the test
	// calls adoptNewest.
	manualLists bool
	// startList is the index of the list with which routers start in a
	// scenario, -1 for the newest one.
	startList int
	sent      int
	stopTime  time.Duration
	// maxStartLag is the maximum number of lists that a starting router lags
	// behind.
	maxStartLag int
	faultMix    []fault

	executions map[string]int
	executed   int
	violations []string
	log        []string
	logging    bool
}

func newSimulation(seed uint64, rules rwonce.Rules) *simulation {
	t := time.Unix(1_800_000_000, 0)
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: t, start: t, rules: rules,
		routers: map[string]*router{}, blockedUntil: map[[2]string]time.Time{}, executions: map[string]int{}, maxStartLag: 2, startList: -1, stopTime: repeat,
		faultMix: faultMixes[seed%uint64(len(faultMixes))],
	}
	return sim
}

func (sim *simulation) logf(format string, args ...any) {
	if sim.logging {
		sim.log = append(sim.log, fmt.Sprintf("%8.3f ", sim.now.Sub(sim.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) failf(format string, args ...any) {
	sim.logf("FAIL "+format, args...)
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.seq, do})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && len(sim.violations) == 0 {
		if sim.events[0].at.After(end) {
			break
		}
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// onRouter runs a step of a router incarnation. If the router is paused, the
// step runs after it resumes; if that incarnation has ended, the step is
// dropped.
func (sim *simulation) onRouter(r *router, inc int64, do func()) {
	if !r.up || r.inc != inc {
		return
	}
	if r.pausedUntil.After(sim.now) {
		sim.after(r.pausedUntil.Sub(sim.now)+sim.randomDuration(20*time.Millisecond), func() { sim.onRouter(r, inc, do) })
		return
	}
	do()
}

func (sim *simulation) delay() time.Duration {
	if sim.noFaults {
		return time.Millisecond
	}
	if sim.chance(0.05) {
		return sim.randomDuration(3 * time.Second)
	}
	return sim.randomDuration(10 * time.Millisecond)
}

func (sim *simulation) dropped(from, to string) bool {
	return sim.blockedUntil[[2]string{from, to}].After(sim.now) || !sim.noFaults && sim.chance(sim.lossRate)
}

// rpc sends a request to another router and passes its answer to done, or nil
// after the timeout.
func (sim *simulation) rpc(from *router, to string, handle func(*router, func(any)), done func(any)) {
	inc, over := from.inc, false
	finish := func(x any) {
		if !over {
			over = true
			done(x)
		}
	}
	sim.after(rpcTimeout, func() { sim.onRouter(from, inc, func() { finish(nil) }) })
	copies, target := 1, int64(0)
	if r := sim.routers[to]; r != nil {
		target = r.inc
	}
	if !sim.noFaults && sim.chance(0.05) {
		copies = 2
	}
	for i := range copies {
		if sim.dropped(from.name, to) {
			continue
		}
		sim.after(sim.delay(), func() {
			r := sim.routers[to]
			if r == nil {
				return
			}
			// A connection ends with its process, so a second copy can't reach
			// a later incarnation.
			if i > 0 && r.inc != target {
				return
			}
			sim.onRouter(r, r.inc, func() {
				handle(r, func(x any) {
					if !sim.dropped(to, from.name) {
						sim.after(sim.delay(), func() { sim.onRouter(from, inc, func() { finish(x) }) })
					}
				})
			})
		})
	}
}

func (r *router) id() rwidentity.Identity { return rwidentity.Identity{Name: r.name, Inc: r.inc} }

func (sim *simulation) startRouter(name string) {
	r := sim.routers[name]
	if r == nil {
		r = &router{name: name}
		sim.routers[name] = r
	}
	r.inc = sim.now.UnixMicro()
	r.up, r.pausedUntil, r.waiting = true, time.Time{}, map[string][]func(){}
	r.machine = rwonce.New(r.id(), rwonce.Config{Rules: sim.rules, Stop: sim.stopTime}, sim.now)
	r.listIndex = len(sim.lists) - 1
	if sim.noFaults && sim.startList >= 0 {
		r.listIndex = min(sim.startList, r.listIndex)
	}
	if !sim.noFaults && sim.chance(0.3) {
		r.listIndex = max(0, r.listIndex-sim.rng.IntN(sim.maxStartLag+1))
	}
	r.machine.SetList(sim.now, sim.lists[r.listIndex], repeat)
	sim.logf("%s starts with list %d", name, r.listIndex+1)
	sim.tick(r, r.inc)
}

func (sim *simulation) tick(r *router, inc int64) {
	sim.onRouter(r, inc, func() {
		r.machine.Tick(sim.now)
		if sim.noFaults && !sim.manualLists && r.listIndex < len(sim.lists)-1 {
			sim.adopt(r, inc, len(sim.lists)-1)
		}
		id := r.id()
		for _, p := range r.machine.PendingMessages(sim.now) {
			if p.Query != nil {
				sim.rpc(r, p.To, func(to *router, answer func(any)) {
					answer(to.machine.HandleQuery(sim.now, id, *p.Query))
				}, func(x any) {
					if x != nil {
						handleReply(sim, r, p, x)
					}
				})
				continue
			}
			sim.rpc(r, p.To, func(to *router, answer func(any)) {
				answer(to.machine.HandleSync(sim.now, id, *p.Sync))
			}, func(x any) {
				if x != nil {
					handleSyncAck(sim, r, p, x)
				}
			})
		}
	})
	if r.up && r.inc == inc {
		sim.after(100*time.Millisecond, func() { sim.tick(r, inc) })
	}
}

func (sim *simulation) adopt(r *router, inc int64, version int) {
	sim.onRouter(r, inc, func() {
		if version > r.listIndex {
			r.listIndex = version
			sim.logf("%s adopts list %d", r.name, version+1)
			r.machine.SetList(sim.now, sim.lists[version], repeat)
		}
	})
}

// publish adds a list, which the routers adopt with a delay.
func (sim *simulation) publish(live, all []string) {
	l := rwvmlist.New(int64(len(sim.lists)+1), live, all)
	sim.lists = append(sim.lists, l)
	sim.logf("list %d: live %v all %v", len(sim.lists), l.Live, l.All)
	version := len(sim.lists) - 1
	if sim.manualLists {
		return
	}
	for _, n := range routerNames {
		r := sim.routers[string(n)]
		if r == nil || !r.up {
			continue
		}
		lag := sim.randomDuration(300 * time.Millisecond)
		if sim.chance(0.3) {
			lag = sim.randomDuration(20 * time.Second)
		}
		inc := r.inc
		sim.after(lag, func() { sim.adopt(r, inc, version) })
	}
}

func (sim *simulation) crash(r *router) {
	if r.up {
		sim.logf("%s crashes", r.name)
		r.up = false
	}
}

// maxHeldRetries is the number of times that an entry router retries a call
// which a starting home refused.
const maxHeldRetries = 3

// send makes an attempt of a caller through a router.
func (sim *simulation) send(a *attempt, via string, done func(rwresult.Result)) {
	r := sim.routers[via]
	if r == nil || !r.up {
		return
	}
	inc := r.inc
	sim.onRouter(r, inc, func() {
		sim.enter(r, a, maxHeldRetries, func(x rwresult.Result) {
			sim.checkResult(a, x)
			done(x)
		})
	})
}

// forward sends a call to the candidates in order until one answers. It reports
// whether the home refused the call because it doesn't know yet which keys have
// been executed.
func (sim *simulation) forward(r *router, a *attempt, c rwcall.Call, candidates []string, done func(rwresult.Result, bool)) {
	sim.forwardTo(r, candidates[0], a, c, func(x rwresult.Result, ok bool) {
		switch {
		case ok:
			done(x, x.Code == rwcode.KeyHeld.String() && candidates[0] == r.machine.Home(c.Key))
		case len(candidates) == 1:
			done(x, false)
		case candidates[1] == r.name:
			sim.begin(r, a, c, func(x rwresult.Result) { done(x, false) })
		default:
			sim.forward(r, a, c, candidates[1:], done)
		}
	})
}

// enter handles a call at its entry router. It retries a call that the home
// refused up to the given number of times.
func (sim *simulation) enter(r *router, a *attempt, tries int, done func(rwresult.Result)) {
	if a.call.Ticket {
		if a.issuer == r.name {
			sim.begin(r, a, a.call, done)
			return
		}
		sim.forwardTo(r, a.issuer, a, a.call, func(x rwresult.Result, _ bool) { done(x) })
		return
	}
	v := r.machine.Route(sim.now, a.call)
	switch v.Action {
	case rwdecision.Run:
		sim.begin(r, a, a.call, done)
	case rwdecision.Forward:
		c := a.call
		c.From, c.Inc, c.FromIsWitness, c.Version = r.name, r.inc, v.SelfIsWitness, r.machine.Version()
		sim.logf("%s forwards %s to %s", r.name, c.Key, v.To)
		sim.forward(r, a, c, r.machine.Candidates(c.Key), func(x rwresult.Result, refused bool) {
			if !refused || tries == 0 {
				done(x)
				return
			}
			if v.NewIntent {
				r.machine.DropIntent(c.Key)
			}
			inc := r.inc
			sim.after(50*time.Millisecond, func() {
				sim.onRouter(r, inc, func() { sim.enter(r, a, tries-1, done) })
			})
		})
	default:
		done(v.Result)
	}
}

func (sim *simulation) forwardTo(r *router, to string, a *attempt, c rwcall.Call, done func(rwresult.Result, bool)) {
	sim.rpc(r, to, func(h *router, answer func(any)) {
		if h.machine.Closed() && h.machine.Begin(sim.now, c).Action == rwdecision.Forward {
			answer(nil)
			return
		}
		sim.begin(h, a, c, func(x rwresult.Result) { answer(x) })
	}, func(x any) {
		if x == nil {
			done(rwresult.Unknown("home unreachable"), false)
			return
		}
		done(x.(rwresult.Result), true)
	})
}

func (sim *simulation) begin(r *router, a *attempt, c rwcall.Call, done func(rwresult.Result)) {
	if c.Ticket && (a.issuer != r.name || a.inc != r.inc) {
		done(rwresult.Unknown("ticket of another incarnation"))
		return
	}
	v := r.machine.Begin(sim.now, c)
	switch v.Action {
	case rwdecision.Answer:
		sim.recordDecision(a, v.Result)
		done(v.Result)
	case rwdecision.Wait:
		r.waiting[c.Key] = append(r.waiting[c.Key], func() { sim.begin(r, a, c, done) })
	case rwdecision.Forward:
		c.From, c.FromIsWitness = r.name, false
		sim.forwardTo(r, v.To, a, c, func(x rwresult.Result, _ bool) { done(x) })
	case rwdecision.Run:
		if r.machine.Closed() {
			sim.failf("%s began %s after Close", r.name, c.Key)
		}
		sim.logf("%s begins %s witnesses %v", r.name, c.Key, v.Witnesses)
		if len(v.Witnesses) == 0 {
			sim.dispatch(r, a, c, done)
			return
		}
		sim.askWitnesses(r, a, c, v.Witnesses, done)
	}
}

func (sim *simulation) askWitnesses(r *router, a *attempt, c rwcall.Call, list []string, done func(rwresult.Result)) {
	if len(list) == 0 {
		sim.finish(r, a, c, nil, rwresult.Unknown("no witness"), done)
		return
	}
	n, id := r.machine.IntentSync(sim.now, c.Key), r.id()
	sim.rpc(r, list[0], func(to *router, answer func(any)) {
		answer(to.machine.HandleSync(sim.now, id, n))
	}, func(x any) {
		if x != nil && witnessAcked(sim, r, list[0], n, x) {
			sim.dispatch(r, a, c, done)
			return
		}
		sim.askWitnesses(r, a, c, list[1:], done)
	})
}

func (sim *simulation) dispatch(r *router, a *attempt, c rwcall.Call, done func(rwresult.Result)) {
	inc := r.inc
	if code := r.machine.Commit(sim.now, c); code != rwcode.None {
		x := rwresult.Fault(code, rwoutcome.NotRun, "")
		sim.finish(r, a, c, &x, x, done)
		return
	}
	sim.logf("%s commits %s", r.name, c.Key)
	result := rwresult.Result{Outcome: rwoutcome.Ran, Status: 200, Body: []byte(c.Key)}
	if !sim.noFaults && sim.chance(0.1) {
		result = rwresult.Fault(rwcode.UpstreamLeaving, rwoutcome.NotRun, "")
	}
	execute := func() {
		if result.Outcome == rwoutcome.Ran {
			sim.execute(r.name, a)
		}
	}
	if sim.chance(0.3) {
		// The bytes are on their way, so the call is executed even if the
		// router crashes.
		sim.after(sim.randomDuration(500*time.Millisecond), execute)
		sim.after(600*time.Millisecond, func() { sim.onRouter(r, inc, func() { sim.finish(r, a, c, &result, result, done) }) })
		return
	}
	sim.after(sim.randomDuration(20*time.Millisecond), func() {
		sim.onRouter(r, inc, func() {
			execute()
			if !sim.noFaults && sim.chance(0.1) {
				result = rwresult.Unknown("answer lost")
			}
			sim.after(sim.randomDuration(300*time.Millisecond), func() { sim.onRouter(r, inc, func() { sim.finish(r, a, c, &result, result, done) }) })
		})
	})
}

func (sim *simulation) execute(by string, a *attempt) {
	sim.logf("%s executes %s", by, a.call.Key)
	sim.executions[a.call.Key]++
	sim.executed++
	a.ran = true
	if sim.executions[a.call.Key] > 1 {
		sim.failf("%s was executed twice", a.call.Key)
	}
	if a.notRun {
		sim.failf("%s was executed after not_run", a.call.Key)
	}
}

// recordDecision records whether a router decided not_run although the key had
// been executed.
func (sim *simulation) recordDecision(a *attempt, x rwresult.Result) {
	if x.Outcome == rwoutcome.NotRun && sim.executions[a.call.Key] > 0 {
		a.falseNotRun = true
	}
}

// checkResult checks the result that the caller gets. With not_run, the key
// must not have been executed at the time of the decision, and this attempt
// must never be executed.
func (sim *simulation) checkResult(a *attempt, x rwresult.Result) {
	if x.Outcome != rwoutcome.NotRun {
		return
	}
	a.notRun = true
	if a.falseNotRun || a.ran {
		sim.failf("%s got not_run but was executed", a.call.Key)
	}
}

func (sim *simulation) finish(r *router, a *attempt, c rwcall.Call, stored *rwresult.Result, returned rwresult.Result, done func(rwresult.Result)) {
	if stored == nil {
		r.machine.Abandon(c.Key)
	} else {
		r.machine.Finish(sim.now, c.Key, *stored)
	}
	sim.recordDecision(a, returned)
	done(returned)
	list := r.waiting[c.Key]
	delete(r.waiting, c.Key)
	for _, f := range list {
		f()
	}
}

// leave shuts a router down gracefully.
func (sim *simulation) leave(r *router) {
	inc := r.inc
	sim.onRouter(r, inc, func() {
		sim.logf("%s leaves", r.name)
		sim.sendHandoffs(r)
		sim.after(sim.randomDuration(3*time.Second), func() {
			sim.onRouter(r, inc, func() {
				sim.sendHandoffs(r)
				r.machine.Close()
			})
			sim.after(sim.randomDuration(time.Second), func() {
				if r.inc == inc {
					sim.crash(r)
				}
			})
		})
	})
}

func (sim *simulation) sendHandoffs(r *router) {
	id := r.id()
	for to, h := range sortedHandoffs(r.machine.Leave(sim.now)) {
		sim.rpc(r, to, func(s *router, answer func(any)) {
			answer(s.machine.HandleHandoff(sim.now, id, h))
		}, func(any) {})
	}
}

// injectFault causes one random fault.
func (sim *simulation) injectFault() {
	n := string(routerNames[sim.rng.IntN(len(routerNames))])
	r := sim.routers[n]
	last := sim.lists[len(sim.lists)-1]
	published := slices.Contains(last.All, n)
	switch sim.faultMix[sim.rng.IntN(len(sim.faultMix))] {
	case crashFault:
		if r != nil && r.up {
			sim.crash(r)
		}
	case restartFault:
		if published {
			if r != nil {
				sim.crash(r)
			}
			sim.startRouter(n)
		}
	case leaveFault:
		if r != nil && r.up {
			sim.leave(r)
		}
	case pauseFault:
		if r != nil && r.up {
			d := sim.randomDuration(8 * time.Second)
			sim.logf("%s is paused for %v", n, d)
			r.pausedUntil = sim.now.Add(d)
		}
	case partitionFault:
		sim.partition()
	case listFault:
		sim.changeList(n, r, last, published)
	case startFault:
		if published && (r == nil || !r.up) {
			sim.startRouter(n)
		}
	}
}

func (sim *simulation) partition() {
	mask := sim.rng.IntN(1 << len(routerNames))
	d := sim.randomDuration(15 * time.Second)
	oneWay := sim.chance(0.2)
	sim.logf("partition %05b for %v", mask, d)
	for i, a := range routerNames {
		for j, b := range routerNames {
			if mask>>i&1 != mask>>j&1 && (!oneWay || mask>>i&1 == 1) {
				sim.blockedUntil[[2]string{string(a), string(b)}] = sim.now.Add(d)
			}
		}
	}
}

func (sim *simulation) changeList(n string, r *router, last rwvmlist.List, published bool) {
	without := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(x string) bool { return x == n })
	}
	switch {
	case published && len(without(last.Live)) < 2:
	case published && slices.Contains(last.Live, n) && sim.chance(0.4):
		sim.publish(without(last.Live), last.All)
	case published:
		sim.publish(without(last.Live), without(last.All))
		if r != nil && r.up {
			inc := r.inc
			sim.after(sim.randomDuration(repeat-time.Second), func() {
				if r.inc == inc {
					sim.crash(r)
				}
			})
		}
	default:
		if r != nil && r.up {
			return
		}
		sim.publish(append(slices.Clone(last.Live), n), append(slices.Clone(last.All), n))
		sim.startRouter(n)
	}
}

// sendKey creates a key and sends it several times through random routers.
func (sim *simulation) sendKey(i int) {
	c := rwcall.Call{Key: fmt.Sprintf("k%d", i), Digest: "d", KeyRetention: repeat}
	a := attempt{call: c}
	switch sim.rng.IntN(4) {
	case 0:
		a.call.KeyCreated = sim.now.Add(sim.randomDuration(4*time.Second) - 2*time.Second)
	case 1:
		n := string(routerNames[sim.rng.IntN(len(routerNames))])
		r := sim.routers[n]
		if r == nil || !r.up {
			return
		}
		a.call.Ticket, a.call.KeyCreated, a.issuer, a.inc = true, sim.now, n, r.inc
	}
	for range 1 + sim.rng.IntN(5) {
		b := a
		b.call.ID = fmt.Sprintf("%s-%d", a.call.Key, sim.rng.Uint64())
		via := string(routerNames[sim.rng.IntN(len(routerNames))])
		sim.after(sim.randomDuration(repeat-500*time.Millisecond), func() { sim.send(&b, via, func(rwresult.Result) {}) })
	}
}

func (sim *simulation) boot(members ...string) {
	sim.publish(members, members)
	for _, n := range members {
		sim.startRouter(n)
	}
}

// runFaults injects faults and sends calls for the given time.
func (sim *simulation) runFaults(d time.Duration, pause time.Duration) {
	sim.lossRate = 0.03
	end := sim.now.Add(d)
	i := 0
	var keys, faults func()
	keys = func() {
		i++
		sim.sendKey(i)
		if sim.now.Before(end) {
			sim.after(sim.randomDuration(100*time.Millisecond), keys)
		}
	}
	faults = func() {
		sim.injectFault()
		if sim.now.Before(end) {
			sim.after(sim.randomDuration(pause), faults)
		}
	}
	sim.after(0, keys)
	sim.after(sim.randomDuration(pause), faults)
	sim.run(d + repeat)
}

// keyWithHome returns a key with the given home in the newest list.
func (sim *simulation) keyWithHome(home string, prefix string) string {
	l := sim.lists[len(sim.lists)-1]
	for i := 0; ; i++ {
		k := fmt.Sprintf("%s%d", prefix, i)
		if l.Home(k) == home {
			return k
		}
	}
}
