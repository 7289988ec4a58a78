// Package rwexecutor executes non-idempotent calls at most once. It connects
// the state machine of rwonce to the rest of a router: it sends the machine's
// messages to other routers and dispatches calls through the router's
// scheduler.
package rwexecutor

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwcall"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdecision"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwhandoff"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwintentack"
	"redwingworks.example/internal/rwintentmessage"
	"redwingworks.example/internal/rwintentquery"
	"redwingworks.example/internal/rwintentreply"
	"redwingworks.example/internal/rwintentsync"
	"redwingworks.example/internal/rwkey"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwonce"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwresult"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwticket"
	"redwingworks.example/internal/rwvmlist"
)

const (
	tickInterval      = 100 * time.Millisecond
	witnessTimeout    = 500 * time.Millisecond
	witnessHedgeDelay = 30 * time.Millisecond
	queryTimeout      = 2 * time.Second
	handoffTimeout    = 2 * time.Second
	// defaultTimeout applies to calls without a deadline. It is shorter than
	// the time for which rwonce stores intents beyond the repeat window.
	defaultTimeout = 150 * time.Second
	// maxBodyBytes is the largest body that fits into a message between routers
	// in base64.
	maxBodyBytes = 800 << 10
	// maxWitnesses is the maximum number of routers that are asked to store one
	// intent. When two thirds of the fleet are unreachable, one call in 600
	// finds no witness among 16.
	maxWitnesses = 16
	// heldRetryLimit is how long a call is retried at a home that has just
	// started. restartNoticeLimit is how long it is retried while this router
	// has not noticed the restart. heldRetryInterval is the interval between
	// two attempts.
	heldRetryLimit     = 3 * time.Second
	restartNoticeLimit = 500 * time.Millisecond
	heldRetryInterval  = 50 * time.Millisecond
	// maxHops limits forwarding: from the entry router to a leaving home and on
	// to the router that has the home's keys, which may be leaving too.
	maxHops = 4
)

// Executor executes the non-idempotent calls of a router.
type Executor struct {
	config Config

	mu       sync.Mutex
	machine  *rwonce.Machine
	snapshot *rwsnapshot.Snapshot
	// addrs are the last known peer addresses by router name.
	addrs map[string]string
	// running holds a channel for each call in progress, which is closed when
	// the call ends.
	running   map[string]chan struct{}
	recovered bool
	// handoffSent is closed when the keys have been sent to the next routers.
	// It is nil before Leave.
	handoffSent chan struct{}
	// active counts the work that must end before the process does: calls of
	// this router's callers, calls of other routers until their result is
	// written, and calls that continue without their caller.
	active int
	// idle is closed when active becomes 0. It is nil unless Close waits for it.
	idle chan struct{}
}

// Config holds the dependencies of an Executor. All fields are required except
// Hold.
type Config struct {
	Self rwidentity.Identity
	// FleetKey is the shared key of the fleet, which signs tickets.
	FleetKey string
	// Snapshot returns the current configuration, including the published VMs.
	Snapshot func() *rwsnapshot.Snapshot
	// Peers are the connections to other routers. New registers handlers on
	// them.
	Peers *rwpeer.Peers
	// Run waits for a slot and sends a call to an upstream. It may send it again
	// only if no upstream executed it, for example if one refused it because it
	// is leaving. It must call rwdispatch with the BeforeSend function of the
	// request. Its errors have the outcome not_run only if no upstream executed
	// the call.
	Run func(context.Context, *rwrequest.Request) (*rwdispatch.Response, error)
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// Hold is how long keys are held when the whole fleet starts; 0 means the
	// longest repeat window of any kind.
	Hold    time.Duration
	Log     zerolog.Logger
	Metrics *rwmetric.Metrics
}

// forwardedCall is a call forwarded to another router.
type forwardedCall struct {
	Call rwcall.Call `json:"call"`
	// Inc is the incarnation named by a ticket, 0 for an opaque key.
	Inc     int64   `json:"inc,omitempty"`
	Hops    int     `json:"hops"`
	Request request `json:"request"`
	// Timeout is the time left until the caller's deadline, 0 for none.
	Timeout time.Duration `json:"left,omitempty"`
}

