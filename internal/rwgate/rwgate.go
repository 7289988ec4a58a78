// Package rwgate is the front end for callers: it authenticates them, checks
// their requests against limits and writes answers and errors.
package rwgate

import (
	"bytes"
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
	"redwingworks.example/internal/rwcode"
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
	// maxDiscardBytes and discardTimeout bound what is read of a body that is
	// too large, after its refusal.
	maxDiscardBytes = 16 << 20
	discardTimeout  = 5 * time.Second
	// maxWholeBytes bounds the text of an answer that is not streamed, which
	// is held in memory until it is whole.
	maxWholeBytes = 8 << 20
)

// Limits of the process, used where a field of Gate is zero. A node carries
// 255 streams on average; the defaults leave room for a flood that waits.
const (
	defaultConns       = 4096
	defaultRequests    = 8192
	defaultBodies      = 64 << 20
	defaultBodyTimeout = 15 * time.Second
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 75 * time.Second
	pingTimeout   = 30 * time.Second
	// hardHeaderBytes is where net/http itself refuses a header, without a
	// typed error; it bounds memory before the check of maxHeaderBytes.
	hardHeaderBytes = 64 << 10
	// maxStreams is the number of concurrent requests on one HTTP/2
	// connection. A balancer may use a single connection for a router.
	maxStreams = 1024
	// hardConns is how many times the limit of connections is accepted at
	// all. Those above the limit get a typed error, those above hardConns
	// times the limit are closed.
	hardConns = 2
	// writeTimeout bounds the wait for a caller that reads slowly, which
	// holds a slot of an engine. It is renewed each writeRenewal.
	writeTimeout = 30 * time.Second
	writeRenewal = 5 * time.Second
)

// Gate serves callers over HTTP. Its fields are set before the first request.
type Gate struct {
	// ID starts the identifiers of requests: router name and incarnation.
	ID string
	// Snapshot returns the configuration in force.
	Snapshot func() *rwsnapshot.Snapshot
	// RunInference runs model work, Do a call to a plain service. Both return soon
	// after their context ends; their faults have true outcomes.
	RunInference func(context.Context, *rwrequest.Request, func(*rwstream.Chunk) error) error
	RunCall      func(context.Context, *rwrequest.Request) (*rwdispatch.Response, error)
	// IssueTicket issues a key for a non-idempotent call. It may be nil.
	IssueTicket func() (string, error)
	// Ready reports whether the balancer may send requests.
	Ready func() bool
	// Draining reports whether new requests are refused because the process
	// is about to end. It may be nil.
	Draining func() bool
	// ReportFault counts and logs a request that ended with a fault.
	ReportFault func(*rwfault.Fault)
	// Now is the clock.
	Now func() time.Time
	// TLS is used by Server; nil for HTTP without TLS.
	TLS *tls.Config
	// MaxConns, MaxRequests and MaxBodies (bytes) bound what all callers use
	// at one time; 0 for the defaults.
	MaxConns, MaxRequests, MaxTotalBodyBytes int
	// BodyTimeout bounds the wait for a request's body; 0 for the default.
	BodyTimeout time.Duration

	sequence atomic.Int64
	once     sync.Once
	conns    *rwlimit.Limit
	requests *rwlimit.Limit
	bodies   *rwlimit.Limit
}

func (g *Gate) prepare() {
	g.once.Do(func() {
		g.conns = limit(g.MaxConns, defaultConns)
		g.requests = limit(g.MaxRequests, defaultRequests)
		g.bodies = limit(g.MaxTotalBodyBytes, defaultBodies)
		if g.BodyTimeout == 0 {
			g.BodyTimeout = defaultBodyTimeout
		}
	})
}

func limit(n, fallback int) *rwlimit.Limit {
	if n == 0 {
		n = fallback
	}
	return rwlimit.New(int64(n))
}

// Server returns an HTTP server for callers: HTTP/1.1 and HTTP/2, with TLS if
// the field TLS is set (use ServeTLS with empty file names) and without it
// otherwise.
func (g *Gate) Server() *http.Server {
	g.prepare()
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(g.TLS == nil)
	return &http.Server{
		Handler:           g.Handler(),
		TLSConfig:         g.TLS,
		Protocols:         &p,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingTimeout},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    hardHeaderBytes,
		ConnContext:       g.connect,
		ConnState:         g.disconnect,
	}
}

