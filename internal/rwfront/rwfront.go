// Package rwfront is the HTTP handler of a front router: it forwards callers'
// requests to upstreams according to the published routes.
package rwfront

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwbody"
	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconcurrency"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwconn"
	"redwingworks.example/internal/rwcrash"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwexchange"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwinflight"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwpicker"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwretryafter"
	"redwingworks.example/internal/rwretrywindow"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwtally"
)

const (
	// defaultTimeout applies to requests for which the caller sets no timeout;
	// the route's timeout can only shorten it.
	defaultTimeout     = 30 * time.Second
	defaultBodyTimeout = 10 * time.Second
	// lingerTime is how long a connection is read after the refusal of a request
	// whose body is not complete: a connection that is closed while its caller
	// sends is reset, and the caller may lose the response.
	lingerTime = 500 * time.Millisecond
	// maxResponseBytes bounds the responses that are not streams: a faulty upstream
	// may send without end. maxBufferedBytes is how much of one is buffered before it
	// is forwarded; most responses are shorter.
	maxResponseBytes = 16 << 20
	maxBufferedBytes = 128 << 10
	// writeSlack is how long after the deadline of a request writes to a caller that
	// doesn't read are given up.
	writeSlack = time.Second
	// maxUpstreams bounds the number of upstreams that one request is sent to;
	// twice as many may be tried if some can't be reached.
	maxUpstreams = 4
	// notReadyRetryAfter, unreachableRetryAfter, drainRetryAfter and
	// overloadRetryAfter are the retry delays given to callers when there is no
	// estimate.
	notReadyRetryAfter    = 300 * time.Millisecond
	unreachableRetryAfter = 250 * time.Millisecond
	drainRetryAfter       = 50 * time.Millisecond
	overloadRetryAfter    = 200 * time.Millisecond
	// linkRetryAfter is that of callers who are refused because the link is full. By
	// then the load balancer sends new connections to other routers.
	linkRetryAfter = 2200 * time.Millisecond
	// softwareRetryAfter is the retry delay given to callers whose stream's
	// version doesn't serve or has become uncertain; an upstream that crashed may
	// come back with it.
	softwareRetryAfter = time.Second
	// evacuatedRetryAfter is that of callers whose service has upstreams in evacuated
	// zones only. When the zone returns isn't known; it takes seconds at least.
	evacuatedRetryAfter = time.Second
	// linkTargetRatio is the fraction of a route's target for which the body of a
	// request may wait for the machine's link.
	linkTargetRatio = 0.5
	// retryAfterJitter is the largest fraction by which a retry delay is
	// lengthened, so that callers refused together don't retry together.
	retryAfterJitter = 0.5
	// defaultEngineTarget is the latency target for engine routes that set
	// none.
	defaultEngineTarget = time.Second
)

