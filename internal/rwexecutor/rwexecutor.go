// Package rwexecutor runs non-idempotent calls at most once. It drives the state
// machine of rwonce in a router: it carries its messages over the links and
// sends calls by the router's scheduler.
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
	// defaultTimeout bounds a call without a deadline. It is below the time
	// for which rwonce keeps traces beyond the repeat time.
	defaultTimeout = 150 * time.Second
	// maxBodyBytes is the largest body that still fits into a message between
	// routers in base64.
	maxBodyBytes = 800 << 10
	// maxWitnesses bounds the routers that are asked to remember one key. When
	// two thirds of the fleet are cut off, one call in 600 finds none in 16.
	maxWitnesses = 16
	// heldRetryLimit is how long a call waits for a home that has just started,
	// meetPatience how long until this router has heard that it has, and
	// heldPause the time between two attempts.
	heldRetryLimit     = 3 * time.Second
	restartNoticeLimit = 500 * time.Millisecond
	heldRetryInterval  = 50 * time.Millisecond
	// maxHops bounds forwarding: from the entry to a home that is leaving
	// and on to the router that has its keys, which may be leaving too.
	maxHops = 4
)

// Executor is the part of a router that runs non-idempotent calls.
type Executor struct {
	config Config

	mu       sync.Mutex
	machine  *rwonce.Machine
	snapshot *rwsnapshot.Snapshot
	// addrs are the last known peer addresses by name.
	addrs map[string]string
	// running holds a channel for each call in progress, closed at its end.
	running   map[string]chan struct{}
	recovered bool
	// handoffSent is closed when the keys were offered to the next routers; nil
	// before Leave.
	handoffSent chan struct{}
}

// Config holds what a Home uses. All fields are required except Hold.
type Config struct {
	Self rwidentity.Identity
	// FleetKey is the fleet's key; it signs tickets.
	FleetKey string
	// Snapshot returns the configuration in force, with the published VMs.
	Snapshot func() *rwsnapshot.Snapshot
	// Peers are the links to other routers; New registers handlers on them.
	Peers *rwpeer.Peers
	// Run waits for a slot and sends a call to an upstream at most once. It
	// has to pass the request's Check on to rwdispatch. Its faults say
	// not_run only if nothing reached an upstream.
	Run func(context.Context, *rwrequest.Request) (*rwdispatch.Response, error)
	// Now is the clock, with a monotonic reading.
	Now func() time.Time
	// Hold replaces the time that keys are held when the whole fleet starts;
	// 0 means the longest repeat time of any kind.
	Hold    time.Duration
	Log     zerolog.Logger
	Metrics *rwmetric.Metrics
}