type connKey struct{}

// conn is what the gate knows of a caller's connection.
type conn struct {
	// within is whether the connection was within the limit.
	within bool
}

// connect is called for each accepted connection before ConnState is.
func (g *Gate) connect(ctx context.Context, c net.Conn) context.Context {
	state := conn{within: g.conns.TryAcquire(1)}
	if !state.within {
		// The connection is open all the same, until it got its error.
		g.conns.Release(-1)
	}
	if g.conns.InUse() > hardConns*g.maxConns() {
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

func (g *Gate) disconnect(_ net.Conn, s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		g.conns.Release(1)
	}
}

// Handler returns the HTTP handler for callers.
func (g *Gate) Handler() http.Handler {
	g.prepare()
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", g.guard(g.chat))
	m.HandleFunc("/v1/call/{pool}/{path...}", g.guard(g.call))
	m.HandleFunc("POST /v1/tickets", g.guard(g.ticket))
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", g.ready)
	m.HandleFunc("/", g.guard(func(_ http.ResponseWriter, r *http.Request) error {
		return rwfault.New(rwcode.UnknownPath, r.Method+" "+r.URL.Path)
	}))
	return m
}

func (g *Gate) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() || g.draining() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gate) draining() bool { return g.Draining != nil && g.Draining() }

// guard checks the limits of the process, and writes the error of a request
// to which no byte of an answer was written.
func (g *Gate) guard(serve func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := g.admit(r)
		if err == nil {
			defer g.requests.Release(1)
			err = serve(w, r)
		}
		if err != nil {
			g.fail(w, r, err)
		}
	}
}

func (g *Gate) admit(r *http.Request) error {
	if c, ok := r.Context().Value(connKey{}).(conn); ok && !c.within {
		return rwfault.New(rwcode.TooManyConnections, "limit of the router")
	}
	if g.draining() {
		return rwfault.New(rwcode.Draining, "the router is about to end")
	}
	if headerBytes(r) > maxHeaderBytes {
		return rwfault.New(rwcode.HeaderTooLarge, strconv.Itoa(maxHeaderBytes))
	}
	if !g.requests.TryAcquire(1) {
		return rwfault.New(rwcode.TooManyRequests, "limit of the router")
	}
	return nil
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

// fail answers a request that failed before its answer began.
func (g *Gate) fail(w http.ResponseWriter, r *http.Request, err error) {
	f := fault(err)
	g.ReportFault(f)
	switch f.Code {
	case rwcode.Draining, rwcode.TooManyConnections, rwcode.SlowBody, rwcode.BodyTooLarge:
		w.Header().Set("Connection", "close")
	}
	if f.Code == rwcode.BodyTooLarge && r.ProtoMajor == 1 {
		discard(w, r, rwerrorresponse.New(f))
		return
	}
	rwerrorresponse.New(f).Write(w)
}

// discard answers a request whose body is too large and then reads on for a
// while. Many clients send the whole body before they read, and an answer is
// lost when the connection is reset meanwhile.
func discard(w http.ResponseWriter, r *http.Request, refusal rwerrorresponse.Response) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	refusal.Write(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
}

// fault returns the fault inside err. An error without one has an unknown
// outcome, because nothing says that the request did not run.
func fault(err error) *rwfault.Fault {
	var f *rwfault.Fault
	if errors.As(err, &f) {
		return f
	}
	return rwfault.Wrap(rwcode.Internal, err).WithOutcome(rwoutcome.Unknown)
}

// single returns the value of a header that may occur once.
func single(r *http.Request, name string) (string, error) {
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
	text, err := single(r, "Authorization")
	if err != nil {
		return none, err
	}
	scheme, key, _ := strings.Cut(text, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return none, rwfault.New(rwcode.Unauthorized, "no bearer key")
	}
	account, ok := view.Authenticate(key)
	if !ok {
		return none, rwfault.New(rwcode.Unauthorized, "unknown key")
	}
	return account, nil
}

// accept checks a request's header and reads its body. The caller of accept
// returns the body's bytes to the limit.
func (g *Gate) accept(w http.ResponseWriter, r *http.Request) (*rwrequest.Request, error) {
	arrived := g.Now()
	view := g.Snapshot()
	account, err := g.authenticate(r, view)
	if err != nil {
		return nil, err
	}
	name, err := single(r, "Redwing-Kind")
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
	if err := options(r, q); err != nil {
		return nil, err
	}
	if q.Body, err = g.body(w, r); err != nil {
		return nil, err
	}
	q.ID = g.ID + "-" + strconv.FormatInt(g.sequence.Add(1), 10)
	// Refusals carry the identifier too, so that a caller's report can be
	// compared with the upstreams' logs.
	w.Header().Set("Redwing-Request", q.ID)
	return q, nil
}

// options reads the optional headers.
func options(r *http.Request, q *rwrequest.Request) error {
	key, err := single(r, "Idempotency-Key")
	if err != nil {
		return err
	}
	if len(key) > maxKeyBytes {
		return rwfault.New(rwcode.BadRequest, "Idempotency-Key has more than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	q.IdempotencyKey = key
	text, err := single(r, "Redwing-Deadline")
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
	text, err = single(r, "Redwing-Hint")
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

// body reads the body within the limits of size, time and memory.
func (g *Gate) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, rwfault.New(rwcode.BodyTooLarge, strconv.Itoa(maxBodyBytes))
	}
	// The size of a chunked body is not known before it was read.
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = maxBodyBytes
	}
	if !g.bodies.TryAcquire(reserved) {
		return nil, rwfault.New(rwcode.TooManyRequests, "limit of the router for bodies")
	}
	// net/http lifts this deadline at the end of the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.BodyTimeout))
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		g.bodies.Release(reserved)
		return nil, unread(r, err)
	}
	g.bodies.Release(reserved - int64(b.Len()))
	return b.Bytes(), nil
}