type request struct {
	ID      string  `json:"id"`
	Account string  `json:"account"`
	Kind    string  `json:"kind"`
	Pool    string  `json:"pool"`
	Urgency int     `json:"urgency"`
	Key     string  `json:"key"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Type    string  `json:"type,omitempty"`
	Hint    float64 `json:"hint,omitempty"`
	Body    []byte  `json:"body,omitempty"`
}

// New returns an Executor and registers its peer methods.
func New(c Config) *Executor {
	e := &Executor{
		config:  c,
		machine: rwonce.New(c.Self, rwonce.Config{Hold: c.Hold}, c.Now()),
		addrs:   map[string]string{},
		running: map[string]chan struct{}{},
	}
	c.Peers.Handle("order", rwpeer.Typed(e.handleCall))
	c.Peers.Handle("trace", handle(e, func(from rwidentity.Identity, msg rwintentsync.Sync) rwintentack.Ack {
		return e.machine.HandleSync(c.Now(), from, msg)
	}))
	c.Peers.Handle("traces", handle(e, func(from rwidentity.Identity, q rwintentquery.Query) rwintentreply.Reply {
		return e.machine.HandleQuery(c.Now(), from, q)
	}))
	c.Peers.Handle("handoff", handle(e, func(from rwidentity.Identity, handoff rwhandoff.Handoff) rwintentack.Ack {
		return e.machine.HandleHandoff(c.Now(), from, handoff)
	}))
	return e
}

// handle returns a peer handler that passes a message to the machine.
func handle[P, R any](e *Executor, answer func(rwidentity.Identity, P) R) rwpeer.Handler {
	return rwpeer.Typed(func(_ context.Context, from rwidentity.Identity, p P) (any, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.updateList()
		if e.addrs[from.Name] == "" {
			e.addrs[from.Name] = from.Addr
		}
		return answer(from, p), nil
	})
}

// updateList passes a new VM list to the machine. The caller holds the lock.
func (e *Executor) updateList() {
	snapshot := e.config.Snapshot()
	if snapshot == e.snapshot {
		return
	}
	e.snapshot = snapshot
	repeat := rwkind.DefaultRepeatWindow
	for i, k := range snapshot.Kinds() {
		if i == 0 {
			repeat = 0
		}
		repeat = max(repeat, k.RepeatWindow)
	}
	var live, all []string
	for _, m := range snapshot.VMs() {
		e.addrs[m.Name] = m.Addr
		all = append(all, m.Name)
		if !m.Leaving {
			live = append(live, m.Name)
		}
	}
	if snapshot.VMListRev() > 0 {
		e.machine.SetList(e.config.Now(), rwvmlist.New(snapshot.VMListRev(), live, all), repeat)
	}
}

func (e *Executor) addr(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addrs[name]
}

// Do executes a non-idempotent call at the home router of its key, which may be
// this router. A call whose key is a ticket is executed at the router that issued
// it, one without a key at this router. The outcome of a returned fault shows
// whether the call was executed, as far as this is known.
func (e *Executor) Do(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
	if !e.accept() {
		return nil, rwfault.New(rwcode.Draining, q.ID)
	}
	defer e.release()
	if q.IdempotencyKey == "" {
		return e.config.Run(ctx, q)
	}
	if len(q.Body) > maxBodyBytes {
		return nil, rwfault.New(rwcode.BodyTooLarge, "the body of a call with an idempotency key is too large to forward")
	}
	fc, err := e.newCall(q)
	if err != nil {
		return nil, err
	}
	var r rwresult.Result
	if fc.Call.Ticket {
		r = e.doTicket(ctx, q, fc)
	} else {
		r = e.doOpaque(ctx, fc)
	}
	if r.Outcome == rwoutcome.Unknown {
		e.config.Metrics.Add("keys_unknown", 1)
	}
	return response(r)
}

// newCall returns the description of a caller's request.
func (e *Executor) newCall(q *rwrequest.Request) (forwardedCall, error) {
	fc := forwardedCall{
		Call: rwcall.Call{
			ID:           q.ID,
			Key:          rwkey.Scope(q.Account, q.IdempotencyKey),
			Digest:       rwkey.Digest(q.Pool, q.Method, q.Path, string(q.Body)),
			KeyRetention: q.KeyRetention,
			From:         e.config.Self.Name,
			Inc:          e.config.Self.Inc,
		},
		Request: request{
			ID: q.ID, Account: q.Account, Kind: q.Kind, Pool: q.Pool, Urgency: q.Urgency, Key: q.IdempotencyKey,
			Method: q.Method, Path: q.Path, Type: q.ContentType, Hint: q.Hint, Body: q.Body,
		},
	}
	if fc.Call.KeyRetention == 0 {
		fc.Call.KeyRetention = rwkind.DefaultRepeatWindow
	}
	if !q.Deadline.IsZero() {
		fc.Timeout = max(q.Deadline.Sub(e.config.Now()), time.Millisecond)
	}
	if rwticket.Is(q.IdempotencyKey) {
		t, err := rwticket.Parse(e.config.FleetKey, q.IdempotencyKey)
		if err != nil {
			return fc, err
		}
		fc.Call.Ticket, fc.Call.KeyCreated, fc.Inc = true, t.Issued, t.Inc
		return fc, nil
	}
	if id, err := uuid.Parse(q.IdempotencyKey); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		fc.Call.KeyCreated = time.Unix(sec, nsec)
	}
	return fc, nil
}

func (e *Executor) doTicket(ctx context.Context, q *rwrequest.Request, fc forwardedCall) rwresult.Result {
	t, err := rwticket.Parse(e.config.FleetKey, q.IdempotencyKey)
	if err != nil {
		return rwresult.Unknown(err.Error())
	}
	if t.Name == e.config.Self.Name {
		return e.runOrJoin(ctx, fc)
	}
	r, _ := e.forward(ctx, t.Name, fc)
	return r
}

// doOpaque sends a call to the home of its key. A home that has just started
// refuses it until it knows which keys earlier incarnations executed. Such a
// call was not executed, so it is retried for a limited time.
func (e *Executor) doOpaque(ctx context.Context, fc forwardedCall) rwresult.Result {
	begin := e.config.Now()
	for last := (rwresult.Result{}); ; {
		e.connectHome(ctx, fc.Call.Key)
		e.mu.Lock()
		e.updateList()
		d := e.machine.Route(e.config.Now(), fc.Call)
		fc.Call.Version, fc.Call.FromIsWitness = e.machine.Version(), d.SelfIsWitness
		candidates := e.machine.Candidates(fc.Call.Key)
		e.mu.Unlock()
		if last.Code != "" && !d.TargetRecovering && e.config.Now().Sub(begin) > restartNoticeLimit {
			return last
		}
		r, refused := e.attempt(ctx, fc, d, candidates)
		if !refused {
			return r
		}
		if d.NewIntent {
			e.mu.Lock()
			e.machine.DropIntent(fc.Call.Key)
			e.mu.Unlock()
		}
		if last = r; e.config.Now().Sub(begin) > heldRetryLimit || !sleep(ctx, heldRetryInterval) {
			return r
		}
	}
}

// connectHome opens the connection to the home of a key. Otherwise a home that
// starts while this connection is being opened would collect the intent before
// it gets the call itself.
func (e *Executor) connectHome(ctx context.Context, key string) {
	e.mu.Lock()
	e.updateList()
	home := e.machine.Home(key)
	addr := e.addrs[home]
	e.mu.Unlock()
	if home != e.config.Self.Name && addr != "" {
		_ = e.config.Peers.OpenData(ctx, addr)
	}
}

// attempt sends a call to its home once. If the home is unreachable, it tries
// the next candidates in order. It reports whether the home itself refused the
// call because it doesn't know yet which keys have been executed.
func (e *Executor) attempt(ctx context.Context, fc forwardedCall, d rwdecision.Decision, candidates []string) (r rwresult.Result, refused bool) {
	switch d.Action {
	case rwdecision.Run:
		return e.runOrJoin(ctx, fc), false
	case rwdecision.Forward:
	default:
		return d.Result, false
	}
	for i, to := range candidates {
		if to == e.config.Self.Name {
			return e.runOrJoin(ctx, fc), false
		}
		var ok bool
		if r, ok = e.forward(ctx, to, fc); ok || ctx.Err() != nil {
			return r, ok && i == 0 && r.Code == rwcode.KeyHeld.String()
		}
	}
	return r, false
}

// sleep waits and reports whether the time passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// forward sends a call to another router and reports whether that router
// answered. Without an answer the outcome is unknown.
func (e *Executor) forward(ctx context.Context, to string, fc forwardedCall) (r rwresult.Result, ok bool) {
	fc.Hops++
	limit := defaultTimeout
	if fc.Timeout > 0 {
		limit = fc.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	addr := e.addr(to)
	if addr == "" {
		return rwresult.Unknown("no address is known for router " + to), false
	}
	if err := e.config.Peers.CallData(ctx, addr, "order", fc, &r); err != nil {
		e.config.Metrics.Refused(rwcode.HomeUnreachable)
		return rwresult.Unknown(to + ": " + err.Error()), false
	}
	return r, true
}

// accept counts a call of this router's caller as active, unless the router is
// closed.
func (e *Executor) accept() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.machine.Closed() {
		return false
	}
	e.active++
	return true
}

// acceptForwarded counts a call of another router as active. A closed router
// still returns what it knows, and refuses tickets that it has not executed. It
// passes no calls on: they fail with Draining, so that the sender tries the next
// candidates.
func (e *Executor) acceptForwarded(c rwcall.Call) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateList()
	if e.machine.Closed() && e.machine.Begin(e.config.Now(), c).Action == rwdecision.Forward {
		return rwfault.New(rwcode.Draining, c.ID)
	}
	e.active++
	return nil
}

func (e *Executor) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.active == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

func (e *Executor) handleCall(ctx context.Context, from rwidentity.Identity, fc forwardedCall) (any, error) {
	if err := e.acceptForwarded(fc.Call); err != nil {
		return nil, err
	}
	if from.Name != fc.Call.From || from.Inc != fc.Call.Inc {
		fc.Call.FromIsWitness = false
	}
	r := e.runOrJoin(ctx, fc)
	if len(r.Body) > maxBodyBytes {
		r = rwresult.Fault(rwcode.UpstreamMalformed, rwoutcome.Ran, "the response is too large to forward")
	}
	return rwpeer.Reply{Result: r, Written: e.release}, nil
}

// runOrJoin executes a call on this router or waits for the same call in
// progress.
func (e *Executor) runOrJoin(ctx context.Context, fc forwardedCall) rwresult.Result {
	if fc.Call.Ticket && fc.Inc != e.config.Self.Inc {
		return rwresult.Unknown("the router incarnation that issued the ticket has ended")
	}
	for {
		e.mu.Lock()
		e.updateList()
		d := e.machine.Begin(e.config.Now(), fc.Call)
		if d.Action == rwdecision.Run {
			e.running[fc.Call.Key] = make(chan struct{})
		}
		end := e.running[fc.Call.Key]
		e.mu.Unlock()
		switch d.Action {
		case rwdecision.Answer:
			return d.Result
		case rwdecision.Forward:
			return e.forwardToSuccessor(ctx, d.To, fc)
		case rwdecision.Run:
			return e.runDetached(ctx, fc, d.Witnesses)
		}
		select {
		case <-end:
		case <-ctx.Done():
			return rwresult.Unknown("the call is still in progress")
		}
	}
}

// forwardToSuccessor forwards a call from a leaving router, after its keys have
// been sent to the next routers.
func (e *Executor) forwardToSuccessor(ctx context.Context, to string, fc forwardedCall) rwresult.Result {
	if fc.Hops >= maxHops || to == "" {
		return rwresult.Unknown("the home of the key is leaving")
	}
	e.mu.Lock()
	sent := e.handoffSent
	e.mu.Unlock()
	select {
	case <-sent:
	case <-ctx.Done():
		return rwresult.Unknown("the home of the key is leaving")
	}
	fc.Call.FromIsWitness = false
	r, _ := e.forward(ctx, to, fc)
	return r
}

// runDetached executes a call that continues after its caller has disconnected,
// since other callers may be waiting for the same key.
func (e *Executor) runDetached(ctx context.Context, fc forwardedCall, witnesses []string) rwresult.Result {
	limit := defaultTimeout
	if fc.Timeout > 0 {
		limit = fc.Timeout
	}
	done := make(chan rwresult.Result, 1)
	e.mu.Lock()
	e.active++
	e.mu.Unlock()
	go func() {
		defer e.release()
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		done <- e.execute(detached, fc, witnesses)
	}()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return rwresult.Unknown("the call is still in progress")
	}
}

func (e *Executor) execute(ctx context.Context, fc forwardedCall, witnesses []string) rwresult.Result {
	stored := len(witnesses) == 0 || e.storeIntent(ctx, fc.Call, witnesses)
	r := rwresult.Unknown("no other router has stored the intent record")
	if stored {
		r = e.dispatch(ctx, fc)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stored {
		e.machine.Finish(e.config.Now(), fc.Call.Key, r)
	} else {
		e.machine.Abandon(fc.Call.Key)
	}
	close(e.running[fc.Call.Key])
	delete(e.running, fc.Call.Key)
	return r
}

// storeIntent makes one other router store the intent of a key. It asks the
// next witness when one rejects the intent or is slow, so that an unreachable
// router delays a call by witnessHedgeDelay instead of a full timeout.
func (e *Executor) storeIntent(ctx context.Context, c rwcall.Call, witnesses []string) bool {
	e.mu.Lock()
	msg := e.machine.IntentSync(e.config.Now(), c.Key)
	e.mu.Unlock()
	acks := make(chan bool, len(witnesses))
	pending := 0
	for _, w := range witnesses[:min(len(witnesses), maxWitnesses)] {
		go func() { acks <- e.askWitness(ctx, w, msg) }()
		pending++
		select {
		case ok := <-acks:
			if ok {
				return true
			}
			pending--
		case <-time.After(witnessHedgeDelay):
		case <-ctx.Done():
			return false
		}
	}
	for ; pending > 0; pending-- {
		if <-acks {
			return true
		}
	}
	return false
}

func (e *Executor) askWitness(ctx context.Context, witness string, msg rwintentsync.Sync) bool {
	a, ok := call[rwintentack.Ack](ctx, e, witnessTimeout, witness, "trace", msg)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.HandleSyncAck(e.config.Now(), witness, msg, a)
}

func call[R any](ctx context.Context, e *Executor, limit time.Duration, to, method string, params any) (r R, ok bool) {
	addr := e.addr(to)
	if addr == "" {
		return r, false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r, e.config.Peers.Call(ctx, addr, method, params, &r) == nil
}

func (e *Executor) dispatch(ctx context.Context, fc forwardedCall) rwresult.Result {
	now := e.config.Now()
	q := &rwrequest.Request{
		ID: fc.Request.ID, Account: fc.Request.Account, Kind: fc.Request.Kind, Pool: fc.Request.Pool,
		Urgency: fc.Request.Urgency, IdempotencyKey: fc.Request.Key, Method: fc.Request.Method, Path: fc.Request.Path,
		Body: fc.Request.Body, ContentType: fc.Request.Type, Hint: fc.Request.Hint,
		Arrived: now, KeyRetention: fc.Call.KeyRetention,
		BeforeSend: func() error { return e.checkCommit(fc.Call) },
	}
	if fc.Timeout > 0 {
		q.Deadline = now.Add(fc.Timeout)
	}
	e.mu.Lock()
	q.FencingToken = e.machine.Version().Rev
	e.mu.Unlock()
	a, err := e.config.Run(ctx, q)
	if a != nil {
		// The machine bounds the results that it keeps.
		defer a.Memory.Close()
	}
	return result(a, err)
}

// checkCommit is the last check before the first byte is sent to an upstream.
func (e *Executor) checkCommit(c rwcall.Call) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateList()
	code := e.machine.Commit(e.config.Now(), c)
	if code == rwcode.None {
		return nil
	}
	if code == rwcode.Paused {
		rwlog.Info(&e.config.Log, rwlog.PauseDetected).Str("request", c.ID).Send()
	}
	return rwfault.New(code, c.ID)
}

func result(a *rwdispatch.Response, err error) rwresult.Result {
	if err == nil {
		return rwresult.Result{Outcome: rwoutcome.Ran, Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
	}
	f := rwfault.From(err)
	if f.Code == rwcode.Internal {
		// An error without a code doesn't show whether anything was sent.
		f = f.WithOutcome(rwoutcome.Unknown)
	}
	if f.Outcome == rwoutcome.Unknown {
		return rwresult.Unknown(f.Error())
	}
	return rwresult.Result{Code: f.Code.String(), Outcome: f.Outcome, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

func response(r rwresult.Result) (*rwdispatch.Response, error) {
	if r.Code != "" {
		return nil, rwfault.New(rwcode.Parse(r.Code), r.Detail).WithOutcome(r.Outcome).WithRetryAfter(r.RetryAfter)
	}
	a := &rwdispatch.Response{Status: r.Status, Header: map[string][]string{}, Body: r.Body}
	a.Header.Set("Content-Type", r.ContentType)
	return a, nil
}

// IssueTicket returns an idempotency key that only this incarnation may
// execute.
func (e *Executor) IssueTicket() (string, error) {
	t := rwticket.Ticket{Name: e.config.Self.Name, Inc: e.config.Self.Inc, Issued: e.config.Now()}
	return t.Sign(e.config.FleetKey, uuid.NewString()), nil
}

// Start collects the intents that earlier homes may have left on other routers,
// again after each change of the VM list. It returns when the context ends.
func (e *Executor) Start(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		e.step(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Executor) step(ctx context.Context) {
	e.mu.Lock()
	e.updateList()
	e.machine.Tick(e.config.Now())
	messages := e.machine.PendingMessages(e.config.Now())
	changed := e.recovered != e.machine.Recovered()
	e.recovered = e.machine.Recovered()
	recovered := e.recovered
	e.mu.Unlock()
	if changed && recovered {
		rwlog.Info(&e.config.Log, rwlog.KeysReleased).Send()
	}
	if changed && !recovered {
		rwlog.Info(&e.config.Log, rwlog.KeysHeld).Send()
	}
	for _, p := range messages {
		go e.sendMessage(ctx, p)
	}
}

func (e *Executor) sendMessage(ctx context.Context, p rwintentmessage.Message) {
	if p.Query != nil {
		e.query(ctx, p.To, *p.Query)
		return
	}
	inc := int64(0)
	for _, part := range p.Sync.Split(rwonce.PageSize) {
		a, ok := call[rwintentack.Ack](ctx, e, queryTimeout, p.To, "trace", part)
		if !ok || !a.OK || inc != 0 && a.Inc != inc {
			return
		}
		inc = a.Inc
		e.mu.Lock()
		e.machine.HandleSyncAck(e.config.Now(), p.To, part, a)
		e.mu.Unlock()
	}
}

// query requests all pages from one incarnation. It stops if the router has
// recovered between two pages, since the earlier pages may lack keys that the
// router knows now.
func (e *Executor) query(ctx context.Context, to string, q rwintentquery.Query) {
	var first rwintentreply.Reply
	for {
		r, ok := call[rwintentreply.Reply](ctx, e, queryTimeout, to, "traces", q)
		if first.Inc == 0 {
			first = r
		}
		if !ok || r.Inc != first.Inc || r.Recovered != first.Recovered {
			return
		}
		e.mu.Lock()
		e.machine.HandleReply(e.config.Now(), to, q, r)
		e.mu.Unlock()
		if !r.OK || !r.More {
			return
		}
		q.After = r.Intents[len(r.Intents)-1].Key
	}
}

// Leave hands the keys over to the next routers. It returns when the calls in
// progress have ended and their results are handed over, or when the context
// ends. The router continues to forward calls and to execute its tickets until
// Close. Leave must be called only once.
func (e *Executor) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.handoffSent = make(chan struct{})
	e.mu.Unlock()
	e.sendHandoffs(ctx)
	close(e.handoffSent)
	for ctx.Err() == nil {
		e.mu.Lock()
		var end chan struct{}
		for _, end = range e.running {
			break
		}
		e.mu.Unlock()
		if end == nil {
			break
		}
		select {
		case <-end:
		case <-ctx.Done():
		}
	}
	e.sendHandoffs(ctx)
	rwlog.Info(&e.config.Log, rwlog.KeysHandedOver).Send()
	return ctx.Err()
}

// Close makes the router begin no call any more and returns when the calls that
// it has accepted have ended and their results are written, or with an error
// when the context ends. Leave must be called before, and Close only once.
func (e *Executor) Close(ctx context.Context) error {
	e.mu.Lock()
	e.machine.Close()
	if e.active == 0 {
		e.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	e.idle = idle
	e.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return rwfault.FromContext(ctx)
	}
}

func (e *Executor) sendHandoffs(ctx context.Context) {
	e.mu.Lock()
	e.updateList()
	list := e.machine.Leave(e.config.Now())
	e.mu.Unlock()
	var all sync.WaitGroup
	for to, handoff := range list {
		all.Go(func() {
			for _, part := range handoff.Split(rwonce.PageSize) {
				if a, ok := call[rwintentack.Ack](ctx, e, handoffTimeout, to, "handoff", part); !ok || !a.OK {
					return
				}
			}
		})
	}
	all.Wait()
}