// Handler serves callers' requests. All exported fields are set before it
// serves.
type Handler struct {
	Dialect   rwdialect.Dialect
	Published func() *rwconfigsnapshot.Snapshot
	// Acquire returns a grant on an engine.
	Acquire func(context.Context, string, rwplacement.Request) (rwbroker.Grant, *rwfault.Fault)
	// FindOrigin returns where the stream with an id began, and Begun records it.
	// FindOrigin fails with OriginUnknown.
	FindOrigin func(ctx context.Context, service string, r rwplacement.Request, id string) (rworigin.Origin, *rwfault.Fault)
	Begun      func(id string, o rworigin.Origin)
	// OriginUncertain reports whether the stream with an id may have begun at
	// another version than Begun recorded, which the store's news can show later.
	OriginUncertain func(id string) bool
	Pool            *rwconn.Pool
	// RouterCount is the number of routers that share the fleet's retry budget.
	RouterCount func() int
	// NewBudget returns a new retry budget for a service.
	NewBudget func() *rwretrywindow.Budget
	// CloseConnections reports whether to close callers' connections after
	// their responses.
	CloseConnections func() bool
	// Draining reports whether the router is about to end and may not finish a
	// request with this deadline.
	Draining func(deadline time.Time) bool
	// Overloaded returns why to refuse the request with this context of an account
	// because the router has too many, or an empty string; it may select a random
	// fraction. The account of a request without a known key is empty.
	Overloaded func(ctx context.Context, account string) string
	// Lagging reports whether the router reads requests late, so that callers
	// may have disconnected unnoticed.
	Lagging func() bool
	// CallerClosed reports whether the caller of the request with this context
	// has closed its connection. ResetOnClose sets whether that connection ends
	// with a reset, also if the process ends.
	CallerClosed func(context.Context) bool
	ResetOnClose func(ctx context.Context, reset bool)
	// Via returns the address of the router that relayed the connection of a
	// request, or an empty string.
	Via func(*http.Request) string
	// FlushDelay is how long to collect the events of a stream after each
	// write; zero unless the machine is short of CPU time. Reading and writing
	// an event takes 30 µs, half of the cost of a stream.
	FlushDelay func() time.Duration
	// AdmitBody, if set, waits until the body of a number of bytes of the request with
	// this context may arrive, or one of unknown size for -1. It reports false if it
	// would wait for longer than a time.
	AdmitBody func(ctx context.Context, n int64, within time.Duration) bool
	// CloseRefused reports whether to close the connections of refused callers,
	// which retry on new ones.
	CloseRefused func() bool
	Zone         string
	Log          zerolog.Logger
	Metrics      *rwmetric.Metrics
	// ObserveLatency, if set, is called for each request whose response was
	// forwarded, with the time to the response or to the first event of a
	// stream.
	ObserveLatency func(time.Duration)
	// Stopping returns when the router was asked to stop, and whether it was. If
	// nil, the router never stops.
	Stopping func() (time.Time, bool)
	// InFlight holds the requests in progress.
	InFlight *rwinflight.Table
	// HarmfulPart, if set, returns the first part of a prompt that crashes the
	// engines of a service, and how long requests with it are refused. SuspectedPart
	// reports whether a part may have crashed several. ResponseWritten is called for
	// the shared parts of prompts on which a response was written, and Crashed for
	// those of a request whose response had just begun or not yet when the connection
	// to its engine ended.
	HarmfulPart func(service string, ids []string) (id string, left time.Duration, ok bool)
	// TryHarmful reports whether to send one such request on nevertheless.
	TryHarmful      func(service string, ids []string) bool
	SuspectedPart   func(service string, ids []string) bool
	ResponseWritten func(service string, ids []string)
	Crashed         func(rwcrash.Crash)
	// Alive, if set, is called for an engine that has responded to a request sent at
	// a time.
	Alive func(service, upstream string, startMillis int64, sent time.Time)
	// ColdRoom, ColdTaken and ColdEnded, if set, bound the requests to cold upstreams
	// of plain services. ColdRoom reports whether one may get a request of an
	// account; ColdTaken counts one that goes there and returns when it may be sent
	// at the latest, or zero for no bound; ColdEnded records how it ended.
	ColdRoom  func(now time.Time, service, id, account string) bool
	ColdTaken func(now time.Time, service, id, account string) time.Time
	ColdEnded func(now time.Time, id string, end rwplacement.End)
	// Tally, if set, counts the requests by account and outcome.
	Tally *rwtally.Tally
	// Memory, if set, bounds the memory of bodies, and of what is buffered of responses,
	// beyond includedBodyBytes for each request.
	Memory *rwbudget.Budget
	// MaxRequests, if set, returns the largest number of requests in progress, which the
	// services share.
	MaxRequests func() int64
	// BodyTimeout bounds the time to read a request body; 0 for the default.
	BodyTimeout time.Duration

	services rwconcurrency.Limiter

	mu      sync.Mutex
	pickers map[string]*rwpicker.Picker
	budgets map[string]*rwretrywindow.Budget
	// retryAfter holds the upstreams that want no requests; it is nil before the
	// first one.
	retryAfter *rwretryafter.Table
}

// destination is the upstream of one attempt.
type destination struct {
	id, addr    string
	software    string
	startMillis int64
	copySource  string
	firstEvent  func()
	end         func(rwplacement.End)
	// notAfter is when the right to send ends, or zero if it doesn't.
	notAfter time.Time
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	inFlight := f.InFlight.Add(rwinflight.Request{Start: start})
	defer f.InFlight.Remove(inFlight)
	f.Metrics.Add("requests", 1)
	if f.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	limitRestOfBody(w, r)
	x, fault := f.admit(w, r, start, inFlight)
	defer x.Memory.Close()
	if fault != nil && errors.Is(fault, rwbody.ErrNoMemory) {
		f.refuseAndDiscard(w, r, x, fault)
		return
	}
	if fault != nil {
		f.refuse(w, x, fault)
		return
	}
	if x.Counted != "" {
		defer f.services.Release(x.Counted)
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.Deadline)
	defer cancel()
	if fault := f.run(ctx, w, x); fault != nil {
		f.fail(ctx, w, x, fault)
	}
}

