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
	repeat     = 10 * time.Second
	rpcTimeout = time.Second
	names      = "abcde"
)

type fault int

const (
	crashed fault = iota
	restarted
	left
	froze
	splits
	changed
	started
)

// menus are mixes of faults. With all of them most keys are held most of the
// time; the other mixes keep the fleet working.
var menus = [][]fault{
	{crashed, crashed, left, froze, splits, changed, started, started},
	{restarted},
	{restarted, restarted, froze, changed},
	{left, started, started, restarted},
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
	name   string
	inc    int64
	m      *rwonce.Machine
	up     bool
	frozen time.Time
	// version is the index of the list that the router has.
	version int
	waiting map[string][]func()
}

type attempt struct {
	call   rwcall.Call
	notRun bool
	ran    bool
	wrong  bool
	// issuer is the incarnation of a ticket.
	issuer string
	inc    int64
}

type world struct {
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	seq     int
	events  queue
	routers map[string]*router
	lists   []rwvmlist.List
	cut     map[[2]string]time.Time
	rules   rwonce.Rules
	loss    float64
	calm    bool
	// manual leaves the adoption of lists to the test.
	manual bool
	// starts is the list with which routers start in a script, -1 for the
	// newest one.
	starts int
	sent   int
	stop   time.Duration
	// stale is how many lists a router that starts may lag behind.
	stale int
	menu  []fault

	runs  map[string]int
	ran   int
	bad   []string
	log   []string
	trace bool
}

func newWorld(seed uint64, rules rwonce.Rules) *world {
	t := time.Unix(1_800_000_000, 0)
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: t, start: t, rules: rules,
		routers: map[string]*router{}, cut: map[[2]string]time.Time{}, runs: map[string]int{}, stale: 2, starts: -1, stop: repeat,
		menu: menus[seed%uint64(len(menus))],
	}
	return w
}

