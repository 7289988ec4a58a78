// Package rwgate is the HTTP API for callers. It authenticates them, enforces the
// limits on their requests and writes responses and errors.
package rwgate

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwbody"
	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconcurrency"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwerrorresponse"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwlimit"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstream"
)

// Limits of one request.
const (
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	maxKeyBytes    = 256
	maxDeadline    = 24 * time.Hour
	maxHint        = 1e9
	// maxDiscardedBytes and discardTimeout bound what is read of a body that is
	// too large, after the error response was written.
	maxDiscardedBytes = 16 << 20
	discardTimeout    = 5 * time.Second
	// lingerTime bounds how long the rest of the body of another request that failed is
	// read.
	lingerTime = 500 * time.Millisecond
	// maxResponseTextBytes bounds the text of a response that is not streamed,
	// which is kept in memory until it is complete.
	maxResponseTextBytes = 8 << 20
)

// Limits of the process, used if a field of Gate is zero. A node carries 255
// streams on average; the defaults leave room for many waiting requests.
const (
	defaultConns          = 4096
	defaultRequests       = 8192
	defaultTotalBodyBytes = 64 << 20
	defaultBodyTimeout    = 15 * time.Second
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 75 * time.Second
	pingTimeout       = 30 * time.Second
	// transportMaxHeaderBytes is the size at which net/http itself rejects a
	// header, without one of our error codes. It bounds the memory that is used
	// before maxHeaderBytes is checked.
	transportMaxHeaderBytes = 64 << 10
	// maxStreams is the number of concurrent requests on one HTTP/2
	// connection. A load balancer may use a single connection to a router.
	maxStreams = 1024
	// writeTimeout bounds the wait for a caller that reads slowly, since its
	// request occupies a slot of an engine. While a response is streamed, the
	// write deadline is extended every writeDeadlineInterval.
	writeTimeout          = 30 * time.Second
	writeDeadlineInterval = 5 * time.Second
	// replacedPart is the divisor of the limit of requests that gives how many may be in
	// progress beyond it while as many end for others.
	replacedPart = 8
	// streamBytes is the memory of an HTTP/2 request beside its header fields and its body:
	// a goroutine, buffers and the state of its stream. In HTTP/1 it is a part of what the
	// connection takes, whose number is bounded.
	streamBytes = 16 << 10
	// writePartBytes is how much of a complete response is written before the progress of
	// its caller is recorded.
	writePartBytes = 16 << 10
	// firstTextBytes is the first memory for the text of a response that is not streamed.
	firstTextBytes = 4 << 10
	// marshalCopies is how many copies of a text its encoding takes beside it.
	marshalCopies = 2
)

// ConnLimitFactor times the connection limit is the number of connections above which
// new ones are closed at once. Between the limit and this number, requests get an error
// response.
const ConnLimitFactor = 2

// Gate serves callers over HTTP. Its exported fields must be set before the first
// request.
type Gate struct {
	// ID is the prefix of request identifiers: router name and incarnation.
	ID string
	// Snapshot returns the active configuration.
	Snapshot func() *rwsnapshot.Snapshot
	// RunInference runs a request on an engine, RunCall a call to a plain service.
	// Both return soon after their context ends. The outcome of their faults
	// says whether the request may have run.
	RunInference func(context.Context, *rwrequest.Request, func(*rwstream.Chunk) error) error
	RunCall      func(context.Context, *rwrequest.Request) (*rwdispatch.Response, error)
	// IssueTicket issues an idempotency key for a non-idempotent call. It may be
	// nil.
	IssueTicket func() (string, error)
	// Ready reports whether the load balancer may send requests.
	Ready func() bool
	// Draining reports whether new requests are refused because the process is
	// shutting down. It may be nil.
	Draining func() bool
	// ReportFault counts and logs a request that ended with a fault.
	ReportFault func(*rwfault.Fault)
	// Now is the clock.
	Now func() time.Time
	// TLS is the configuration for Server; nil for HTTP without TLS.
	TLS *tls.Config
	// MaxConns and MaxRequests bound the connections and the requests of all callers
	// together; 0 for the defaults.
	MaxConns, MaxRequests int
	// Memory, if set, bounds the memory of bodies and responses: callers that stop within
	// their bodies or don't read their responses lose theirs to others. Otherwise
	// MaxTotalBodyBytes bounds that of bodies; 0 for the default.
	Memory            *rwbudget.Budget
	MaxTotalBodyBytes int
	// BodyTimeout bounds the wait for a request's body; 0 for the default.
	BodyTimeout time.Duration

	sequence atomic.Int64
	once     sync.Once
	conns    *rwlimit.Limit
	requests *rwlimit.Limit
	// bodies is Memory, or a budget for bodies alone. pools shares the requests among
	// the pools.
	bodies *rwbudget.Budget
	pools  rwconcurrency.Limiter
}