// admit finds the route and the account of a request and reads its body. The
// exchange is never nil.
func (f *Handler) admit(w http.ResponseWriter, r *http.Request, start time.Time, inFlight uint64) (*rwexchange.Exchange, *rwfault.Fault) {
	x := &rwexchange.Exchange{Request: f.Dialect.Decode(r), Start: start, LastEventID: -1, InFlight: inFlight, OldProtocol: !r.ProtoAtLeast(1, 1)}
	if f.Via != nil {
		x.Via = f.Via(r)
	}
	f.InFlight.Update(inFlight, func(p *rwinflight.Request) { p.ID = x.Request.ID })
	snapshot := f.Published()
	switch {
	case snapshot.Config == nil:
		return x, rwfault.New(rwcode.NotReady, "no configuration yet").WithRetryAfter(notReadyRetryAfter)
	case snapshot.Config.Limits.MaxHeaderBytes > 0 && headSize(r) > snapshot.Config.Limits.MaxHeaderBytes:
		return x, rwfault.New(rwcode.HeaderTooLarge, strconv.Itoa(headSize(r))+" bytes")
	}
	// This check comes before routing and before the body is read, so that a refusal
	// costs little.
	account, _ := snapshot.Config.Account(x.Request.Key)
	if reason := f.Overloaded(r.Context(), account.Name); reason != "" {
		x.Account = account
		return x, rwfault.New(rwcode.TooManyRequests, reason).WithRetryAfter(overloadRetryAfter)
	}
	x.Route = snapshot.Config.Match(x.Request.Host, x.Request.Path)
	if x.Route == nil {
		return x, rwfault.New(rwcode.UnknownPath, x.Request.Host+x.Request.Path)
	}
	f.InFlight.Update(inFlight, func(p *rwinflight.Request) { p.Route = x.Route.Name })
	if snapshot.Config.RequiresKeys() && !x.Route.Public {
		account, ok := snapshot.Config.Account(x.Request.Key)
		if !ok {
			return x, rwfault.New(rwcode.Unauthorized, "unknown key")
		}
		x.Account = account
	}
	if x.Request.ID == "" {
		return x, rwfault.New(rwcode.BadRequest, "request has no id")
	}
	f.setDeadline(x)
	if f.Draining(x.Deadline) {
		return x, ShuttingDown()
	}
	chooseService(snapshot, x)
	if !f.serviceHasRoom(x) {
		return x, serviceFull(x)
	}
	if limit := snapshot.Config.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		endAfterResponse(w)
		return x, rwfault.New(rwcode.BodyTooLarge, strconv.FormatInt(r.ContentLength, 10)+" bytes announced")
	}
	if fault := f.admitBody(w, r, x); fault != nil {
		return x, fault
	}
	if fault := f.readBody(w, r, x, snapshot.Config.Limits.MaxBodyBytes); fault != nil {
		return x, fault
	}
	if f.Draining(x.Deadline) {
		// The body took so long that the request is late now.
		return x, ShuttingDown()
	}
	if !f.countForService(x) {
		return x, serviceFull(x)
	}
	f.withBudget(x.Service, func(b *rwretrywindow.Budget) { b.CountRequest(x.Start) })
	return x, nil
}

// serviceHasRoom reports whether the service of a request may have one more in progress.
// One whose caller has stopped sending or reading ends for it.
func (f *Handler) serviceHasRoom(x *rwexchange.Exchange) bool {
	if f.MaxRequests == nil || f.services.Allows(x.Service, f.MaxRequests()) {
		return true
	}
	x.Replaces = f.Memory.EvictStalledOf(time.Now(), x.Service)
	return x.Replaces
}

// NearlyFull reports whether a service would have too many requests in progress if it got
// a number of further ones.
func (f *Handler) NearlyFull(further int64) bool {
	return f.MaxRequests != nil && f.services.NearlyFull(f.MaxRequests(), further)
}

