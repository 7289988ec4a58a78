// Package rwpeer connects routers by authenticated JSON-RPC links. Each ordered
// pair of routers has one connection for control messages and, when needed, one
// for data, so that a large request body can't delay a heartbeat.
package rwpeer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwframe"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
)

const (
	version         = 1
	maxMessage      = 1200 << 10
	nonceBytes      = 16
	dialTimeout     = 500 * time.Millisecond
	helloTimeout    = time.Second
	writeTimeout    = 2 * time.Second
	redialDelay     = 200 * time.Millisecond
	notifyQueueSize = 256
	// acceptRetryDelay is the delay after a failed attempt to accept a link.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler handles a message of another router. The result of a notification is
// ignored. The notifications of one link are handled in order, calls
// concurrently.
type Handler = func(ctx context.Context, from rwidentity.Identity, params json.RawMessage) (any, error)

// Reply is a result of a Handler with a function that is called once the result
// was written to the link, can't be written or isn't wanted.
type Reply struct {
	Result  any
	Written func()
}

// Typed returns a handler that decodes the parameters of a message. Parameters
// that can't be decoded fail with PeerMalformed.
func Typed[P any](h func(ctx context.Context, from rwidentity.Identity, params P) (any, error)) Handler {
	return func(ctx context.Context, from rwidentity.Identity, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, rwfault.Wrap(rwcode.PeerMalformed, err)
		}
		return h(ctx, from, p)
	}
}

// Peers is the set of links of a router. Handlers are registered before Serve
// and before the first Call.
type Peers struct {
	// SkipCompression reports whether to send messages uncompressed. It may be
	// nil and must be set before Serve.
	SkipCompression func() bool
	// Dial opens a connection to a peer. It must be set before Serve and before
	// the first Call; New sets it to the DialContext of a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	self     rwidentity.Identity
	key      []byte
	tls      *tls.Config
	log      zerolog.Logger
	metrics  *rwmetric.Metrics
	handlers map[string]Handler

	mu      sync.Mutex
	control map[string]*link
	data    map[string]*link
	inbound map[net.Conn]struct{}
	closed  bool
}

// link is an outgoing connection that is opened on demand.
type link struct {
	peers *Peers
	addr  string
	data  bool
	queue chan notification

	// queueMu makes looking for a queued notification and clearing sending one
	// step.
	queueMu sync.Mutex
	// sending reports whether run is in progress, which returns when the queue is
	// empty.
	sending bool

	// opening has a value while the connection is being opened. The calls that wait
	// for it end with their own time limits.
	opening chan struct{}

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// peerInc is the incarnation at the other end of conn.
	peerInc         int64
	lastDialFailure time.Time
}

type notification struct {
	method string
	params any
}

type hello struct {
	Ver   int    `json:"ver"`
	Nonce string `json:"nonce"`
	Mac   string `json:"mac,omitempty"`
	// Data reports whether the link carries request bodies. Its bytes don't
	// count as control traffic in either direction.
	Data bool `json:"data,omitempty"`
	rwidentity.Identity
}

type proof struct {
	Mac string `json:"mac"`
}

// New returns the links of a router. The TLS configuration may be nil; the key
// authenticates both ends in any case.
func New(self rwidentity.Identity, key string, tlsConfig *tls.Config, log zerolog.Logger, metrics *rwmetric.Metrics) *Peers {
	return &Peers{
		Dial:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		self:     self,
		key:      []byte(key),
		tls:      tlsConfig,
		log:      log,
		metrics:  metrics,
		handlers: map[string]Handler{},
		control:  map[string]*link{},
		data:     map[string]*link{},
		inbound:  map[net.Conn]struct{}{},
	}
}

// Self returns this router's identity.
func (p *Peers) Self() rwidentity.Identity { return p.self }

// Handle registers the handler of a method.
func (p *Peers) Handle(method string, h Handler) { p.handlers[method] = h }

// Call sends a control message and waits for the answer. It fails with
// PeerUnreachable, with the code of a failed handshake, or with the code that
// the peer's handler returned.
func (p *Peers) Call(ctx context.Context, addr, method string, params, result any) error {
	return p.linkTo(false, addr).call(ctx, method, params, result)
}

// CallData is like Call for messages with request bodies, which are large and
// don't count as control traffic. It uses the data connection.
func (p *Peers) CallData(ctx context.Context, addr, method string, params, result any) error {
	return p.linkTo(true, addr).call(ctx, method, params, result)
}

