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

// The model's assumptions, which docs/design.md states too:
//   - callers don't repeat a key after the repeat time;
//   - clocks of callers and routers differ by less than 5 s;
//   - a VM that is no longer published has stopped within the time Stop;
//   - a router that starts reads a list that is at most as old as the model's
//     staleLists allows.
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
	freezeFault
	partitionFault
	listFault
	startFault
)

// faultMixes are mixes of faults. With all of them most keys are held most of the
// time; the other mixes keep the fleet working.
var faultMixes = [][]fault{
	{crashFault, crashFault, leaveFault, freezeFault, partitionFault, listFault, startFault, startFault},
	{restartFault},
	{restartFault, restartFault, freezeFault, listFault},
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
	frozenUntil time.Time
	// listIndex is the index of the list that the router has.
	listIndex int
	waiting   map[string][]func()
}

type attempt struct {
	call        rwcall.Call
	notRun      bool
	ran         bool
	falseNotRun bool
	// issuer is the incarnation of a ticket.
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
	// manualLists leaves the adoption of lists to the test.
	manualLists bool
	// startList is the list with which routers start in a script, -1 for the
	// newest one.
	startList int
	sent      int
	stopTime  time.Duration
	// maxStartLag is how many lists a router that starts may lag behind.
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
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: t, start: t, rules: rules,
		routers: map[string]*router{}, blockedUntil: map[[2]string]time.Time{}, executions: map[string]int{}, maxStartLag: 2, startList: -1, stopTime: repeat,
		faultMix: faultMixes[seed%uint64(len(faultMixes))],
	}
	return w
}