// forwardedCall is a call that is forwarded to another router.
type forwardedCall struct {
	Call rwcall.Call `json:"call"`
	// Inc is the incarnation that a ticket names, 0 for an opaque key.
	Inc     int64   `json:"inc,omitempty"`
	Hops    int     `json:"hops"`
	Request request `json:"request"`
	// Timeout is the time until the caller's deadline, 0 for none.
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

// New returns a Home and registers its peer methods.
func New(c Config) *Executor {
	h := &Executor{
		config:  c,
		machine: rwonce.New(c.Self, rwonce.Config{Hold: c.Hold}, c.Now()),
		addrs:   map[string]string{},
		running: map[string]chan struct{}{},
	}
	c.Peers.Handle("order", rwpeer.Typed(h.handleCall))
	c.Peers.Handle("trace", handle(h, func(from rwidentity.Identity, n rwintentsync.Sync) rwintentack.Ack {
		return h.machine.HandleSync(c.Now(), from, n)
	}))
	c.Peers.Handle("traces", handle(h, func(from rwidentity.Identity, q rwintentquery.Query) rwintentreply.Reply {
		return h.machine.HandleQuery(c.Now(), from, q)
	}))
	c.Peers.Handle("handoff", handle(h, func(from rwidentity.Identity, o rwhandoff.Handoff) rwintentack.Ack {
		return h.machine.HandleHandoff(c.Now(), from, o)
	}))
	return h
}

// handle passes a message to the machine.
func handle[P, R any](h *Executor, answer func(rwidentity.Identity, P) R) rwpeer.Handler {
	return rwpeer.Typed(func(_ context.Context, from rwidentity.Identity, p P) (any, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.updateList()
		if h.addrs[from.Name] == "" {
			h.addrs[from.Name] = from.Addr
		}
		return answer(from, p), nil
	})
}

// updateList takes over the VM list in force. The lock is held.
func (h *Executor) updateList() {
	view := h.config.Snapshot()
	if view == h.snapshot {
		return
	}
	h.snapshot = view
	repeat := rwkind.DefaultRepeatWindow
	for i, k := range view.Kinds() {
		if i == 0 {
			repeat = 0
		}
		repeat = max(repeat, k.RepeatWindow)
	}
	var live, all []string
	for _, m := range view.VMs() {
		h.addrs[m.Name] = m.Addr
		all = append(all, m.Name)
		if !m.Leaving {
			live = append(live, m.Name)
		}
	}
	if view.VMListRev() > 0 {
		h.machine.SetList(h.config.Now(), rwvmlist.New(view.VMListRev(), live, all), repeat)
	}
}

func (h *Executor) addr(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addrs[name]
}

// Do runs a non-idempotent call with a key through the key's home, which may
// be this router. It fails with a fault whose outcome says what is known.
func (h *Executor) Do(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
	if q.IdempotencyKey == "" {
		return h.config.Run(ctx, q)
	}
	if len(q.Body) > maxBodyBytes {
		return nil, rwfault.New(rwcode.BodyTooLarge, "a call with a key")
	}
	o, err := h.newCall(q)
	if err != nil {
		return nil, err
	}
	var r rwresult.Result
	if o.Call.Ticket {
		r = h.doTicket(ctx, q, o)
	} else {
		r = h.doOpaque(ctx, o)
	}
	if r.Outcome == rwoutcome.Unknown {
		h.config.Metrics.Add("keys_unknown", 1)
	}
	return response(r)
}

// newCall describes a call of a caller.
func (h *Executor) newCall(q *rwrequest.Request) (forwardedCall, error) {
	o := forwardedCall{
		Call: rwcall.Call{
			ID:     q.ID,
			Key:    rwkey.Scope(q.Account, q.IdempotencyKey),
			Digest: rwkey.Digest(q.Pool, q.Method, q.Path, string(q.Body)),
			Repeat: q.KeyRetention,
			From:   h.config.Self.Name,
			Inc:    h.config.Self.Inc,
		},
		Request: request{
			ID: q.ID, Account: q.Account, Kind: q.Kind, Pool: q.Pool, Urgency: q.Urgency, Key: q.IdempotencyKey,
			Method: q.Method, Path: q.Path, Type: q.ContentType, Hint: q.Hint, Body: q.Body,
		},
	}
	if o.Call.Repeat == 0 {
		o.Call.Repeat = rwkind.DefaultRepeatWindow
	}
	if !q.Deadline.IsZero() {
		o.Timeout = max(q.Deadline.Sub(h.config.Now()), time.Millisecond)
	}
	if rwticket.Is(q.IdempotencyKey) {
		t, err := rwticket.Parse(h.config.FleetKey, q.IdempotencyKey)
		if err != nil {
			return o, err
		}
		o.Call.Ticket, o.Call.KeyCreated, o.Inc = true, t.Issued, t.Inc
		return o, nil
	}
	if id, err := uuid.Parse(q.IdempotencyKey); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		o.Call.KeyCreated = time.Unix(sec, nsec)
	}
	return o, nil
}

func (h *Executor) doTicket(ctx context.Context, q *rwrequest.Request, o forwardedCall) rwresult.Result {
	t, err := rwticket.Parse(h.config.FleetKey, q.IdempotencyKey)
	if err != nil {
		return rwresult.Unknown(err.Error())
	}
	if t.Name == h.config.Self.Name {
		return h.runOrJoin(ctx, o)
	}
	r, _ := h.forward(ctx, t.Name, o)
	return r
}