// countForService counts a complete request to its service, and reports whether the
// service may have it.
func (f *Handler) countForService(x *rwexchange.Exchange) bool {
	switch {
	case f.MaxRequests == nil || x.Service == "":
		return true
	case x.Replaces:
		f.services.Acquire(x.Service)
	case !f.services.TryAcquire(x.Service, f.MaxRequests()):
		return false
	}
	x.Counted = x.Service
	return true
}

func serviceFull(x *rwexchange.Exchange) *rwfault.Fault {
	return rwfault.New(rwcode.TooManyRequests, "too many requests to "+x.Service).WithRetryAfter(overloadRetryAfter)
}

// admitBody waits until the body of a request may cross the machine's link. It returns
// a fault if the wait is too long for the route's target. The caller can try again at
// another router, whose link may have room, before the body has crossed this one.
func (f *Handler) admitBody(w http.ResponseWriter, r *http.Request, x *rwexchange.Exchange) *rwfault.Fault {
	if f.AdmitBody == nil || r.ContentLength == 0 {
		return nil
	}
	within := time.Until(x.Deadline)
	if t := x.Route.Target; t > 0 {
		within = min(within, time.Duration(linkTargetRatio*float64(t)))
	}
	if f.AdmitBody(r.Context(), r.ContentLength, within) {
		return nil
	}
	// Otherwise net/http would read the body before it closes the connection.
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	return rwfault.New(rwcode.TooManyRequests, "link is full").WithRetryAfter(linkRetryAfter)
}

// ShuttingDown returns the fault of a request that a stopping router doesn't
// finish.
func ShuttingDown() *rwfault.Fault {
	return rwfault.New(rwcode.Draining, "shutting down").WithRetryAfter(drainRetryAfter)
}

// headSize returns the size of a request's head on the wire: the request line,
// and each header field with its colon, space and line end.
func headSize(r *http.Request) int {
	const lineBytes, headerBytes = len("  HTTP/1.1\r\n"), len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + lineBytes + len("Host") + len(r.Host) + headerBytes + len("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerBytes
		}
	}
	return n
}

// limitRestOfBody bounds how long net/http reads the body of a request that is refused
// before its body is read. It does so before it sends the response.
func limitRestOfBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		// net/http already reads on to detect that the caller leaves.
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
}

// setDeadline sets the deadline of the exchange.
func (f *Handler) setDeadline(x *rwexchange.Exchange) {
	wait := defaultTimeout
	if x.Request.Timeout > 0 {
		wait = x.Request.Timeout
	}
	if t := x.Route.Timeout; t > 0 {
		wait = min(wait, t)
	}
	x.Deadline = x.Start.Add(wait)
}

// chooseService sets the service to the one that the request's id selects, or
// to another service of the route if that one has no usable upstream.
func chooseService(snapshot *rwconfigsnapshot.Snapshot, x *rwexchange.Exchange) {
	names := x.Route.Services(x.StreamID())
	if len(names) == 0 {
		return
	}
	x.Service = names[0]
	for _, name := range names {
		if len(snapshot.Usable(name)) > 0 {
			x.Service = name
			break
		}
	}
	if s, ok := snapshot.Config.Service(x.Service); ok {
		x.Engine = s.Engine
	}
}

func (f *Handler) withBudget(service string, use func(*rwretrywindow.Budget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets = map[string]*rwretrywindow.Budget{}
	}
	b := f.budgets[service]
	if b == nil {
		b = f.NewBudget()
		f.budgets[service] = b
	}
	use(b)
}