func (g *Gate) initLimits() {
	g.once.Do(func() {
		g.conns = newLimit(g.MaxConns, defaultConns)
		g.requests = newLimit(g.MaxRequests, defaultRequests)
		g.bodies = g.Memory
		if g.bodies == nil {
			g.bodies = rwbudget.New(int64(cmp.Or(g.MaxTotalBodyBytes, defaultTotalBodyBytes)))
		}
		if g.BodyTimeout == 0 {
			g.BodyTimeout = defaultBodyTimeout
		}
	})
}

func newLimit(n, fallback int) *rwlimit.Limit {
	if n == 0 {
		n = fallback
	}
	return rwlimit.New(int64(n))
}

// Server returns a server for HTTP/1.1 and HTTP/2. If the field TLS is set, use
// ServeTLS with empty file names.
func (g *Gate) Server() *http.Server {
	g.initLimits()
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(g.TLS == nil)
	return &http.Server{
		Handler:           g.Handler(),
		TLSConfig:         g.TLS,
		Protocols:         &p,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingTimeout},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    transportMaxHeaderBytes,
		ConnContext:       g.connContext,
		ConnState:         g.connState,
	}
}

type connKey struct{}

// conn is the state of a caller's connection.
type conn struct {
	// withinLimit is whether MaxConns allowed the connection.
	withinLimit bool
}

// connContext counts a connection. The server calls it for each accepted
// connection before it calls connState.
func (g *Gate) connContext(ctx context.Context, c net.Conn) context.Context {
	state := conn{withinLimit: g.conns.TryAcquire(1)}
	if !state.withinLimit {
		// The connection stays open until its request got an error response,
		// so it counts although it exceeds the limit.
		g.conns.Release(-1)
	}
	if g.conns.InUse() > ConnLimitFactor*g.maxConns() {
		g.ReportFault(rwfault.New(rwcode.TooManyConnections, ""))
		_ = c.Close()
	}
	return context.WithValue(ctx, connKey{}, state)
}

func (g *Gate) maxConns() int64 {
	if g.MaxConns == 0 {
		return defaultConns
	}
	return int64(g.MaxConns)
}

func (g *Gate) connState(_ net.Conn, s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		g.conns.Release(1)
	}
}

// Handler returns the HTTP handler for callers.
func (g *Gate) Handler() http.Handler {
	g.initLimits()
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", g.handler(g.chat))
	m.HandleFunc("/v1/call/{pool}/{path...}", g.handler(g.call))
	m.HandleFunc("POST /v1/tickets", g.handler(g.ticket))
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", g.ready)
	m.HandleFunc("/", g.handler(func(_ http.ResponseWriter, r *http.Request) error {
		return rwfault.New(rwcode.UnknownPath, r.Method+" "+r.URL.Path)
	}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.closeIfDraining(w)
		m.ServeHTTP(w, r)
	})
}

// closeIfDraining asks the caller to close its connection after the response if
// the process is shutting down. A request can have begun before, so it is called
// right before each response too.
func (g *Gate) closeIfDraining(w http.ResponseWriter) {
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
}

func (g *Gate) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() || g.draining() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gate) draining() bool { return g.Draining != nil && g.Draining() }

// handler returns a handler that enforces the limits of the process and writes the
// error that serve returns. Serve may return an error only if it wrote no part of
// the response.
func (g *Gate) handler(serve func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && r.ContentLength != 0 {
			// net/http reads the rest of the body of a request that is refused
			// before readBody, which would otherwise take as long as the caller
			// likes.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.BodyTimeout))
		}
		err := g.admit(r)
		if err == nil {
			defer g.requests.Release(1)
			err = serve(w, r)
		}
		if err != nil {
			g.writeFault(w, r, err)
		}
	}
}