// OpenData opens the data connection to a peer if it is not open, so that a
// later CallData sends at once. It fails like Call.
func (p *Peers) OpenData(ctx context.Context, addr string) error {
	_, err := p.linkTo(true, addr).open(ctx)
	return err
}

// Notify queues a control message without waiting. Messages to an unreachable
// peer or beyond notifyQueueSize waiting ones are dropped and counted, so
// senders have to resend important ones.
func (p *Peers) Notify(addr, method string, params any) {
	if !p.linkTo(false, addr).enqueue(notification{method, params}) {
		p.metrics.Add("peer_messages_dropped", 1)
	}
}

// CloseControl closes the outgoing control connection to a peer, so that the
// next message opens a new one. A connection to a VM that no longer runs would
// otherwise buffer messages until a write times out.
func (p *Peers) CloseControl(addr string) {
	p.mu.Lock()
	l := p.control[addr]
	p.mu.Unlock()
	if l != nil {
		l.closeConn(nil)
	}
}

// CloseIncarnation closes the outgoing connections to an incarnation of a peer
// that has ended, including the data connection: calls in progress would
// otherwise wait for their timeouts. A data connection to a later incarnation
// at the same address stays open, since an aborted call has an unknown outcome;
// the control connection to the address is closed in any case.
func (p *Peers) CloseIncarnation(ended rwidentity.Identity) {
	p.CloseControl(ended.Addr)
	p.mu.Lock()
	l := p.data[ended.Addr]
	p.mu.Unlock()
	if l != nil {
		l.closeUpTo(ended.Inc)
	}
}

func (p *Peers) linkTo(data bool, addr string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.control
	if data {
		set = p.data
	}
	l := set[addr]
	if l == nil {
		l = &link{peers: p, addr: addr, data: data, queue: make(chan notification, notifyQueueSize), opening: make(chan struct{}, 1)}
		set[addr] = l
	}
	return l
}

// enqueue queues a notification and reports false if the queue is full.
func (l *link) enqueue(n notification) bool {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	select {
	case l.queue <- n:
	default:
		return false
	}
	if !l.sending {
		l.sending = true
		go l.run()
	}
	return true
}

// run sends the queued notifications.
func (l *link) run() {
	for {
		n, ok := l.next()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), helloTimeout+dialTimeout)
		conn, err := l.open(ctx)
		if err == nil {
			l.peers.metrics.Add("peer_sent_"+n.method, 1)
			err = conn.Notify(ctx, n.method, n.params)
		}
		cancel()
		if err != nil {
			l.peers.metrics.Add("peer_messages_dropped", 1)
			l.peers.logOversize(n.method, err)
			l.closeConn(conn)
		}
	}
}

// next takes the next notification from the queue. It reports false if there is
// none; run has to return then.
func (l *link) next() (notification, bool) {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	select {
	case n := <-l.queue:
		return n, true
	default:
		l.sending = false
		return notification{}, false
	}
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	conn, err := l.open(ctx)
	if err != nil {
		return err
	}
	l.peers.metrics.Add("peer_sent_"+method, 1)
	err = conn.Call(ctx, method, params, result)
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return rwfault.New(rwcode.Parse(answered.Message), method)
	}
	if err != nil {
		l.peers.logOversize(method, err)
		if ctx.Err() == nil {
			l.closeConn(conn)
		}
		return rwfault.Wrap(rwcode.PeerUnreachable, err).WithDetail(method)
	}
	return nil
}

// open returns the connection and opens it if there is none. For redialDelay
// after a failed attempt it fails at once, so that messages to a dead peer cost
// little.
func (l *link) open(ctx context.Context) (*jsonrpc2.Conn, error) {
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	select {
	case l.opening <- struct{}{}:
	case <-ctx.Done():
		return nil, rwfault.Wrap(rwcode.PeerUnreachable, ctx.Err())
	}
	defer func() { <-l.opening }()
	l.mu.Lock()
	conn, failed := l.conn, l.lastDialFailure
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if time.Since(failed) < redialDelay {
		return nil, rwfault.New(rwcode.PeerUnreachable, l.addr)
	}
	conn, inc, err := l.dial(ctx)
	if err != nil {
		l.mu.Lock()
		l.lastDialFailure = time.Now()
		l.mu.Unlock()
		return nil, err
	}
	if !l.setConn(conn, inc) {
		_ = conn.Close()
		return nil, rwfault.New(rwcode.PeerUnreachable, l.addr)
	}
	go func() {
		<-conn.DisconnectNotify()
		if l.closeConn(conn) {
			rwlog.Warn(&l.peers.log, rwlog.PeerLost, rwfault.New(rwcode.PeerUnreachable, l.addr)).Send()
		}
	}()
	return conn, nil
}