// doOpaque sends a call to the home of its key. A home that has just started
// refuses it until it knows what earlier incarnations ran; the call was not run
// then, and is sent again for a while.
func (h *Executor) doOpaque(ctx context.Context, o forwardedCall) rwresult.Result {
	begin := h.config.Now()
	for last := (rwresult.Result{}); ; {
		h.connectHome(ctx, o.Call.Key)
		h.mu.Lock()
		h.updateList()
		v := h.machine.Route(h.config.Now(), o.Call)
		o.Call.Version, o.Call.FromIsWitness = h.machine.Version(), v.SelfIsWitness
		ranks := h.machine.Candidates(o.Call.Key)
		h.mu.Unlock()
		if last.Code != "" && !v.TargetRecovering && h.config.Now().Sub(begin) > restartNoticeLimit {
			return last
		}
		r, refused := h.attempt(ctx, o, v, ranks)
		if !refused {
			return r
		}
		if v.NewIntent {
			h.mu.Lock()
			h.machine.DropIntent(o.Call.Key)
			h.mu.Unlock()
		}
		if last = r; h.config.Now().Sub(begin) > heldRetryLimit || !sleep(ctx, heldRetryInterval) {
			return r
		}
	}
}

// connectHome opens the link to the home of a key. Without it, a home that starts
// while its new link is being opened would collect the trace of the call before
// the call itself.
func (h *Executor) connectHome(ctx context.Context, key string) {
	h.mu.Lock()
	h.updateList()
	home := h.machine.Home(key)
	addr := h.addrs[home]
	h.mu.Unlock()
	if home != h.config.Self.Name && addr != "" {
		_ = h.config.Peers.OpenData(ctx, addr)
	}
}

// attempt sends a call once to its home, or to the next routers in their order
// as long as none can be reached. It reports whether the home itself refused to
// run it, because it doesn't know yet which keys have run.
func (h *Executor) attempt(ctx context.Context, o forwardedCall, v rwdecision.Decision, ranks []string) (r rwresult.Result, refused bool) {
	switch v.Action {
	case rwdecision.Run:
		return h.runOrJoin(ctx, o), false
	case rwdecision.Forward:
	default:
		return v.Result, false
	}
	for i, to := range ranks {
		if to == h.config.Self.Name {
			return h.runOrJoin(ctx, o), false
		}
		var ok bool
		if r, ok = h.forward(ctx, to, o); ok || ctx.Err() != nil {
			return r, ok && i == 0 && r.Code == rwcode.KeyHeld.String()
		}
	}
	return r, false
}

// sleep waits and reports whether the context is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// forward sends a call to another router. Without its answer nothing is known.
func (h *Executor) forward(ctx context.Context, to string, o forwardedCall) (r rwresult.Result, ok bool) {
	o.Hops++
	limit := defaultTimeout
	if o.Timeout > 0 {
		limit = o.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	addr := h.addr(to)
	if addr == "" {
		return rwresult.Unknown("router " + to + " is not known"), false
	}
	if err := h.config.Peers.CallData(ctx, addr, "order", o, &r); err != nil {
		h.config.Metrics.Refused(rwcode.HomeUnreachable)
		return rwresult.Unknown(to + ": " + err.Error()), false
	}
	return r, true
}

func (h *Executor) handleCall(ctx context.Context, from rwidentity.Identity, o forwardedCall) (any, error) {
	if from.Name != o.Call.From || from.Inc != o.Call.Inc {
		o.Call.FromIsWitness = false
	}
	r := h.runOrJoin(ctx, o)
	if len(r.Body) > maxBodyBytes {
		r = rwresult.Fault(rwcode.UpstreamMalformed, rwoutcome.Ran, "the answer is too large for another router")
	}
	return r, nil
}

// runOrJoin runs a call here, or joins the same call in progress.
func (h *Executor) runOrJoin(ctx context.Context, o forwardedCall) rwresult.Result {
	if o.Call.Ticket && o.Inc != h.config.Self.Inc {
		return rwresult.Unknown("the router that issued the ticket is gone")
	}
	for {
		h.mu.Lock()
		h.updateList()
		v := h.machine.Begin(h.config.Now(), o.Call)
		if v.Action == rwdecision.Run {
			h.running[o.Call.Key] = make(chan struct{})
		}
		end := h.running[o.Call.Key]
		h.mu.Unlock()
		switch v.Action {
		case rwdecision.Answer:
			return v.Result
		case rwdecision.Forward:
			return h.forwardToSuccessor(ctx, v.To, o)
		case rwdecision.Run:
			return h.runDetached(ctx, o, v.Witnesses)
		}
		select {
		case <-end:
		case <-ctx.Done():
			return rwresult.Unknown("the call is in progress")
		}
	}
}

// forwardToSuccessor forwards a call of a router that is leaving, once its keys are offered
// to the next router.
func (h *Executor) forwardToSuccessor(ctx context.Context, to string, o forwardedCall) rwresult.Result {
	if o.Hops >= maxHops || to == "" {
		return rwresult.Unknown("the home is leaving")
	}
	h.mu.Lock()
	handed := h.handoffSent
	h.mu.Unlock()
	select {
	case <-handed:
	case <-ctx.Done():
		return rwresult.Unknown("the home is leaving")
	}
	o.Call.FromIsWitness = false
	r, _ := h.forward(ctx, to, o)
	return r
}

// runDetached runs a call that goes on when its caller gives up, since other
// callers may wait for the same key.
func (h *Executor) runDetached(ctx context.Context, o forwardedCall, witnesses []string) rwresult.Result {
	limit := defaultTimeout
	if o.Timeout > 0 {
		limit = o.Timeout
	}
	done := make(chan rwresult.Result, 1)
	go func() {
		free, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		done <- h.execute(free, o, witnesses)
	}()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return rwresult.Unknown("the call is in progress")
	}
}