// admit checks a request against the limits of the process. If it returns nil, the
// request counts until it is released.
func (g *Gate) admit(r *http.Request) error {
	if c, ok := r.Context().Value(connKey{}).(conn); ok && !c.withinLimit {
		return rwfault.New(rwcode.TooManyConnections, "connection limit of the router")
	}
	if g.draining() {
		return rwfault.New(rwcode.Draining, "the router is shutting down")
	}
	if headerBytes(r) > maxHeaderBytes {
		return rwfault.New(rwcode.HeaderTooLarge, strconv.Itoa(maxHeaderBytes))
	}
	if !g.requests.TryAcquire(1) && !g.replacesStalled() {
		return rwfault.New(rwcode.TooManyRequests, "request limit of the router")
	}
	return nil
}

// replacesStalled ends a request whose caller has stopped sending or reading, or sends
// next to nothing, and reports whether another one has its place. It would keep others
// out until its timeout. Until it has ended, the router has one request more.
func (g *Gate) replacesStalled() bool {
	most := g.maxRequests() + max(1, g.maxRequests()/replacedPart)
	if g.requests.InUse() >= most || !g.bodies.EvictStalled(time.Now()) {
		return false
	}
	g.requests.Release(-1)
	return true
}

func (g *Gate) maxRequests() int64 { return int64(cmp.Or(g.MaxRequests, defaultRequests)) }

// runInPool runs a request and counts it to its pool meanwhile. It fails if the pool has
// as many requests as it may.
func (g *Gate) runInPool(pool string, run func() error) error {
	if !g.pools.TryAcquire(pool, g.maxRequests()) {
		return poolFull(pool)
	}
	defer g.pools.Release(pool)
	return run()
}