// run tries upstreams until the caller has a complete response. It returns nil
// then, and otherwise the fault to report.
func (f *Handler) run(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange) *rwfault.Fault {
	var last *rwfault.Fault
	if fault := f.harmful(x); fault != nil {
		return fault
	}
	if x.ResumesStream() {
		if fault := f.findOrigin(ctx, x); fault != nil {
			return fault
		}
	}
	for {
		dest, fault := f.acquire(ctx, x)
		if fault != nil {
			return moreCertain(last, fault)
		}
		if fault := f.harmful(x); fault != nil {
			// This became known while the request waited.
			dest.end(rwplacement.Abandoned)
			return moreCertain(last, fault)
		}
		if x.Sent == 0 && f.Lagging() {
			dest.end(rwplacement.Abandoned)
			return rwfault.New(rwcode.TooManyRequests, "router is lagging").WithRetryAfter(overloadRetryAfter)
		}
		if x.Sent == 0 && f.CallerClosed(ctx) {
			dest.end(rwplacement.Abandoned)
			return rwfault.New(rwcode.CallerGone, "caller closed the connection before the request was forwarded")
		}
		if x.Software != "" && f.OriginUncertain(x.StreamID()) {
			dest.end(rwplacement.Abandoned)
			return moreCertain(last, rwfault.New(rwcode.OriginUnknown, x.StreamID()).WithRetryAfter(softwareRetryAfter))
		}
		if in, ok := f.Published().Known(dest.id); ok && in.Evacuated {
			// This became known after the upstream was chosen.
			dest.end(rwplacement.Abandoned)
			x.Avoid = append(x.Avoid, dest.id)
			if len(x.Avoid) >= 2*maxUpstreams {
				return moreCertain(last, evacuated(dest.id))
			}
			f.Metrics.Add("evacuation_moved", 1)
			continue
		}
		if x.Sent > 0 && !f.allowRetry(x, last) {
			dest.end(rwplacement.Abandoned)
			return last
		}
		fault = f.tryUpstream(ctx, w, x, dest)
		if fault == nil {
			return nil
		}
		last = moreCertain(last, fault)
		x.Avoid = append(x.Avoid, dest.id)
		if !f.retryable(x, fault) {
			return last
		}
	}
}

// evacuated returns the fault of a request that could only be sent to an upstream
// whose zone is evacuated.
func evacuated(detail string) *rwfault.Fault {
	return rwfault.New(rwcode.ZoneEvacuated, detail).WithRetryAfter(evacuatedRetryAfter)
}

// tryUpstream is attempt with its end reported, also if it panics: an end that is
// missing would count as a request in progress for good.
func (f *Handler) tryUpstream(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, dest destination) *rwfault.Fault {
	f.trackAttempt(x, dest.id)
	end := rwplacement.Failed
	defer func() {
		f.trackAttempt(x, "")
		dest.end(end)
	}()
	var fault *rwfault.Fault
	end, fault = f.attempt(ctx, w, x, dest)
	return fault
}

// harmful returns the fault of a request whose prompt has a part that crashes
// engines, or nil.
func (f *Handler) harmful(x *rwexchange.Exchange) *rwfault.Fault {
	if f.HarmfulPart == nil || x.Engine == nil {
		return nil
	}
	ids := x.Request.Prompt.SharedIDs()
	id, left, ok := f.HarmfulPart(x.Service, ids)
	if !ok || x.Trial {
		return nil
	}
	if x.Trial = x.Sent == 0 && f.TryHarmful(x.Service, ids); x.Trial {
		return nil
	}
	return rwfault.New(rwcode.PromptHarmful, id).WithRetryAfter(left)
}

// trackAttempt updates the table of requests in progress at the start of an
// attempt at an upstream, and at its end with no upstream.
func (f *Handler) trackAttempt(x *rwexchange.Exchange, upstream string) {
	f.InFlight.Update(x.InFlight, func(p *rwinflight.Request) { p.Upstream, p.Sent = upstream, x.Sent })
}

// findOrigin restricts the request to the service and the software version that
// began the stream which the caller resumes. It fails if they are not known, or
// if no upstream has them.
func (f *Handler) findOrigin(ctx context.Context, x *rwexchange.Exchange) *rwfault.Fault {
	origin, fault := f.FindOrigin(ctx, x.Service, placementRequest(x), x.StreamID())
	if fault != nil {
		return fault
	}
	unavailable := rwfault.New(rwcode.SoftwareUnavailable, origin.Software).WithRetryAfter(softwareRetryAfter)
	if !slices.Contains(x.Route.Services(x.StreamID()), origin.Service) {
		return unavailable
	}
	snapshot := f.Published()
	x.Service, x.Software, x.Engine = origin.Service, origin.Software, nil
	if s, ok := snapshot.Config.Service(x.Service); ok {
		x.Engine = s.Engine
	}
	if len(x.Suitable(snapshot.Usable(x.Service))) == 0 {
		if len(x.Suitable(snapshot.Evacuated(x.Service))) > 0 {
			return evacuated(origin.Software)
		}
		return unavailable
	}
	return nil
}