// current returns the connection, or nil if there is none.
func (l *link) current() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// setConn sets the connection to an incarnation of the peer. It reports false if the
// links were closed while it was opened.
func (l *link) setConn(conn *jsonrpc2.Conn, inc int64) bool {
	l.peers.mu.Lock()
	defer l.peers.mu.Unlock()
	if l.peers.closed {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.peerInc = conn, inc
	return true
}

// closeConn closes the connection if it is still the given one; nil means any.
// It reports whether a connection was closed.
func (l *link) closeConn(conn *jsonrpc2.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || (conn != nil && l.conn != conn) {
		return false
	}
	_ = l.conn.Close()
	l.conn = nil
	return true
}

// closeUpTo closes the connection if it leads to the given incarnation or an
// earlier one.
func (l *link) closeUpTo(inc int64) {
	l.mu.Lock()
	conn := l.conn
	late := l.peerInc > inc
	l.mu.Unlock()
	if conn != nil && !late {
		l.closeConn(conn)
	}
}

func (p *Peers) codec() *rwframe.Codec {
	c := rwframe.New(maxMessage)
	c.SkipCompression = p.SkipCompression
	return c
}

// dial opens a connection and returns it with the peer's incarnation.
func (l *link) dial(ctx context.Context) (*jsonrpc2.Conn, int64, error) {
	p := l.peers
	raw, err := p.Dial(ctx, "tcp", l.addr)
	if err != nil {
		return nil, 0, rwfault.Wrap(rwcode.PeerUnreachable, err)
	}
	if p.tls != nil {
		raw = tls.Client(raw, p.tls)
	}
	stream := jsonrpc2.NewBufferedStream(&countingConn{Conn: raw, metrics: p.metrics, counter: byteCounter(l.data)}, p.codec())
	conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(rejectRequest), discardLog)
	inc, err := p.handshake(ctx, conn, l.data)
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	return conn, inc, nil
}

// discardLog keeps the library from writing plain text to standard error, which
// must contain only log events. A lost link is logged as event 501.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: rwcode.PeerMalformed.String()}
}

// handshake authenticates both ends: each proves that it has the key by a MAC of
// the other's nonce. It returns the peer's incarnation.
func (p *Peers) handshake(ctx context.Context, conn *jsonrpc2.Conn, data bool) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	mine := hello{Ver: version, Nonce: newNonce(), Data: data, Identity: p.self}
	var theirs hello
	if err := conn.Call(ctx, "hello", mine, &theirs); err != nil {
		return 0, rwfault.Wrap(rwcode.PeerUnreachable, err)
	}
	if theirs.Ver != version {
		return 0, p.rejectPeer(rwcode.PeerVersion, theirs.Name)
	}
	if !hmac.Equal([]byte(theirs.Mac), []byte(p.mac("server", mine.Nonce, theirs.Name))) {
		return 0, p.rejectPeer(rwcode.PeerKey, theirs.Name)
	}
	mac := p.mac("client", theirs.Nonce, p.self.Name)
	if err := conn.Call(ctx, "prove", proof{Mac: mac}, nil); err != nil {
		return 0, rwfault.Wrap(rwcode.PeerUnreachable, err)
	}
	return theirs.Inc, nil
}

func (p *Peers) rejectPeer(c rwcode.Code, name string) error {
	p.metrics.Refused(c)
	f := rwfault.New(c, name)
	rwlog.Warn(&p.log, rwlog.PeerRefused, f).Send()
	return f
}

func (p *Peers) mac(role, nonce, name string) string {
	h := hmac.New(sha256.New, p.key)
	for _, s := range []string{role, nonce, name} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Serve accepts links until the context ends.
func (p *Peers) Serve(ctx context.Context, l net.Listener) error {
	if p.tls != nil {
		l = tls.NewListener(l, p.tls)
	}
	stop := context.AfterFunc(ctx, func() { p.close(l) })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return rwfault.Wrap(rwcode.Internal, err)
		}
		if err != nil {
			// Temporary errors such as a lack of file descriptors must not
			// end the router, as they once did during a flood of callers.
			p.metrics.Add("peer_accept_failures", 1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		p.accept(conn)
	}
}

func (p *Peers) accept(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close()
		return
	}
	p.inbound[conn] = struct{}{}
	out := &countingConn{Conn: conn, metrics: p.metrics, counter: byteCounter(false)}
	s := &session{peers: p, out: out}
	stream := jsonrpc2.NewBufferedStream(out, p.codec())
	rpc := jsonrpc2.NewConn(context.Background(), stream, s, discardLog)
	timer := time.AfterFunc(helloTimeout, func() {
		if !s.isAuthenticated() {
			_ = rpc.Close()
		}
	})
	go func() {
		<-rpc.DisconnectNotify()
		timer.Stop()
		p.mu.Lock()
		delete(p.inbound, conn)
		p.mu.Unlock()
	}()
}