func poolFull(pool string) error {
	return rwfault.New(rwcode.TooManyRequests, "requests in progress to "+pool)
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// writeFault writes the error response for a request of which no part of a
// response was written.
func (g *Gate) writeFault(w http.ResponseWriter, r *http.Request, err error) {
	f := toFault(err)
	g.ReportFault(f)
	g.closeIfDraining(w)
	switch f.Code {
	case rwcode.Draining, rwcode.TooManyConnections, rwcode.SlowBody, rwcode.BodyTooLarge:
		w.Header().Set("Connection", "close")
	}
	if r.ProtoMajor == 1 && r.ContentLength != 0 {
		// net/http reads the rest of the body before it sends the response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	}
	if f.Code == rwcode.BodyTooLarge && r.ProtoMajor == 1 {
		writeFaultAndDiscardBody(w, r, rwerrorresponse.New(f))
		return
	}
	rwerrorresponse.New(f).Write(w)
}

// writeFaultAndDiscardBody writes the error response for a request whose body
// is too large and then reads a bounded part of the body. Many clients send the
// entire body before they read, and lose the response if the connection is
// reset while they send.
func writeFaultAndDiscardBody(w http.ResponseWriter, r *http.Request, resp rwerrorresponse.Response) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	resp.Write(w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}

// toFault returns the fault inside err. For an error without one, the outcome is
// Unknown, because nothing proves that the request did not run.
func toFault(err error) *rwfault.Fault {
	var f *rwfault.Fault
	if errors.As(err, &f) {
		return f
	}
	return rwfault.Wrap(rwcode.Internal, err).WithOutcome(rwoutcome.Unknown)
}

// singleHeader returns the value of a header that may occur at most once, or "".
func singleHeader(r *http.Request, name string) (string, error) {
	values := r.Header.Values(name)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", rwfault.New(rwcode.BadRequest, "repeated header "+name)
	}
}

func (g *Gate) authenticate(r *http.Request, view *rwsnapshot.Snapshot) (rwaccount.Account, error) {
	var none rwaccount.Account
	if view.Rev() == 0 {
		return none, rwfault.New(rwcode.NotReady, "no configuration yet")
	}
	text, err := singleHeader(r, "Authorization")
	if err != nil {
		return none, err
	}
	scheme, key, _ := strings.Cut(text, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return none, rwfault.New(rwcode.Unauthorized, "Authorization header has no bearer key")
	}
	account, ok := view.Authenticate(key)
	if !ok {
		return none, rwfault.New(rwcode.Unauthorized, "unknown key")
	}
	return account, nil
}

// readRequest checks a request's headers and reads its body. If it doesn't fail, the
// caller must close the memory of the body once the request has ended.
func (g *Gate) readRequest(w http.ResponseWriter, r *http.Request) (*rwrequest.Request, *rwbudget.Claim, error) {
	q, err := g.readHeaders(r)
	if err != nil {
		return nil, nil, err
	}
	if !g.pools.Allows(q.Pool, g.maxRequests()) {
		return nil, nil, poolFull(q.Pool)
	}
	body, memory, err := g.readBody(w, r)
	if err != nil {
		return nil, nil, err
	}
	q.Body = body
	q.ID = g.ID + "-" + strconv.FormatInt(g.sequence.Add(1), 10)
	// Error responses from here on have the identifier too, so that a caller's
	// report can be matched with the logs of upstreams.
	w.Header().Set("Redwing-Request", q.ID)
	return q, memory, nil
}

// readHeaders returns a request without its body and its identifier.
func (g *Gate) readHeaders(r *http.Request) (*rwrequest.Request, error) {
	arrived := g.Now()
	view := g.Snapshot()
	account, err := g.authenticate(r, view)
	if err != nil {
		return nil, err
	}
	name, err := singleHeader(r, "Redwing-Kind")
	if err != nil {
		return nil, err
	}
	kind, ok := view.Kind(name)
	switch {
	case name == "":
		return nil, rwfault.New(rwcode.UnknownKind, "header Redwing-Kind is missing")
	case !ok:
		return nil, rwfault.New(rwcode.UnknownKind, name)
	}
	q := &rwrequest.Request{
		Account:      account.Name,
		Kind:         kind.Name,
		Pool:         kind.Pool,
		Urgency:      kind.Urgency,
		Idempotent:   kind.Idempotent,
		KeyRetention: kind.RepeatWindow,
		Method:       r.Method,
		ContentType:  r.Header.Get("Content-Type"),
		Arrived:      arrived,
	}
	if err := parseOptionalHeaders(r, q); err != nil {
		return nil, err
	}
	return q, nil
}

// parseOptionalHeaders sets the fields of q that come from optional headers.
func parseOptionalHeaders(r *http.Request, q *rwrequest.Request) error {
	key, err := singleHeader(r, "Idempotency-Key")
	if err != nil {
		return err
	}
	if len(key) > maxKeyBytes {
		return rwfault.New(rwcode.BadRequest, "Idempotency-Key has more than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	q.IdempotencyKey = key
	text, err := singleHeader(r, "Redwing-Deadline")
	if err != nil {
		return err
	}
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return rwfault.New(rwcode.BadRequest, "Redwing-Deadline must be a number of milliseconds from 1 to "+
				strconv.FormatInt(maxDeadline.Milliseconds(), 10))
		}
		q.Deadline = q.Arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	text, err = singleHeader(r, "Redwing-Hint")
	if err != nil {
		return err
	}
	if text != "" {
		hint, err := strconv.ParseFloat(text, 64)
		if err != nil || !(hint > 0) || hint > maxHint {
			return rwfault.New(rwcode.BadRequest, "Redwing-Hint must be a positive number of tokens")
		}
		q.Hint = hint
	}
	return nil
}

// readBody reads the body, and returns the memory that it has. It enforces the limits on
// size, time and memory.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *rwbudget.Claim, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, nil, rwfault.New(rwcode.BodyTooLarge, strconv.Itoa(maxBodyBytes))
	}
	// In HTTP/1, net/http resets this deadline at the end of the body, but not
	// if the request has no body. In HTTP/2, the deadline has no effect after
	// the end of the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.BodyTimeout))
	memory := g.bodies.Open(time.Now(), "bodies", 0, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	var data []byte
	err := rwbody.ErrNoMemory
	if memory.Grow(time.Now(), g.streamMemory(r)) {
		data, err = rwbody.Read(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, memory)
	}
	if !memory.Pin() {
		err = rwbody.ErrNoMemory
	}
	if err != nil {
		memory.Close()
		return nil, nil, bodyFault(r, err)
	}
	return data, memory, nil
}

// streamMemory returns the memory that a request takes of Memory beside its body. Many
// streams share a connection, so that the bound of connections doesn't bound them.
func (g *Gate) streamMemory(r *http.Request) int64 {
	if g.Memory == nil || r.ProtoMajor < 2 {
		return 0
	}
	return streamBytes + int64(headerBytes(r))
}

// bodyFault returns the fault for an error of reading a body.
func bodyFault(r *http.Request, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, rwbody.ErrNoMemory):
		return rwfault.Wrap(rwcode.TooManyRequests, err)
	case errors.As(err, &tooLarge):
		return rwfault.New(rwcode.BodyTooLarge, strconv.Itoa(maxBodyBytes))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rwfault.Wrap(rwcode.SlowBody, err)
	case r.Context().Err() != nil, errors.Is(err, io.ErrUnexpectedEOF):
		return rwfault.Wrap(rwcode.CallerGone, err)
	default:
		return rwfault.Wrap(rwcode.BadRequest, err)
	}
}