// moreCertain returns the fault that says more about whether the request ran:
// once it may have run, a later refusal doesn't change that.
func moreCertain(last, next *rwfault.Fault) *rwfault.Fault {
	if last != nil && last.Outcome != rwoutcome.NotRun && next.Outcome == rwoutcome.NotRun {
		return last
	}
	return next
}

// retryable reports whether the request may be sent to another upstream.
func (f *Handler) retryable(x *rwexchange.Exchange, fault *rwfault.Fault) bool {
	switch {
	case fault.Code == rwcode.CallerGone || fault.Code == rwcode.DeadlineExceeded:
		return false
	case x.Sent >= maxUpstreams || len(x.Avoid) >= 2*maxUpstreams:
		return false
	case fault.Outcome == rwoutcome.NotRun:
		return x.Ran < x.Route.MaxAttempts
	}
	if x.Trial && x.LastEventID < 0 {
		return false
	}
	if x.LastEventID < 0 && x.Engine != nil && f.SuspectedPart != nil && f.SuspectedPart(x.Service, x.Request.Prompt.SharedIDs()) {
		return false
	}
	return x.Route.Retryable() && x.Ran < x.Route.MaxAttempts && (!x.HeadSent || x.LastEventID >= 0)
}

// allowRetry takes a retry from the fleet's retry budget. A request that has
// not reached any upstream is not a retry.
func (f *Handler) allowRetry(x *rwexchange.Exchange, last *rwfault.Fault) bool {
	ok := false
	routers := f.RouterCount()
	f.withBudget(x.Service, func(b *rwretrywindow.Budget) { ok = b.Allow(time.Now(), routers) })
	if !ok {
		f.Metrics.RetryDenied(last.Code)
		return false
	}
	f.Metrics.Retried(last.Code)
	event := rwlog.RequestRetried
	if x.HeadSent {
		event = rwlog.RequestResumed
	}
	f.addRequest(rwlog.Info(&f.Log, event), x).Stringer("code", last.Code).
		Str("upstream", x.Upstream).Int("sent", x.Sent).Int64("after", x.LastEventID).Str("detail", last.Error()).Send()
	return true
}