// unread names the reason why a body could not be read.
func unread(r *http.Request, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
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

// route checks that upstreams of the right type serve the request's pool.
func route(view *rwsnapshot.Snapshot, q *rwrequest.Request) error {
	switch {
	case view.Serves(q.Pool, q.Engine):
		return nil
	case view.Serves(q.Pool, !q.Engine):
		return rwfault.New(rwcode.BadRequest, "kind "+q.Kind+" is served on another path")
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

func (b *chatBody) check(q *rwrequest.Request) error {
	switch {
	case b.Model == nil:
		return rwfault.New(rwcode.BadRequest, "model is missing")
	case *b.Model != q.Pool:
		return rwfault.New(rwcode.UnknownPool, "kind "+q.Kind+" has the model "+q.Pool+", not "+*b.Model)
	case len(b.Messages) == 0:
		return rwfault.New(rwcode.BadRequest, "messages are missing")
	case b.MaxTokens != nil && *b.MaxTokens < 1:
		return rwfault.New(rwcode.BadRequest, "max_tokens must be positive")
	case !q.Idempotent && q.IdempotencyKey != "":
		// Keys are checked for calls to plain services only. Accepted
		// here, a repetition would run twice in spite of its key.
		return rwfault.New(rwcode.BadRequest, "a kind that is not idempotent takes an Idempotency-Key on /v1/call only")
	default:
		return nil
	}
}

// prefix identifies a first message.
func prefix(message []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(message)
	return h.Sum64()
}

func (g *Gate) chat(w http.ResponseWriter, r *http.Request) error {
	q, err := g.accept(w, r)
	if err != nil {
		return err
	}
	defer g.bodies.Release(int64(len(q.Body)))
	var body chatBody
	if err := json.Unmarshal(q.Body, &body); err != nil {
		return rwfault.Wrap(rwcode.BadRequest, err)
	}
	if err := body.check(q); err != nil {
		return err
	}
	q.Engine, q.Stream = true, body.Stream
	q.PrefixHash = prefix(body.Messages[0])
	if err := route(g.Snapshot(), q); err != nil {
		return err
	}
	ctx, started := g.wait(r.Context(), q)
	if q.Stream {
		return g.stream(ctx, w, q, started)
	}
	return g.whole(ctx, w, q, started)
}

// wait returns a context that ends at the request's deadline, and a function
// that ends the wait for the first byte. It returns false if the deadline was
// first.
func (g *Gate) wait(ctx context.Context, q *rwrequest.Request) (context.Context, func() bool) {
	if q.Deadline.IsZero() {
		return ctx, func() bool { return true }
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(q.Deadline.Sub(g.Now()), func() {
		cancel(rwfault.New(rwcode.DeadlineExceeded, q.ID))
	})
	return ctx, timer.Stop
}

// sink writes the chunks of a streaming answer.
type sink struct {
	gate    *Gate
	w       http.ResponseWriter
	control *http.ResponseController
	q       *rwrequest.Request
	first   func() bool
	started bool
	renewed time.Time
	line    []byte
}

func (s *sink) emit(c *rwstream.Chunk) error {
	if !s.started {
		if !s.first() {
			return rwfault.New(rwcode.DeadlineExceeded, s.q.ID).WithOutcome(rwoutcome.Unknown)
		}
		s.started = true
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

func (s *sink) write(line []byte) error {
	if now := s.gate.Now(); now.Sub(s.renewed) > writeRenewal {
		s.renewed = now
		_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	_, err := s.w.Write(line)
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		return rwfault.Wrap(rwcode.CallerGone, err).WithOutcome(rwoutcome.Unknown)
	}
	return nil
}

func (g *Gate) stream(ctx context.Context, w http.ResponseWriter, q *rwrequest.Request, started func() bool) error {
	s := &sink{gate: g, w: w, control: http.NewResponseController(w), q: q, first: started}
	err := g.RunInference(ctx, q, s.emit)
	switch {
	case err == nil && s.started:
		_ = s.write([]byte("data: [DONE]\n\n"))
		return nil
	case err == nil:
		err = rwfault.New(rwcode.UpstreamTruncated, "empty answer").WithOutcome(rwoutcome.Unknown)
	}
	if !s.started {
		return err
	}
	f := fault(err)
	g.ReportFault(f)
	_ = s.write([]byte("event: error\ndata: " + string(rwerrorresponse.New(f).Body) + "\n\n"))
	// Ends the connection (HTTP/2: the stream) without the mark of a whole
	// body, so that a client that knows no error events sees the fault too.
	panic(http.ErrAbortHandler)
}

type wholeAnswer struct {
	ID    string `json:"id"`
	Text  string `json:"text"`
	Usage int    `json:"usage"`
}

func (g *Gate) whole(ctx context.Context, w http.ResponseWriter, q *rwrequest.Request, started func() bool) error {
	a := wholeAnswer{ID: q.ID}
	var text strings.Builder
	err := g.RunInference(ctx, q, func(c *rwstream.Chunk) error {
		if text.Len()+len(c.Text) > maxWholeBytes {
			return rwfault.New(rwcode.UpstreamMalformed, "answer too large").WithOutcome(rwoutcome.Unknown)
		}
		text.WriteString(c.Text)
		a.Usage++
		return nil
	})
	started()
	if err != nil {
		return err
	}
	a.Text = text.String()
	data, err := json.Marshal(a)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err).WithOutcome(rwoutcome.Ran)
	}
	w.Header().Set("Content-Type", "application/json")
	g.send(w, http.StatusOK, data)
	return nil
}

// send writes a whole answer. Its length is set, so that a part of it never
// looks whole.
func (g *Gate) send(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// answerHeaders are the headers of a plain service's answer that callers get.
var answerHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified", "Retry-After",
}

func (g *Gate) call(w http.ResponseWriter, r *http.Request) error {
	switch r.Method {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return rwfault.New(rwcode.BadRequest, "method "+r.Method)
	}
	q, err := g.accept(w, r)
	if err != nil {
		return err
	}
	defer g.bodies.Release(int64(len(q.Body)))
	if r.PathValue("pool") != q.Pool {
		return rwfault.New(rwcode.UnknownPool, "kind "+q.Kind+" has the pool "+q.Pool+", not "+r.PathValue("pool"))
	}
	q.Path = servicePath(r)
	if err := route(g.Snapshot(), q); err != nil {
		return err
	}
	ctx, started := g.wait(r.Context(), q)
	a, err := g.RunCall(ctx, q)
	started()
	if err != nil {
		return err
	}
	for _, name := range answerHeaders {
		if v := a.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	g.send(w, a.Status, a.Body)
	return nil
}

// servicePath returns the path behind the pool as the caller encoded it, with
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

type ticketAnswer struct {
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
	data, err := json.Marshal(ticketAnswer{Key: key})
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	w.Header().Set("Content-Type", "application/json")
	g.send(w, http.StatusOK, data)
	return nil
}