func (w *world) note(format string, args ...any) {
	if w.trace {
		w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) fail(format string, args ...any) {
	w.note("FAIL "+format, args...)
	w.bad = append(w.bad, fmt.Sprintf(format, args...))
}

func (w *world) at(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && len(w.bad) == 0 {
		if w.events[0].at.After(end) {
			break
		}
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) dur(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// on runs a step of a router incarnation, after its freeze if it is frozen,
// and not at all if that incarnation is gone.
func (w *world) on(r *router, inc int64, do func()) {
	if !r.up || r.inc != inc {
		return
	}
	if r.frozen.After(w.now) {
		w.at(r.frozen.Sub(w.now)+w.dur(20*time.Millisecond), func() { w.on(r, inc, do) })
		return
	}
	do()
}

func (w *world) delay() time.Duration {
	if w.calm {
		return time.Millisecond
	}
	if w.chance(0.05) {
		return w.dur(3 * time.Second)
	}
	return w.dur(10 * time.Millisecond)
}

func (w *world) lost(from, to string) bool {
	return w.cut[[2]string{from, to}].After(w.now) || !w.calm && w.chance(w.loss)
}

// rpc carries a request to another router, and done gets the answer, or nil
// after the timeout.
func (w *world) rpc(from *router, to string, handle func(*router, func(any)), done func(any)) {
	inc, over := from.inc, false
	finish := func(x any) {
		if !over {
			over = true
			done(x)
		}
	}
	w.at(rpcTimeout, func() { w.on(from, inc, func() { finish(nil) }) })
	copies, target := 1, int64(0)
	if r := w.routers[to]; r != nil {
		target = r.inc
	}
	if !w.calm && w.chance(0.05) {
		copies = 2
	}
	for i := range copies {
		if w.lost(from.name, to) {
			continue
		}
		w.at(w.delay(), func() {
			r := w.routers[to]
			if r == nil {
				return
			}
			// A connection ends with the process, so a second copy can't
			// reach a later incarnation.
			if i > 0 && r.inc != target {
				return
			}
			w.on(r, r.inc, func() {
				handle(r, func(x any) {
					if !w.lost(to, from.name) {
						w.at(w.delay(), func() { w.on(from, inc, func() { finish(x) }) })
					}
				})
			})
		})
	}
}

func (r *router) id() rwidentity.Identity { return rwidentity.Identity{Name: r.name, Inc: r.inc} }

func (w *world) startRouter(name string) {
	r := w.routers[name]
	if r == nil {
		r = &router{name: name}
		w.routers[name] = r
	}
	r.inc = w.now.UnixMicro()
	r.up, r.frozen, r.waiting = true, time.Time{}, map[string][]func(){}
	r.m = rwonce.New(r.id(), rwonce.Config{Rules: w.rules, Stop: w.stop}, w.now)
	r.version = len(w.lists) - 1
	if w.calm && w.starts >= 0 {
		r.version = min(w.starts, r.version)
	}
	if !w.calm && w.chance(0.3) {
		r.version = max(0, r.version-w.rng.IntN(w.stale+1))
	}
	r.m.SetList(w.now, w.lists[r.version], repeat)
	w.note("%s starts with list %d", name, r.version+1)
	w.tick(r, r.inc)
}

func (w *world) tick(r *router, inc int64) {
	w.on(r, inc, func() {
		r.m.Tick(w.now)
		if w.calm && !w.manual && r.version < len(w.lists)-1 {
			w.adopt(r, inc, len(w.lists)-1)
		}
		id := r.id()
		for _, p := range r.m.PendingMessages(w.now) {
			if p.Query != nil {
				w.rpc(r, p.To, func(to *router, answer func(any)) {
					answer(to.m.HandleQuery(w.now, id, *p.Query))
				}, func(x any) {
					if x != nil {
						replied(w, r, p, x)
					}
				})
				continue
			}
			w.rpc(r, p.To, func(to *router, answer func(any)) {
				answer(to.m.HandleSync(w.now, id, *p.Sync))
			}, func(x any) {
				if x != nil {
					noted(w, r, p, x)
				}
			})
		}
	})
	if r.up && r.inc == inc {
		w.at(100*time.Millisecond, func() { w.tick(r, inc) })
	}
}

func (w *world) adopt(r *router, inc int64, version int) {
	w.on(r, inc, func() {
		if version > r.version {
			r.version = version
			w.note("%s adopts list %d", r.name, version+1)
			r.m.SetList(w.now, w.lists[version], repeat)
		}
	})
}

// publish adds a list; routers adopt it late.
func (w *world) publish(live, all []string) {
	l := rwvmlist.New(int64(len(w.lists)+1), live, all)
	w.lists = append(w.lists, l)
	w.note("list %d: live %v all %v", len(w.lists), l.Live, l.All)
	version := len(w.lists) - 1
	if w.manual {
		return
	}
	for _, n := range names {
		r := w.routers[string(n)]
		if r == nil || !r.up {
			continue
		}
		lag := w.dur(300 * time.Millisecond)
		if w.chance(0.3) {
			lag = w.dur(20 * time.Second)
		}
		inc := r.inc
		w.at(lag, func() { w.adopt(r, inc, version) })
	}
}

func (w *world) crash(r *router) {
	if r.up {
		w.note("%s crashes", r.name)
		r.up = false
	}
}

// heldTries is how often an entry sends a call again that a new home refused.
const heldTries = 3

// send is a caller's attempt through a router.
func (w *world) send(a *attempt, via string, done func(rwresult.Result)) {
	r := w.routers[via]
	if r == nil || !r.up {
		return
	}
	inc := r.inc
	w.on(r, inc, func() {
		w.entry(r, a, heldTries, func(x rwresult.Result) {
			w.told(a, x)
			done(x)
		})
	})
}

// forward sends a call to the routers that may run it, in their order as long as
// none answers. It reports whether the home refused because it doesn't know yet
// which keys have run.
func (w *world) forward(r *router, a *attempt, c rwcall.Call, ranks []string, done func(rwresult.Result, bool)) {
	w.order(r, ranks[0], a, c, func(x rwresult.Result, ok bool) {
		switch {
		case ok:
			done(x, x.Code == rwcode.KeyHeld.String() && ranks[0] == r.m.Home(c.Key))
		case len(ranks) == 1:
			done(x, false)
		case ranks[1] == r.name:
			w.home(r, a, c, func(x rwresult.Result) { done(x, false) })
		default:
			w.forward(r, a, c, ranks[1:], done)
		}
	})
}

// entry is the part of a call's entry router. It sends a call that the home
// refused again, tries times at most.
func (w *world) entry(r *router, a *attempt, tries int, done func(rwresult.Result)) {
	if a.call.Ticket {
		if a.issuer == r.name {
			w.home(r, a, a.call, done)
			return
		}
		w.order(r, a.issuer, a, a.call, func(x rwresult.Result, _ bool) { done(x) })
		return
	}
	v := r.m.Route(w.now, a.call)
	switch v.Action {
	case rwdecision.Run:
		w.home(r, a, a.call, done)
	case rwdecision.Forward:
		c := a.call
		c.From, c.Inc, c.FromIsWitness, c.Version = r.name, r.inc, v.SelfIsWitness, r.m.Version()
		w.note("%s forwards %s to %s", r.name, c.Key, v.To)
		w.forward(r, a, c, r.m.Candidates(c.Key), func(x rwresult.Result, refused bool) {
			if !refused || tries == 0 {
				done(x)
				return
			}
			if v.NewIntent {
				r.m.DropIntent(c.Key)
			}
			inc := r.inc
			w.at(50*time.Millisecond, func() {
				w.on(r, inc, func() { w.entry(r, a, tries-1, done) })
			})
		})
	default:
		done(v.Result)
	}
}

func (w *world) order(r *router, to string, a *attempt, c rwcall.Call, done func(rwresult.Result, bool)) {
	w.rpc(r, to, func(h *router, answer func(any)) {
		w.home(h, a, c, func(x rwresult.Result) { answer(x) })
	}, func(x any) {
		if x == nil {
			done(rwresult.Unknown("home unreachable"), false)
			return
		}
		done(x.(rwresult.Result), true)
	})
}

func (w *world) home(r *router, a *attempt, c rwcall.Call, done func(rwresult.Result)) {
	if c.Ticket && (a.issuer != r.name || a.inc != r.inc) {
		done(rwresult.Unknown("ticket of another incarnation"))
		return
	}
	v := r.m.Begin(w.now, c)
	switch v.Action {
	case rwdecision.Answer:
		w.decided(a, v.Result)
		done(v.Result)
	case rwdecision.Wait:
		r.waiting[c.Key] = append(r.waiting[c.Key], func() { w.home(r, a, c, done) })
	case rwdecision.Forward:
		c.From, c.FromIsWitness = r.name, false
		w.order(r, v.To, a, c, func(x rwresult.Result, _ bool) { done(x) })
	case rwdecision.Run:
		w.note("%s begins %s witnesses %v", r.name, c.Key, v.Witnesses)
		if len(v.Witnesses) == 0 {
			w.dispatch(r, a, c, done)
			return
		}
		w.witness(r, a, c, v.Witnesses, done)
	}
}

func (w *world) witness(r *router, a *attempt, c rwcall.Call, list []string, done func(rwresult.Result)) {
	if len(list) == 0 {
		w.end(r, a, c, nil, rwresult.Unknown("no witness"), done)
		return
	}
	n, id := r.m.IntentSync(w.now, c.Key), r.id()
	w.rpc(r, list[0], func(to *router, answer func(any)) {
		answer(to.m.HandleSync(w.now, id, n))
	}, func(x any) {
		if x != nil && acked(w, r, list[0], n, x) {
			w.dispatch(r, a, c, done)
			return
		}
		w.witness(r, a, c, list[1:], done)
	})
}

func (w *world) dispatch(r *router, a *attempt, c rwcall.Call, done func(rwresult.Result)) {
	inc := r.inc
	if code := r.m.Commit(w.now, c); code != rwcode.None {
		x := rwresult.Fault(code, rwoutcome.NotRun, "")
		w.end(r, a, c, &x, x, done)
		return
	}
	w.note("%s commits %s", r.name, c.Key)
	result := rwresult.Result{Outcome: rwoutcome.Ran, Status: 200, Body: []byte(c.Key)}
	if !w.calm && w.chance(0.1) {
		result = rwresult.Fault(rwcode.UpstreamLeaving, rwoutcome.NotRun, "")
	}
	execute := func() {
		if result.Outcome == rwoutcome.Ran {
			w.execute(r.name, a)
		}
	}
	if w.chance(0.3) {
		// The bytes are on their way: the call runs even if the router dies.
		w.at(w.dur(500*time.Millisecond), execute)
		w.at(600*time.Millisecond, func() { w.on(r, inc, func() { w.end(r, a, c, &result, result, done) }) })
		return
	}
	w.at(w.dur(20*time.Millisecond), func() {
		w.on(r, inc, func() {
			execute()
			if !w.calm && w.chance(0.1) {
				result = rwresult.Unknown("answer lost")
			}
			w.at(w.dur(300*time.Millisecond), func() { w.on(r, inc, func() { w.end(r, a, c, &result, result, done) }) })
		})
	})
}

func (w *world) execute(by string, a *attempt) {
	w.note("%s executes %s", by, a.call.Key)
	w.runs[a.call.Key]++
	w.ran++
	a.ran = true
	if w.runs[a.call.Key] > 1 {
		w.fail("%s ran twice", a.call.Key)
	}
	if a.notRun {
		w.fail("%s ran after not_run", a.call.Key)
	}
}

// decided records a router's decision that nothing ran.
func (w *world) decided(a *attempt, x rwresult.Result) {
	if x.Outcome == rwoutcome.NotRun && w.runs[a.call.Key] > 0 {
		a.wrong = true
	}
}

// told checks what the caller gets: when not_run was decided the key had not
// run, and this attempt never runs.
func (w *world) told(a *attempt, x rwresult.Result) {
	if x.Outcome != rwoutcome.NotRun {
		return
	}
	a.notRun = true
	if a.wrong || a.ran {
		w.fail("%s got not_run but ran", a.call.Key)
	}
}

func (w *world) end(r *router, a *attempt, c rwcall.Call, keep *rwresult.Result, tell rwresult.Result, done func(rwresult.Result)) {
	if keep == nil {
		r.m.Abandon(c.Key)
	} else {
		r.m.Finish(w.now, c.Key, *keep)
	}
	w.decided(a, tell)
	done(tell)
	list := r.waiting[c.Key]
	delete(r.waiting, c.Key)
	for _, f := range list {
		f()
	}
}

// leave stops a router gracefully.
func (w *world) leave(r *router) {
	inc := r.inc
	w.on(r, inc, func() {
		w.note("%s leaves", r.name)
		w.handoff(r)
		w.at(w.dur(3*time.Second), func() {
			w.on(r, inc, func() { w.handoff(r) })
			w.at(w.dur(time.Second), func() {
				if r.inc == inc {
					w.crash(r)
				}
			})
		})
	})
}

func (w *world) handoff(r *router) {
	id := r.id()
	for to, h := range sorted(r.m.Leave(w.now)) {
		w.rpc(r, to, func(s *router, answer func(any)) {
			answer(s.m.HandleHandoff(w.now, id, h))
		}, func(any) {})
	}
}

// disturb causes one random fault.
func (w *world) disturb() {
	n := string(names[w.rng.IntN(len(names))])
	r := w.routers[n]
	last := w.lists[len(w.lists)-1]
	published := slices.Contains(last.All, n)
	switch w.menu[w.rng.IntN(len(w.menu))] {
	case crashed:
		if r != nil && r.up {
			w.crash(r)
		}
	case restarted:
		if published {
			if r != nil {
				w.crash(r)
			}
			w.startRouter(n)
		}
	case left:
		if r != nil && r.up {
			w.leave(r)
		}
	case froze:
		if r != nil && r.up {
			d := w.dur(8 * time.Second)
			w.note("%s freezes for %v", n, d)
			r.frozen = w.now.Add(d)
		}
	case splits:
		w.split()
	case changed:
		w.change(n, r, last, published)
	case started:
		if published && (r == nil || !r.up) {
			w.startRouter(n)
		}
	}
}

func (w *world) split() {
	mask := w.rng.IntN(1 << len(names))
	d := w.dur(15 * time.Second)
	oneWay := w.chance(0.2)
	w.note("split %05b for %v", mask, d)
	for i, a := range names {
		for j, b := range names {
			if mask>>i&1 != mask>>j&1 && (!oneWay || mask>>i&1 == 1) {
				w.cut[[2]string{string(a), string(b)}] = w.now.Add(d)
			}
		}
	}
}

func (w *world) change(n string, r *router, last rwvmlist.List, published bool) {
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
			w.at(w.dur(repeat-time.Second), func() {
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

// key makes a key and repeats it through random routers.
func (w *world) key(i int) {
	c := rwcall.Call{Key: fmt.Sprintf("k%d", i), Digest: "d", Repeat: repeat}
	a := attempt{call: c}
	switch w.rng.IntN(4) {
	case 0:
		a.call.KeyCreated = w.now.Add(w.dur(4*time.Second) - 2*time.Second)
	case 1:
		n := string(names[w.rng.IntN(len(names))])
		r := w.routers[n]
		if r == nil || !r.up {
			return
		}
		a.call.Ticket, a.call.KeyCreated, a.issuer, a.inc = true, w.now, n, r.inc
	}
	for range 1 + w.rng.IntN(5) {
		b := a
		b.call.ID = fmt.Sprintf("%s-%d", a.call.Key, w.rng.Uint64())
		via := string(names[w.rng.IntN(len(names))])
		w.at(w.dur(repeat-500*time.Millisecond), func() { w.send(&b, via, func(rwresult.Result) {}) })
	}
}

func (w *world) boot(members ...string) {
	w.publish(members, members)
	for _, n := range members {
		w.startRouter(n)
	}
}

// chaos runs faults and callers for a time.
func (w *world) chaos(d time.Duration, pause time.Duration) {
	w.loss = 0.03
	end := w.now.Add(d)
	i := 0
	var keys, faults func()
	keys = func() {
		i++
		w.key(i)
		if w.now.Before(end) {
			w.at(w.dur(100*time.Millisecond), keys)
		}
	}
	faults = func() {
		w.disturb()
		if w.now.Before(end) {
			w.at(w.dur(pause), faults)
		}
	}
	w.at(0, keys)
	w.at(w.dur(pause), faults)
	w.run(d + repeat)
}

// homeOf is the key with the given home in the newest list.
func (w *world) homeOf(home string, prefix string) string {
	l := w.lists[len(w.lists)-1]
	for i := 0; ; i++ {
		k := fmt.Sprintf("%s%d", prefix, i)
		if l.Home(k) == home {
			return k
		}
	}
}