// acquire returns an upstream for the next attempt.
func (f *Handler) acquire(ctx context.Context, x *rwexchange.Exchange) (destination, *rwfault.Fault) {
	if fault := rwfault.FromContext(ctx); fault != nil {
		return destination{}, fault
	}
	if x.Engine != nil {
		return f.acquireEngine(ctx, x)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pickers == nil {
		f.pickers = map[string]*rwpicker.Picker{}
	}
	picker := f.pickers[x.Service]
	if picker == nil {
		picker = rwpicker.New(f.Zone)
		f.pickers[x.Service] = picker
	}
	snapshot := f.Published()
	list := x.Suitable(snapshot.Usable(x.Service))
	if len(list) == 0 && len(snapshot.Evacuated(x.Service)) > 0 {
		return destination{}, evacuated(x.Service)
	}
	avoid := x.Avoids
	if f.ColdRoom != nil {
		avoid = func(id string) bool { return x.Avoids(id) || !f.ColdRoom(now, x.Service, id, x.Account.Name) }
	}
	wanting := f.wanting(now, list)
	in, ok := picker.Pick(now, wanting, avoid)
	if !ok {
		detail := x.Service
		if len(wanting) < len(list) {
			detail += unwantingDetail
		}
		return destination{}, rwfault.New(rwcode.NoUpstream, detail).WithRetryAfter(unreachableRetryAfter)
	}
	x.Upstream, x.UpstreamSoftware = in.ID, in.Software
	notAfter := time.Time{}
	if f.ColdTaken != nil {
		notAfter = f.ColdTaken(now, x.Service, in.ID, x.Account.Name)
	}
	end := func(e rwplacement.End) {
		f.mu.Lock()
		defer f.mu.Unlock()
		ended := time.Now()
		picker.Done(ended, in.ID, e, ended.Sub(now))
		if f.ColdEnded != nil {
			f.ColdEnded(ended, in.ID, e)
		}
	}
	return destination{
		id: in.ID, addr: in.Addr, software: in.Software, startMillis: in.StartMillis, firstEvent: func() {}, end: end, notAfter: notAfter,
	}, nil
}

// placementRequest returns the request for an engine.
func placementRequest(x *rwexchange.Exchange) rwplacement.Request {
	p := x.Request.Prompt
	target := x.Route.Target
	if target <= 0 {
		target = defaultEngineTarget
	}
	stream := ""
	if x.Route.Kind == rwrouteconfig.Stream && x.Route.Resumable {
		stream = x.StreamID()
	}
	return rwplacement.Request{
		Account: x.Account.Name, Parts: p.Parts, UniqueTokens: p.UniqueTokens(), ExpectedOutput: p.ExpectedOutput(),
		Urgency: x.Urgency(), Target: target, GapTarget: x.Route.MaxEventGap, Elapsed: time.Since(x.Start),
		Resumed: x.Software != "", Stream: stream, Software: x.Software, Avoid: x.Avoid,
	}
}

// acquireEngine returns a granted engine. Engines that want no requests from this
// router are left out of what it asks for; their owner goes on to grant them to others.
func (f *Handler) acquireEngine(ctx context.Context, x *rwexchange.Exchange) (destination, *rwfault.Fault) {
	p := x.Request.Prompt
	var g rwbroker.Grant
	for n := 0; ; n++ {
		r, ok := f.withoutUnwanting(x, placementRequest(x))
		if !ok || n == maxUnwantingGrants {
			return destination{}, rwfault.New(rwcode.NoUpstream, x.Service+unwantingDetail).WithRetryAfter(unreachableRetryAfter)
		}
		var fault *rwfault.Fault
		g, fault = f.Acquire(ctx, x.Service, r)
		x.Decision, x.Owner, x.Answer = g.Decision, g.Owner, g.Answer
		if fault != nil {
			return destination{}, fault
		}
		f.mu.Lock()
		wanted := f.wantsRequests(time.Now(), g.Instance)
		f.mu.Unlock()
		if wanted {
			break
		}
		// The request was queued before the engine refused another one.
		g.End(rwplacement.Abandoned)
	}
	x.Upstream, x.UpstreamSoftware = g.Instance.ID, g.Instance.Software
	f.addRequest(addDecision(rwlog.Info(&f.Log, rwlog.RequestPlaced), x), x).
		Str("account", x.Account.Name).Str("upstream", x.Upstream).Int("input", p.Input).Int("own", p.UniqueTokens()).
		Str("source", g.Source).Int64("rev", f.Published().Rev).Dur("waited", time.Since(x.Start)).Send()
	in := g.Instance
	return destination{
		id: in.ID, addr: in.Addr, software: in.Software, startMillis: in.StartMillis, copySource: g.Source,
		firstEvent: g.FirstEvent, end: g.End, notAfter: g.NotAfter,
	}, nil
}

// addDecision adds the fields of the placement decision to a log line.
func addDecision(e *zerolog.Event, x *rwexchange.Exchange) *zerolog.Event {
	d := x.Decision
	return e.Str("owner", x.Owner).Dur("answer", x.Answer).Str("engine", d.Engine).Dur("forecast", d.Forecast).Int("ahead", d.QueuedTokens).
		Int("kept", d.CachedTokens).Int("uncached", d.UncachedTokens).Int("rate", d.PrefillRate).Bool("crowded", d.Crowded).Int("got", d.Usage).Int("level", d.FairShare).Str("bound", d.Bound)
}

// addRequest adds the fields that all lines about a request have: its id, the
// software of its upstream, the router that relayed it, what its caller resumes,
// and the field "stopping" if the router was asked to stop: the time from then to
// the arrival of the request, which is negative if the request arrived before.
func (f *Handler) addRequest(e *zerolog.Event, x *rwexchange.Exchange) *zerolog.Event {
	e = e.Str("id", x.Request.ID)
	if x.UpstreamSoftware != "" {
		e = e.Str("software", x.UpstreamSoftware)
	}
	if x.Via != "" {
		e = e.Str("via", x.Via)
	}
	if x.Request.Resumes != "" {
		e = e.Str("resumes", x.StreamID()).Str("events", x.Request.LastEventID)
	}
	if f.Stopping == nil {
		return e
	}
	if at, ok := f.Stopping(); ok {
		e = e.Dur("stopping", x.Start.Sub(at))
	}
	return e
}

// fail ends a request for which run returned a fault.
func (f *Handler) fail(ctx context.Context, w http.ResponseWriter, x *rwexchange.Exchange, fault *rwfault.Fault) {
	if ended := rwfault.FromContext(ctx); fault.Code == rwcode.CallerGone || ended != nil && ended.Code == rwcode.CallerGone {
		f.Metrics.Refused(rwcode.CallerGone)
		f.count(x, rwcode.CallerGone.String())
		f.addRequest(rwlog.Info(&f.Log, rwlog.RequestAbandoned), x).Stringer("code", rwcode.CallerGone).
			Str("upstream", x.Upstream).Int("sent", x.Sent).Dur("took", time.Since(x.Start)).Str("detail", fault.Error()).Send()
		panic(http.ErrAbortHandler)
	}
	if x.HeadSent {
		f.logFailure(x, fault, 0)
		// The connection is aborted so that the caller doesn't mistake the
		// partial response for a complete one.
		panic(http.ErrAbortHandler)
	}
	f.refuse(w, x, fault)
}

// refuse writes the error response to a request that failed.
func (f *Handler) refuse(w http.ResponseWriter, x *rwexchange.Exchange, fault *rwfault.Fault) {
	status := statusOf(fault)
	f.logFailure(x, fault, status)
	h := w.Header()
	if f.CloseRefused() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		after := fault.RetryAfter
		if after <= 0 {
			after = unreachableRetryAfter
		}
		h.Set("Retry-After", strconv.FormatFloat(jitter(x.Request.ID, after).Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, fault.Code.String()+"\n")
}

// jitter lengthens a delay by a fraction that depends on the request id.
func jitter(id string, d time.Duration) time.Duration {
	const steps = 1000
	fraction := float64(rwrendezvous.Score("return", id)%steps) / steps
	return d + time.Duration(float64(d)*retryAfterJitter*fraction)
}

// count counts a request that has ended.
func (f *Handler) count(x *rwexchange.Exchange, outcome string) {
	if f.Tally != nil {
		f.Tally.Add(x.Account.Name, outcome)
	}
}

// logFailure counts and logs a failed request.
func (f *Handler) logFailure(x *rwexchange.Exchange, fault *rwfault.Fault, status int) {
	f.Metrics.Refused(fault.Code)
	outcome := fault.Code.String()
	if fault.Code == rwcode.TooManyRequests {
		// Several bounds have this code.
		outcome = fault.Error()
	}
	f.count(x, outcome)
	e := rwlog.Info(&f.Log, rwlog.RequestRefused)
	if fault.Outcome != rwoutcome.NotRun {
		e = rwlog.Warn(&f.Log, rwlog.RequestFailed, fault).Stringer("outcome", fault.Outcome)
	} else {
		e = e.Stringer("code", fault.Code).Str("detail", fault.Error())
	}
	if x.Owner != "" {
		e = addDecision(e, x)
	}
	e = f.addRequest(e, x).Int("status", status).Str("account", x.Account.Name).
		Str("service", x.Service).Str("upstream", x.Upstream).Int("sent", x.Sent).
		Dur("took", time.Since(x.Start)).Dur("retry", fault.RetryAfter)
	snapshot := f.Published()
	if snapshot.Config != nil {
		e = e.Int64("version", snapshot.Config.Version)
	}
	if x.Route != nil {
		e = e.Str("route", x.Route.Name)
	}
	e.Int64("era", snapshot.Era).Int64("rev", snapshot.Rev).Dur("age", time.Since(snapshot.At)).Send()
}

// statusOf returns the HTTP status for a fault. If the request did not run, the
// status says why; if it may have run, the status implies neither.
func statusOf(f *rwfault.Fault) int {
	if f.Outcome != rwoutcome.NotRun {
		if f.Code == rwcode.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch f.Code {
	case rwcode.UnknownPath:
		return http.StatusNotFound
	case rwcode.Unauthorized:
		return http.StatusUnauthorized
	case rwcode.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case rwcode.BadRequest:
		return http.StatusBadRequest
	case rwcode.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case rwcode.SlowBody:
		return http.StatusRequestTimeout
	case rwcode.ShareExceeded:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