// checkPool checks that the request's pool has upstreams of the right type.
func checkPool(view *rwsnapshot.Snapshot, q *rwrequest.Request) error {
	switch {
	case view.Serves(q.Pool, q.Engine):
		return nil
	case view.Serves(q.Pool, !q.Engine):
		return rwfault.New(rwcode.BadRequest, "kind "+q.Kind+" must be sent to another path")
	default:
		return rwfault.New(rwcode.NoUpstream, q.Pool)
	}
}

type chatBody struct {
	Model     *string           `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens *int              `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (b *chatBody) validate(q *rwrequest.Request) error {
	switch {
	case b.Model == nil:
		return rwfault.New(rwcode.BadRequest, "model is missing")
	case *b.Model != q.Pool:
		return rwfault.New(rwcode.UnknownPool, "kind "+q.Kind+" uses the model "+q.Pool+", not "+*b.Model)
	case len(b.Messages) == 0:
		return rwfault.New(rwcode.BadRequest, "messages are missing")
	case b.MaxTokens != nil && *b.MaxTokens < 1:
		return rwfault.New(rwcode.BadRequest, "max_tokens must be positive")
	case !q.Idempotent && q.IdempotencyKey != "":
		// Idempotency keys are checked for calls to plain services only. If
		// one were accepted here, a retry would run twice despite its key.
		return rwfault.New(rwcode.BadRequest, "an Idempotency-Key for a kind that is not idempotent is accepted on /v1/call only")
	default:
		return nil
	}
}

// hashMessage returns a hash that identifies a prompt prefix.
func hashMessage(message []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(message)
	return h.Sum64()
}

func (g *Gate) chat(w http.ResponseWriter, r *http.Request) error {
	q, memory, err := g.readRequest(w, r)
	if err != nil {
		return err
	}
	defer memory.Close()
	var body chatBody
	if err := json.Unmarshal(q.Body, &body); err != nil {
		return rwfault.Wrap(rwcode.BadRequest, err)
	}
	if err := body.validate(q); err != nil {
		return err
	}
	q.Engine, q.Stream = true, body.Stream
	q.PrefixHash = hashMessage(body.Messages[0])
	if err := checkPool(g.Snapshot(), q); err != nil {
		return err
	}
	ctx, stopDeadline := g.withDeadline(r.Context(), q)
	if q.Stream {
		return g.respondStream(ctx, w, q, stopDeadline)
	}
	return g.respondComplete(ctx, w, q, stopDeadline)
}

// withDeadline returns a context that ends at the request's deadline and a
// function that stops the deadline timer, to be called before the first byte is
// written. The function returns false if the deadline has passed.
func (g *Gate) withDeadline(ctx context.Context, q *rwrequest.Request) (context.Context, func() bool) {
	if q.Deadline.IsZero() {
		return ctx, func() bool { return true }
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(q.Deadline.Sub(g.Now()), func() {
		cancel(rwfault.New(rwcode.DeadlineExceeded, q.ID))
	})
	return ctx, timer.Stop
}

// eventWriter writes the chunks of a streamed response.
type eventWriter struct {
	gate         *Gate
	w            http.ResponseWriter
	controller   *http.ResponseController
	q            *rwrequest.Request
	stopDeadline func() bool
	started      bool
	deadlineSet  time.Time
	line         []byte
}

func (s *eventWriter) emit(c *rwstream.Chunk) error {
	if !s.started {
		if !s.stopDeadline() {
			return rwfault.New(rwcode.DeadlineExceeded, s.q.ID).WithOutcome(rwoutcome.Unknown)
		}
		s.started = true
		s.gate.closeIfDraining(s.w)
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	data := c.Raw
	if data == nil {
		var err error
		if data, err = json.Marshal(c); err != nil {
			return rwfault.Wrap(rwcode.Internal, err).WithOutcome(rwoutcome.Unknown)
		}
	}
	s.line = append(s.line[:0], "data: "...)
	s.line = append(s.line, data...)
	s.line = append(s.line, "\n\n"...)
	return s.write(s.line)
}

func (s *eventWriter) write(line []byte) error {
	if now := s.gate.Now(); now.Sub(s.deadlineSet) > writeDeadlineInterval {
		s.deadlineSet = now
		_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	_, err := s.w.Write(line)
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		return rwfault.Wrap(rwcode.CallerGone, err).WithOutcome(rwoutcome.Unknown)
	}
	return nil
}

func (g *Gate) respondStream(ctx context.Context, w http.ResponseWriter, q *rwrequest.Request, stopDeadline func() bool) error {
	s := &eventWriter{gate: g, w: w, controller: http.NewResponseController(w), q: q, stopDeadline: stopDeadline}
	err := g.runInPool(q.Pool, func() error { return g.RunInference(ctx, q, s.emit) })
	switch {
	case err == nil && s.started:
		_ = s.write([]byte("data: [DONE]\n\n"))
		return nil
	case err == nil:
		err = rwfault.New(rwcode.UpstreamTruncated, "empty response").WithOutcome(rwoutcome.Unknown)
	}
	if !s.started {
		return err
	}
	f := toFault(err)
	g.ReportFault(f)
	_ = s.write([]byte("event: error\ndata: " + string(rwerrorresponse.New(f).Body) + "\n\n"))
	// Aborts the connection (HTTP/2: the stream) without a regular end of the
	// body, so that clients that don't handle error events detect the fault too.
	panic(http.ErrAbortHandler)
}

type chatResponse struct {
	ID    string `json:"id"`
	Text  string `json:"text"`
	Usage int    `json:"usage"`
}

func (g *Gate) respondComplete(ctx context.Context, w http.ResponseWriter, q *rwrequest.Request, stopDeadline func() bool) error {
	memory := g.openResponse()
	defer memory.Close()
	response := chatResponse{ID: q.ID}
	text := textBuilder{text: &strings.Builder{}, memory: memory}
	err := g.runInPool(q.Pool, func() error {
		return g.RunInference(ctx, q, func(c *rwstream.Chunk) error {
			response.Usage++
			return text.add(c.Text)
		})
	})
	stopDeadline()
	if err != nil {
		return err
	}
	response.Text = text.text.String()
	encoding := int64(marshalCopies * len(response.Text))
	if !memory.Grow(time.Now(), encoding) {
		return rwdispatch.NoMemory(http.StatusOK)
	}
	data, err := json.Marshal(response)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err).WithOutcome(rwoutcome.Ran)
	}
	if !memory.Grow(time.Now(), int64(len(data))-encoding-int64(text.taken)) {
		return rwdispatch.NoMemory(http.StatusOK)
	}
	w.Header().Set("Content-Type", "application/json")
	g.writeResponse(w, http.StatusOK, data, memory)
	return nil
}

// openResponse returns a claim for a response whose caller doesn't get any of it yet.
func (g *Gate) openResponse() *rwbudget.Claim {
	memory := g.Memory.Open(time.Now(), "responses", rwdispatch.UncountedBytes, nil)
	memory.Pin()
	return memory
}

// textBuilder joins the text of a response within a budget.
type textBuilder struct {
	text   *strings.Builder
	memory *rwbudget.Claim
	// taken is the memory taken so far, the capacity of text.
	taken int
}

// add appends a part of the text. It fails if the text becomes too large or finds no
// memory.
func (t *textBuilder) add(s string) error {
	n := t.text.Len() + len(s)
	if n > maxResponseTextBytes {
		return rwfault.New(rwcode.UpstreamMalformed, "response too large").WithOutcome(rwoutcome.Unknown)
	}
	if n > t.taken {
		taken := min(max(n, 2*t.taken, firstTextBytes), maxResponseTextBytes)
		if !t.memory.Grow(time.Now(), int64(taken-t.taken)) {
			// The engine is still writing the response.
			return rwdispatch.NoMemory(http.StatusOK).WithOutcome(rwoutcome.Unknown)
		}
		// A used Builder grows by more than it is asked for.
		larger := &strings.Builder{}
		larger.Grow(taken)
		larger.WriteString(t.text.String())
		t.text, t.taken = larger, taken
	}
	t.text.WriteString(s)
	return nil
}

// writeResponse writes a complete response. It sets Content-Length, so that
// clients detect a truncated response. A caller that doesn't read loses the memory of
// the response to others, and with it its connection. The memory is not closed.
func (g *Gate) writeResponse(w http.ResponseWriter, status int, body []byte, memory *rwbudget.Claim) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	g.closeIfDraining(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if memory == nil {
		_, _ = w.Write(body)
		return
	}
	// The deadline must not be set after the handler has returned, when the connection
	// may have another request.
	var mu sync.Mutex
	written, lost := false, false
	memory.Unpin(time.Now(), func() {
		mu.Lock()
		defer mu.Unlock()
		if !written {
			lost = true
			// In HTTP/2, only a deadline in the past resets the stream at once.
			_ = controller.SetWriteDeadline(time.Unix(1, 0))
		}
	})
	for err := error(nil); err == nil && len(body) > 0; memory.Progress(time.Now()) {
		var n int
		n, err = w.Write(body[:min(len(body), writePartBytes)])
		body = body[n:]
	}
	mu.Lock()
	written = true
	mu.Unlock()
	if lost {
		g.ReportFault(rwfault.New(rwcode.CallerGone, "the caller doesn't read its response, and memory is short").WithOutcome(rwoutcome.Ran))
	}
}

// forwardedHeaders are the response headers of plain services that are forwarded
// to callers.
var forwardedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified", "Retry-After",
}