func (w *simulation) logf(format string, args ...any) {
	if w.logging {
		w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *simulation) failf(format string, args ...any) {
	w.logf("FAIL "+format, args...)
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && len(w.violations) == 0 {
		if w.events[0].at.After(end) {
			break
		}
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

// onRouter runs a step of a router incarnation, after its freeze if it is frozen,
// and not at all if that incarnation is gone.
func (w *simulation) onRouter(r *router, inc int64, do func()) {
	if !r.up || r.inc != inc {
		return
	}
	if r.frozenUntil.After(w.now) {
		w.after(r.frozenUntil.Sub(w.now)+w.randomDuration(20*time.Millisecond), func() { w.onRouter(r, inc, do) })
		return
	}
	do()
}

func (w *simulation) delay() time.Duration {
	if w.noFaults {
		return time.Millisecond
	}
	if w.chance(0.05) {
		return w.randomDuration(3 * time.Second)
	}
	return w.randomDuration(10 * time.Millisecond)
}

func (w *simulation) dropped(from, to string) bool {
	return w.blockedUntil[[2]string{from, to}].After(w.now) || !w.noFaults && w.chance(w.lossRate)
}

// rpc carries a request to another router, and done gets the answer, or nil
// after the timeout.
func (w *simulation) rpc(from *router, to string, handle func(*router, func(any)), done func(any)) {
	inc, over := from.inc, false
	finish := func(x any) {
		if !over {
			over = true
			done(x)
		}
	}
	w.after(rpcTimeout, func() { w.onRouter(from, inc, func() { finish(nil) }) })
	copies, target := 1, int64(0)
	if r := w.routers[to]; r != nil {
		target = r.inc
	}
	if !w.noFaults && w.chance(0.05) {
		copies = 2
	}
	for i := range copies {
		if w.dropped(from.name, to) {
			continue
		}
		w.after(w.delay(), func() {
			r := w.routers[to]
			if r == nil {
				return
			}
			// A connection ends with the process, so a second copy can't
			// reach a later incarnation.
			if i > 0 && r.inc != target {
				return
			}
			w.onRouter(r, r.inc, func() {
				handle(r, func(x any) {
					if !w.dropped(to, from.name) {
						w.after(w.delay(), func() { w.onRouter(from, inc, func() { finish(x) }) })
					}
				})
			})
		})
	}
}

func (r *router) id() rwidentity.Identity { return rwidentity.Identity{Name: r.name, Inc: r.inc} }

func (w *simulation) startRouter(name string) {
	r := w.routers[name]
	if r == nil {
		r = &router{name: name}
		w.routers[name] = r
	}
	r.inc = w.now.UnixMicro()
	r.up, r.frozenUntil, r.waiting = true, time.Time{}, map[string][]func(){}
	r.machine = rwonce.New(r.id(), rwonce.Config{Rules: w.rules, Stop: w.stopTime}, w.now)
	r.listIndex = len(w.lists) - 1
	if w.noFaults && w.startList >= 0 {
		r.listIndex = min(w.startList, r.listIndex)
	}
	if !w.noFaults && w.chance(0.3) {
		r.listIndex = max(0, r.listIndex-w.rng.IntN(w.maxStartLag+1))
	}
	r.machine.SetList(w.now, w.lists[r.listIndex], repeat)
	w.logf("%s starts with list %d", name, r.listIndex+1)
	w.tick(r, r.inc)
}

func (w *simulation) tick(r *router, inc int64) {
	w.onRouter(r, inc, func() {
		r.machine.Tick(w.now)
		if w.noFaults && !w.manualLists && r.listIndex < len(w.lists)-1 {
			w.adopt(r, inc, len(w.lists)-1)
		}
		id := r.id()
		for _, p := range r.machine.PendingMessages(w.now) {
			if p.Query != nil {
				w.rpc(r, p.To, func(to *router, answer func(any)) {
					answer(to.machine.HandleQuery(w.now, id, *p.Query))
				}, func(x any) {
					if x != nil {
						handleReply(w, r, p, x)
					}
				})
				continue
			}
			w.rpc(r, p.To, func(to *router, answer func(any)) {
				answer(to.machine.HandleSync(w.now, id, *p.Sync))
			}, func(x any) {
				if x != nil {
					handleSyncAck(w, r, p, x)
				}
			})
		}
	})
	if r.up && r.inc == inc {
		w.after(100*time.Millisecond, func() { w.tick(r, inc) })
	}
}

func (w *simulation) adopt(r *router, inc int64, version int) {
	w.onRouter(r, inc, func() {
		if version > r.listIndex {
			r.listIndex = version
			w.logf("%s adopts list %d", r.name, version+1)
			r.machine.SetList(w.now, w.lists[version], repeat)
		}
	})
}

// publish adds a list; routers adopt it late.
func (w *simulation) publish(live, all []string) {
	l := rwvmlist.New(int64(len(w.lists)+1), live, all)
	w.lists = append(w.lists, l)
	w.logf("list %d: live %v all %v", len(w.lists), l.Live, l.All)
	version := len(w.lists) - 1
	if w.manualLists {
		return
	}
	for _, n := range routerNames {
		r := w.routers[string(n)]
		if r == nil || !r.up {
			continue
		}
		lag := w.randomDuration(300 * time.Millisecond)
		if w.chance(0.3) {
			lag = w.randomDuration(20 * time.Second)
		}
		inc := r.inc
		w.after(lag, func() { w.adopt(r, inc, version) })
	}
}

func (w *simulation) crash(r *router) {
	if r.up {
		w.logf("%s crashes", r.name)
		r.up = false
	}
}

// maxHeldRetries is how often an entry sends a call again that a new home refused.
const maxHeldRetries = 3

// send is a caller's attempt through a router.
func (w *simulation) send(a *attempt, via string, done func(rwresult.Result)) {
	r := w.routers[via]
	if r == nil || !r.up {
		return
	}
	inc := r.inc
	w.onRouter(r, inc, func() {
		w.enter(r, a, maxHeldRetries, func(x rwresult.Result) {
			w.checkResult(a, x)
			done(x)
		})
	})
}

// forward sends a call to the routers that may run it, in their order as long as
// none answers. It reports whether the home refused because it doesn't know yet
// which keys have run.
func (w *simulation) forward(r *router, a *attempt, c rwcall.Call, ranks []string, done func(rwresult.Result, bool)) {
	w.forwardTo(r, ranks[0], a, c, func(x rwresult.Result, ok bool) {
		switch {
		case ok:
			done(x, x.Code == rwcode.KeyHeld.String() && ranks[0] == r.machine.Home(c.Key))
		case len(ranks) == 1:
			done(x, false)
		case ranks[1] == r.name:
			w.begin(r, a, c, func(x rwresult.Result) { done(x, false) })
		default:
			w.forward(r, a, c, ranks[1:], done)
		}
	})
}

// enter is the part of a call's entry router. It sends a call that the home
// refused again, tries times at most.
func (w *simulation) enter(r *router, a *attempt, tries int, done func(rwresult.Result)) {
	if a.call.Ticket {
		if a.issuer == r.name {
			w.begin(r, a, a.call, done)
			return
		}
		w.forwardTo(r, a.issuer, a, a.call, func(x rwresult.Result, _ bool) { done(x) })
		return
	}
	v := r.machine.Route(w.now, a.call)
	switch v.Action {
	case rwdecision.Run:
		w.begin(r, a, a.call, done)
	case rwdecision.Forward:
		c := a.call
		c.From, c.Inc, c.FromIsWitness, c.Version = r.name, r.inc, v.SelfIsWitness, r.machine.Version()
		w.logf("%s forwards %s to %s", r.name, c.Key, v.To)
		w.forward(r, a, c, r.machine.Candidates(c.Key), func(x rwresult.Result, refused bool) {
			if !refused || tries == 0 {
				done(x)
				return
			}
			if v.NewIntent {
				r.machine.DropIntent(c.Key)
			}
			inc := r.inc
			w.after(50*time.Millisecond, func() {
				w.onRouter(r, inc, func() { w.enter(r, a, tries-1, done) })
			})
		})
	default:
		done(v.Result)
	}
}

func (w *simulation) forwardTo(r *router, to string, a *attempt, c rwcall.Call, done func(rwresult.Result, bool)) {
	w.rpc(r, to, func(h *router, answer func(any)) {
		w.begin(h, a, c, func(x rwresult.Result) { answer(x) })
	}, func(x any) {
		if x == nil {
			done(rwresult.Unknown("home unreachable"), false)
			return
		}
		done(x.(rwresult.Result), true)
	})
}

func (w *simulation) begin(r *router, a *attempt, c rwcall.Call, done func(rwresult.Result)) {
	if c.Ticket && (a.issuer != r.name || a.inc != r.inc) {
		done(rwresult.Unknown("ticket of another incarnation"))
		return
	}
	v := r.machine.Begin(w.now, c)
	switch v.Action {
	case rwdecision.Answer:
		w.recordDecision(a, v.Result)
		done(v.Result)
	case rwdecision.Wait:
		r.waiting[c.Key] = append(r.waiting[c.Key], func() { w.begin(r, a, c, done) })
	case rwdecision.Forward:
		c.From, c.FromIsWitness = r.name, false
		w.forwardTo(r, v.To, a, c, func(x rwresult.Result, _ bool) { done(x) })
	case rwdecision.Run:
		w.logf("%s begins %s witnesses %v", r.name, c.Key, v.Witnesses)
		if len(v.Witnesses) == 0 {
			w.dispatch(r, a, c, done)
			return
		}
		w.askWitnesses(r, a, c, v.Witnesses, done)
	}
}

func (w *simulation) askWitnesses(r *router, a *attempt, c rwcall.Call, list []string, done func(rwresult.Result)) {
	if len(list) == 0 {
		w.finish(r, a, c, nil, rwresult.Unknown("no witness"), done)
		return
	}
	n, id := r.machine.IntentSync(w.now, c.Key), r.id()
	w.rpc(r, list[0], func(to *router, answer func(any)) {
		answer(to.machine.HandleSync(w.now, id, n))
	}, func(x any) {
		if x != nil && witnessAcked(w, r, list[0], n, x) {
			w.dispatch(r, a, c, done)
			return
		}
		w.askWitnesses(r, a, c, list[1:], done)
	})
}

func (w *simulation) dispatch(r *router, a *attempt, c rwcall.Call, done func(rwresult.Result)) {
	inc := r.inc
	if code := r.machine.Commit(w.now, c); code != rwcode.None {
		x := rwresult.Fault(code, rwoutcome.NotRun, "")
		w.finish(r, a, c, &x, x, done)
		return
	}
	w.logf("%s commits %s", r.name, c.Key)
	result := rwresult.Result{Outcome: rwoutcome.Ran, Status: 200, Body: []byte(c.Key)}
	if !w.noFaults && w.chance(0.1) {
		result = rwresult.Fault(rwcode.UpstreamLeaving, rwoutcome.NotRun, "")
	}
	execute := func() {
		if result.Outcome == rwoutcome.Ran {
			w.execute(r.name, a)
		}
	}
	if w.chance(0.3) {
		// The bytes are on their way: the call runs even if the router dies.
		w.after(w.randomDuration(500*time.Millisecond), execute)
		w.after(600*time.Millisecond, func() { w.onRouter(r, inc, func() { w.finish(r, a, c, &result, result, done) }) })
		return
	}
	w.after(w.randomDuration(20*time.Millisecond), func() {
		w.onRouter(r, inc, func() {
			execute()
			if !w.noFaults && w.chance(0.1) {
				result = rwresult.Unknown("answer lost")
			}
			w.after(w.randomDuration(300*time.Millisecond), func() { w.onRouter(r, inc, func() { w.finish(r, a, c, &result, result, done) }) })
		})
	})
}

func (w *simulation) execute(by string, a *attempt) {
	w.logf("%s executes %s", by, a.call.Key)
	w.executions[a.call.Key]++
	w.executed++
	a.ran = true
	if w.executions[a.call.Key] > 1 {
		w.failf("%s ran twice", a.call.Key)
	}
	if a.notRun {
		w.failf("%s ran after not_run", a.call.Key)
	}
}

// recordDecision records a router's decision that nothing ran.
func (w *simulation) recordDecision(a *attempt, x rwresult.Result) {
	if x.Outcome == rwoutcome.NotRun && w.executions[a.call.Key] > 0 {
		a.falseNotRun = true
	}
}

// checkResult checks what the caller gets: when not_run was decided the key had not
// run, and this attempt never runs.
func (w *simulation) checkResult(a *attempt, x rwresult.Result) {
	if x.Outcome != rwoutcome.NotRun {
		return
	}
	a.notRun = true
	if a.falseNotRun || a.ran {
		w.failf("%s got not_run but ran", a.call.Key)
	}
}

func (w *simulation) finish(r *router, a *attempt, c rwcall.Call, keep *rwresult.Result, tell rwresult.Result, done func(rwresult.Result)) {
	if keep == nil {
		r.machine.Abandon(c.Key)
	} else {
		r.machine.Finish(w.now, c.Key, *keep)
	}
	w.recordDecision(a, tell)
	done(tell)
	list := r.waiting[c.Key]
	delete(r.waiting, c.Key)
	for _, f := range list {
		f()
	}
}

// leave stops a router gracefully.
func (w *simulation) leave(r *router) {
	inc := r.inc
	w.onRouter(r, inc, func() {
		w.logf("%s leaves", r.name)
		w.sendHandoffs(r)
		w.after(w.randomDuration(3*time.Second), func() {
			w.onRouter(r, inc, func() { w.sendHandoffs(r) })
			w.after(w.randomDuration(time.Second), func() {
				if r.inc == inc {
					w.crash(r)
				}
			})
		})
	})
}

func (w *simulation) sendHandoffs(r *router) {
	id := r.id()
	for to, h := range sortedHandoffs(r.machine.Leave(w.now)) {
		w.rpc(r, to, func(s *router, answer func(any)) {
			answer(s.machine.HandleHandoff(w.now, id, h))
		}, func(any) {})
	}
}

// injectFault causes one random fault.
func (w *simulation) injectFault() {
	n := string(routerNames[w.rng.IntN(len(routerNames))])
	r := w.routers[n]
	last := w.lists[len(w.lists)-1]
	published := slices.Contains(last.All, n)
	switch w.faultMix[w.rng.IntN(len(w.faultMix))] {
	case crashFault:
		if r != nil && r.up {
			w.crash(r)
		}
	case restartFault:
		if published {
			if r != nil {
				w.crash(r)
			}
			w.startRouter(n)
		}
	case leaveFault:
		if r != nil && r.up {
			w.leave(r)
		}
	case freezeFault:
		if r != nil && r.up {
			d := w.randomDuration(8 * time.Second)
			w.logf("%s freezes for %v", n, d)
			r.frozenUntil = w.now.Add(d)
		}
	case partitionFault:
		w.partition()
	case listFault:
		w.changeList(n, r, last, published)
	case startFault:
		if published && (r == nil || !r.up) {
			w.startRouter(n)
		}
	}
}

func (w *simulation) partition() {
	mask := w.rng.IntN(1 << len(routerNames))
	d := w.randomDuration(15 * time.Second)
	oneWay := w.chance(0.2)
	w.logf("split %05b for %v", mask, d)
	for i, a := range routerNames {
		for j, b := range routerNames {
			if mask>>i&1 != mask>>j&1 && (!oneWay || mask>>i&1 == 1) {
				w.blockedUntil[[2]string{string(a), string(b)}] = w.now.Add(d)
			}
		}
	}
}

func (w *simulation) changeList(n string, r *router, last rwvmlist.List, published bool) {
	without := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(x string) bool { return x == n })
	}
	switch {
	case published && len(without(last.Live)) < 2:
	case published && slices.Contains(last.Live, n) && w.chance(0.4):
		w.publish(without(last.Live), last.All)
	case published:
		w.publish(without(last.Live), without(last.All))
		if r != nil && r.up {
			inc := r.inc
			w.after(w.randomDuration(repeat-time.Second), func() {
				if r.inc == inc {
					w.crash(r)
				}
			})
		}
	default:
		if r != nil && r.up {
			return
		}
		w.publish(append(slices.Clone(last.Live), n), append(slices.Clone(last.All), n))
		w.startRouter(n)
	}
}

// sendKey makes a key and repeats it through random routers.
func (w *simulation) sendKey(i int) {
	c := rwcall.Call{Key: fmt.Sprintf("k%d", i), Digest: "d", Repeat: repeat}
	a := attempt{call: c}
	switch w.rng.IntN(4) {
	case 0:
		a.call.KeyCreated = w.now.Add(w.randomDuration(4*time.Second) - 2*time.Second)
	case 1:
		n := string(routerNames[w.rng.IntN(len(routerNames))])
		r := w.routers[n]
		if r == nil || !r.up {
			return
		}
		a.call.Ticket, a.call.KeyCreated, a.issuer, a.inc = true, w.now, n, r.inc
	}
	for range 1 + w.rng.IntN(5) {
		b := a
		b.call.ID = fmt.Sprintf("%s-%d", a.call.Key, w.rng.Uint64())
		via := string(routerNames[w.rng.IntN(len(routerNames))])
		w.after(w.randomDuration(repeat-500*time.Millisecond), func() { w.send(&b, via, func(rwresult.Result) {}) })
	}
}

func (w *simulation) boot(members ...string) {
	w.publish(members, members)
	for _, n := range members {
		w.startRouter(n)
	}
}

// runFaults runs faults and callers for a time.
func (w *simulation) runFaults(d time.Duration, pause time.Duration) {
	w.lossRate = 0.03
	end := w.now.Add(d)
	i := 0
	var keys, faults func()
	keys = func() {
		i++
		w.sendKey(i)
		if w.now.Before(end) {
			w.after(w.randomDuration(100*time.Millisecond), keys)
		}
	}
	faults = func() {
		w.injectFault()
		if w.now.Before(end) {
			w.after(w.randomDuration(pause), faults)
		}
	}
	w.after(0, keys)
	w.after(w.randomDuration(pause), faults)
	w.run(d + repeat)
}

// keyWithHome is the key with the given home in the newest list.
func (w *simulation) keyWithHome(home string, prefix string) string {
	l := w.lists[len(w.lists)-1]
	for i := 0; ; i++ {
		k := fmt.Sprintf("%s%d", prefix, i)
		if l.Home(k) == home {
			return k
		}
	}
}