func (p *Peers) close(l net.Listener) {
	_ = l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.inbound {
		_ = c.Close()
	}
	for _, set := range []map[string]*link{p.control, p.data} {
		for _, l := range set {
			go l.closeConn(nil)
		}
	}
}

// session is the accepting end of a link.
type session struct {
	peers *Peers
	// out's counter changes only in hello, which a peer sends once, before any
	// handler has answered. A second hello is not refused.
	out *countingConn

	mu            sync.Mutex
	from          rwidentity.Identity
	nonce         string
	authenticated bool
}

func (s *session) isAuthenticated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.authenticated
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch {
	case req.Method == "hello":
		s.hello(ctx, conn, req)
	case req.Method == "prove":
		s.prove(ctx, conn, req)
	case !s.isAuthenticated():
		_ = conn.Close()
	case req.Notif:
		if result, _ := s.answer(ctx, req); result != nil {
			_, written := unwrap(result)
			written()
		}
	default:
		go s.reply(ctx, conn, req)
	}
}

func (s *session) hello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	p := s.peers
	var h hello
	if req.Params == nil || json.Unmarshal(*req.Params, &h) != nil || h.Ver != version {
		_ = p.rejectPeer(rwcode.PeerVersion, h.Name)
		_ = conn.Close()
		return
	}
	s.out.counter = byteCounter(h.Data)
	s.mu.Lock()
	s.from, s.nonce, s.authenticated = h.Identity, newNonce(), false
	answer := hello{Ver: version, Nonce: s.nonce, Mac: p.mac("server", h.Nonce, p.self.Name), Identity: p.self}
	s.mu.Unlock()
	_ = conn.Reply(ctx, req.ID, answer)
}

func (s *session) prove(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	p := s.peers
	var m proof
	if req.Params != nil {
		_ = json.Unmarshal(*req.Params, &m)
	}
	s.mu.Lock()
	want := p.mac("client", s.nonce, s.from.Name)
	s.authenticated = s.nonce != "" && hmac.Equal([]byte(m.Mac), []byte(want))
	ok, name := s.authenticated, s.from.Name
	s.mu.Unlock()
	if !ok {
		_ = p.rejectPeer(rwcode.PeerKey, name)
		_ = conn.Close()
		return
	}
	_ = conn.Reply(ctx, req.ID, true)
}

func (s *session) answer(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	h := s.peers.handlers[req.Method]
	if h == nil {
		return nil, rwfault.New(rwcode.PeerMalformed, req.Method)
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := h(ctx, s.from, params)
	if rwfault.Is(err, rwcode.PeerMalformed) {
		s.peers.metrics.Refused(rwcode.PeerMalformed)
	}
	return result, err
}

func (s *session) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := s.answer(ctx, req)
	result, written := unwrap(result)
	defer written()
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInternalError,
			Message: rwfault.From(err).Code.String(),
		})
		return
	}
	if err := conn.Reply(ctx, req.ID, result); s.peers.logOversize(req.Method, err) {
		// Otherwise the caller waits for its timeout.
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: rwcode.PeerSize.String()})
	}
}

// logOversize logs a message that wasn't sent because it is too large, and reports
// whether the error says so.
func (p *Peers) logOversize(method string, err error) bool {
	if !rwfault.Is(err, rwcode.PeerSize) {
		return false
	}
	p.metrics.Refused(rwcode.PeerSize)
	rwlog.Warn(&p.log, rwlog.PeerMessageTooLarge, err).Str("method", method).Send()
	return true
}

// unwrap returns the result to write, and the function to call afterwards.
func unwrap(result any) (any, func()) {
	if r, ok := result.(Reply); ok {
		return r.Result, r.Written
	}
	return result, func() {}
}

func byteCounter(data bool) string {
	if data {
		return "peer_data_bytes_sent"
	}
	return "peer_bytes_sent"
}

// countingConn counts the sent bytes and sets a deadline for each write.
type countingConn struct {
	net.Conn
	metrics *rwmetric.Metrics
	counter string
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.metrics.Add(c.counter, int64(n))
	return n, err
}