func (g *Gate) call(w http.ResponseWriter, r *http.Request) error {
	switch r.Method {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return rwfault.New(rwcode.BadRequest, "method "+r.Method)
	}
	q, bodyMemory, err := g.readRequest(w, r)
	if err != nil {
		return err
	}
	defer bodyMemory.Close()
	if r.PathValue("pool") != q.Pool {
		return rwfault.New(rwcode.UnknownPool, "kind "+q.Kind+" uses the pool "+q.Pool+", not "+r.PathValue("pool"))
	}
	q.Path = servicePath(r)
	if err := checkPool(g.Snapshot(), q); err != nil {
		return err
	}
	ctx, stopDeadline := g.withDeadline(r.Context(), q)
	var response *rwdispatch.Response
	err = g.runInPool(q.Pool, func() error {
		var err error
		response, err = g.RunCall(ctx, q)
		return err
	})
	stopDeadline()
	if err != nil {
		return err
	}
	memory := response.Memory
	if memory == nil {
		// A result of a call with a key, which the router keeps in any case.
		memory = g.openResponse()
	}
	defer memory.Close()
	if response.Memory == nil && !memory.Grow(time.Now(), int64(len(response.Body))) {
		return rwdispatch.NoMemory(response.Status)
	}
	for _, name := range forwardedHeaders {
		if v := response.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	g.writeResponse(w, response.Status, response.Body, memory)
	return nil
}

// servicePath returns the path after the pool, encoded as the caller sent it, with
// the query.
func servicePath(r *http.Request) string {
	const segments = 5 // "", "v1", "call", pool, rest
	parts := strings.SplitN(r.URL.EscapedPath(), "/", segments)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

type ticketResponse struct {
	Key string `json:"key"`
}

func (g *Gate) ticket(w http.ResponseWriter, r *http.Request) error {
	if _, err := g.authenticate(r, g.Snapshot()); err != nil {
		return err
	}
	if g.IssueTicket == nil {
		return rwfault.New(rwcode.NotReady, "tickets")
	}
	key, err := g.IssueTicket()
	if err != nil {
		return err
	}
	data, err := json.Marshal(ticketResponse{Key: key})
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	w.Header().Set("Content-Type", "application/json")
	g.writeResponse(w, http.StatusOK, data, nil)
	return nil
}