func (h *Executor) execute(ctx context.Context, o forwardedCall, witnesses []string) rwresult.Result {
	traced := len(witnesses) == 0 || h.storeIntent(ctx, o.Call, witnesses)
	r := rwresult.Unknown("no other router remembers the key")
	if traced {
		r = h.dispatch(ctx, o)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if traced {
		h.machine.Finish(h.config.Now(), o.Call.Key, r)
	} else {
		h.machine.Abandon(o.Call.Key)
	}
	close(h.running[o.Call.Key])
	delete(h.running, o.Call.Key)
	return r
}

// storeIntent makes one other router remember the key. It asks the next witness when
// one refuses or is slow, so that a router that is cut off delays a call by
// traceHedge and not by a timeout.
func (h *Executor) storeIntent(ctx context.Context, c rwcall.Call, witnesses []string) bool {
	h.mu.Lock()
	n := h.machine.IntentSync(h.config.Now(), c.Key)
	h.mu.Unlock()
	acks := make(chan bool, len(witnesses))
	pending := 0
	for _, w := range witnesses[:min(len(witnesses), maxWitnesses)] {
		go func() { acks <- h.askWitness(ctx, w, n) }()
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

func (h *Executor) askWitness(ctx context.Context, witness string, n rwintentsync.Sync) bool {
	a, ok := call[rwintentack.Ack](ctx, h, witnessTimeout, witness, "trace", n)
	if !ok {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.HandleSyncAck(h.config.Now(), witness, n, a)
}

func call[R any](ctx context.Context, h *Executor, limit time.Duration, to, method string, params any) (r R, ok bool) {
	addr := h.addr(to)
	if addr == "" {
		return r, false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r, h.config.Peers.Call(ctx, addr, method, params, &r) == nil
}

func (h *Executor) dispatch(ctx context.Context, o forwardedCall) rwresult.Result {
	now := h.config.Now()
	q := &rwrequest.Request{
		ID: o.Request.ID, Account: o.Request.Account, Kind: o.Request.Kind, Pool: o.Request.Pool,
		Urgency: o.Request.Urgency, IdempotencyKey: o.Request.Key, Method: o.Request.Method, Path: o.Request.Path,
		Body: o.Request.Body, ContentType: o.Request.Type, Hint: o.Request.Hint,
		Arrived: now, KeyRetention: o.Call.Repeat,
		BeforeSend: func() error { return h.checkCommit(o.Call) },
	}
	if o.Timeout > 0 {
		q.Deadline = now.Add(o.Timeout)
	}
	h.mu.Lock()
	q.FencingToken = h.machine.Version().Rev
	h.mu.Unlock()
	return result(h.config.Run(ctx, q))
}

// checkCommit is the last check before the first byte goes to an upstream.
func (h *Executor) checkCommit(c rwcall.Call) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateList()
	code := h.machine.Commit(h.config.Now(), c)
	if code == rwcode.None {
		return nil
	}
	if code == rwcode.Paused {
		rwlog.Info(&h.config.Log, rwlog.PauseDetected).Str("request", c.ID).Send()
	}
	return rwfault.New(code, c.ID)
}

func result(a *rwdispatch.Response, err error) rwresult.Result {
	if err == nil {
		return rwresult.Result{Outcome: rwoutcome.Ran, Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
	}
	f := rwfault.From(err)
	if f.Code == rwcode.Internal {
		// An error without a code says nothing about what was sent.
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

// IssueTicket returns a key that only this incarnation may run.
func (h *Executor) IssueTicket() (string, error) {
	t := rwticket.Ticket{Name: h.config.Self.Name, Inc: h.config.Self.Inc, Issued: h.config.Now()}
	return t.Sign(h.config.FleetKey, uuid.NewString()), nil
}

// Start recovers the traces of earlier homes and repeats this whenever the
// list changes. It returns when the context ends.
func (h *Executor) Start(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		h.step(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *Executor) step(ctx context.Context) {
	h.mu.Lock()
	h.updateList()
	h.machine.Tick(h.config.Now())
	posts := h.machine.PendingMessages(h.config.Now())
	changed := h.recovered != h.machine.Recovered()
	h.recovered = h.machine.Recovered()
	full := h.recovered
	h.mu.Unlock()
	if changed && full {
		rwlog.Info(&h.config.Log, rwlog.KeysReleased).Send()
	}
	if changed && !full {
		rwlog.Info(&h.config.Log, rwlog.KeysHeld).Send()
	}
	for _, p := range posts {
		go h.sendMessage(ctx, p)
	}
}

func (h *Executor) sendMessage(ctx context.Context, p rwintentmessage.Message) {
	if p.Query != nil {
		h.query(ctx, p.To, *p.Query)
		return
	}
	inc := int64(0)
	for _, n := range p.Sync.Split(rwonce.PageSize) {
		a, ok := call[rwintentack.Ack](ctx, h, queryTimeout, p.To, "trace", n)
		if !ok || !a.OK || inc != 0 && a.Inc != inc {
			return
		}
		inc = a.Inc
		h.mu.Lock()
		h.machine.HandleSyncAck(h.config.Now(), p.To, n, a)
		h.mu.Unlock()
	}
}

// query asks for all pages of one incarnation. If the router has become full
// in between, the pages before may lack keys that it knows now.
func (h *Executor) query(ctx context.Context, to string, q rwintentquery.Query) {
	var first rwintentreply.Reply
	for {
		r, ok := call[rwintentreply.Reply](ctx, h, queryTimeout, to, "traces", q)
		if first.Inc == 0 {
			first = r
		}
		if !ok || r.Inc != first.Inc || r.Recovered != first.Recovered {
			return
		}
		h.mu.Lock()
		h.machine.HandleReply(h.config.Now(), to, q, r)
		h.mu.Unlock()
		if !r.OK || !r.More {
			return
		}
		q.After = r.Intents[len(r.Intents)-1].Key
	}
}

// Leave hands the keys over to the next routers and returns when the calls in
// progress have ended and their results are handed over, or when the context
// ends. The router keeps forwarding after that. It is called once.
func (h *Executor) Leave(ctx context.Context) error {
	h.mu.Lock()
	h.handoffSent = make(chan struct{})
	h.mu.Unlock()
	h.sendHandoffs(ctx)
	close(h.handoffSent)
	for ctx.Err() == nil {
		h.mu.Lock()
		var end chan struct{}
		for _, end = range h.running {
			break
		}
		h.mu.Unlock()
		if end == nil {
			break
		}
		select {
		case <-end:
		case <-ctx.Done():
		}
	}
	h.sendHandoffs(ctx)
	rwlog.Info(&h.config.Log, rwlog.KeysHandedOver).Send()
	return ctx.Err()
}

func (h *Executor) sendHandoffs(ctx context.Context) {
	h.mu.Lock()
	h.updateList()
	list := h.machine.Leave(h.config.Now())
	h.mu.Unlock()
	var all sync.WaitGroup
	for to, o := range list {
		all.Go(func() {
			for _, part := range o.Split(rwonce.PageSize) {
				if a, ok := call[rwintentack.Ack](ctx, h, handoffTimeout, to, "handoff", part); !ok || !a.OK {
					return
				}
			}
		})
	}
	all.Wait()
}
