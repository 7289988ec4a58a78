// Package rwconn is a pool of connections to upstreams, each of which carries
// one request at a time. The transport of net/http is not used because it
// retries some requests by itself and doesn't report whether any byte of a
// request was sent.
package rwconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
)

const (
	// dialTimeout bounds opening a connection; round trips between zones take
	// milliseconds.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged: a connection
	// can stop delivering without a reset.
	ackTimeout        = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// doesn't state its idle timeout.
	defaultIdleTimeout = 800 * time.Millisecond
	// idleMargin is subtracted from the upstream's idle timeout to allow for
	// the request's transit time and the upstream's coarse clock.
	idleMargin = 700 * time.Millisecond
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 128
	// maxStrayResponses is how many responses to earlier requests are skipped.
	maxStrayResponses = 2
	// maxStrayBytes bounds the bodies of skipped responses.
	maxStrayBytes = 1 << 20
	// maxInlineBody is how much of a body is written before the response is
	// read; it fits into the socket's send buffer.
	maxInlineBody = 16 << 10
	// uploadEndTimeout bounds the wait until the upstream's system has acknowledged the
	// body of a request whose response has ended with the connection. A system that has
	// closed the connection resets it when the next bytes arrive, which takes several
	// hundred milliseconds if a packet is lost. statePollInterval is the time between
	// looks at the socket.
	uploadEndTimeout  = time.Second
	statePollInterval = 2 * time.Millisecond
	// maxHeadBytes bounds the head of a response, with the informational
	// responses before it: a faulty upstream may send header lines without end.
	maxHeadBytes = 64 << 10
	// maxStatus is the highest status of HTTP (RFC 9110, section 15). The lowest is
	// 100; http.ReadResponse accepts any three digits.
	maxStatus = 599
)

// Key identifies the connections to one incarnation of an upstream.
type Key struct {
	ID          string
	Addr        string
	StartMillis int64
}

// Pool holds the idle connections of a router.
type Pool struct {
	// Inspect reads the head of a response.
	Inspect func(*http.Response) rwdialect.ResponseInfo
	// OnResponse, if set, is called for each response of an upstream that isn't
	// from another incarnation at its address, also for one that is skipped. It
	// must not block.
	OnResponse func(Key, rwdialect.ResponseInfo)
	// Count, if set, is called with the name of a counter: connections_opened,
	// connections_reused or connections_closed_ with a reason.
	Count func(name string)
	// Dial opens a connection to an upstream. It must be set before the first
	// request; New sets it to the DialContext of a net.Dialer. Connections that
	// don't implement syscall.Conn can't be reused.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[Key][]*conn
}

// New returns an empty pool.
func New(inspect func(*http.Response) rwdialect.ResponseInfo) *Pool {
	return &Pool{Inspect: inspect, Dial: newDialer(dialTimeout).DialContext, idle: map[Key][]*conn{}}
}

// newDialer returns a dialer whose connections detect that the other end no
// longer receives.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
	}
}

type conn struct {
	net.Conn
	in *headLimiter
	br *bufio.Reader
	// usableUntil is how long the idle connection is reused; the upstream is
	// expected to close it later.
	usableUntil time.Time
	// answered is whether a response to an earlier request was read.
	answered bool
	// bodyWritten is closed after a body was written while the response is read,
	// or nil; writeErr is the result from then on.
	bodyWritten chan struct{}
	writeErr    error
}

// headLimiter bounds the bytes that are read from a connection as the head of a
// response.
type headLimiter struct {
	io.Reader
	// limited is whether the bound applies; left is the number of bytes up to it.
	limited bool
	left    int
}

var errHeadTooLong = errors.New("head of the response is too long")

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Request is a request to an upstream.
type Request struct {
	Key    Key
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request id. A response with another id is skipped; one without
	// an id is accepted on a new connection only, which isn't reused after it.
	ID string
	// NewConn prevents the reuse of an idle connection.
	NewConn bool
	// NotAfter is when the right to send the request ends, or zero if it doesn't.
	NotAfter time.Time
}

// Response is the head of a response; its body is read from Body. Close must be
// called; it returns the connection to the pool if the body was read to its
// end.
type Response struct {
	HTTP *http.Response
	Info rwdialect.ResponseInfo

	pool *Pool
	key  Key
	conn *conn
	stop func() bool
	body *trackedReader
}

// trackedReader records whether a body was read to its end.
type trackedReader struct {
	io.Reader
	atEOF bool
	// checkEnd, if set, returns an error if the end is not the upstream's.
	checkEnd func() error
}

func (t *trackedReader) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if t.checkEnd != nil && !t.atEOF {
		if endErr := t.checkEnd(); endErr != nil {
			return n, endErr
		}
	}
	t.atEOF = true
	return n, err
}

// Body returns the body of the response. Reading one that ends with its connection
// fails if the connection was reset, or if the upstream's system has not acknowledged
// the body of the request within uploadEndTimeout after the end.
func (resp *Response) Body() io.Reader { return resp.body }

// EndsWithConnection reports whether the body has neither a length nor chunks, so
// that it ends where the upstream closes the connection. Such an end doesn't show
// whether the body is complete: an upstream that crashes may close it too.
func (resp *Response) EndsWithConnection() bool {
	return resp.HTTP.Body != http.NoBody && resp.HTTP.ContentLength < 0 && len(resp.HTTP.TransferEncoding) == 0
}

// Close ends the exchange and returns or closes the connection.
func (resp *Response) Close() {
	stopped := resp.stop()
	written := true
	if resp.conn.bodyWritten != nil {
		select {
		case <-resp.conn.bodyWritten:
			written = resp.conn.writeErr == nil
		default:
			// The upstream responded before it read the whole body. It would
			// read the rest as the start of the next request.
			written = false
		}
	}
	resp.conn.bodyWritten = nil
	reason := ""
	switch {
	case !stopped:
		reason = "cancelled"
	case !written:
		reason = "body_unread"
	case !resp.body.atEOF:
		reason = "answer_unread"
	case resp.HTTP.Close:
		reason = "asked"
	case resp.Info.RequestID == "":
		reason = "no_id"
	case resp.conn.br.Buffered() > 0:
		reason = "stray_bytes"
	}
	if reason != "" {
		resp.pool.count("connections_closed_" + reason)
		_ = resp.conn.Close()
		return
	}
	resp.pool.putIdle(resp.key, resp.conn, resp.Info.KeepAlive)
}

// Do sends a request and returns the head of its response. When the context
// ends, the connection is closed, so that the upstream stops. Do fails with
// UpstreamUnreachable, GrantExpired or the context's fault and the outcome NotRun if
// no byte was sent; otherwise it fails with UpstreamTruncated, UpstreamMalformed,
// UpstreamMismatch or the context's fault and the outcome Unknown.
func (p *Pool) Do(ctx context.Context, req Request) (*Response, error) {
	c, err := p.getConn(ctx, req)
	if err != nil {
		return nil, err
	}
	if !req.NotAfter.IsZero() && time.Now().After(req.NotAfter) {
		// Opening the connection took too long.
		p.putIdle(req.Key, c, 0)
		return nil, rwfault.New(rwcode.GrantExpired, req.Key.ID)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent, err := c.send(req)
	if err != nil {
		stop()
		_ = c.Close()
		if !sent {
			return nil, rwfault.Wrap(rwcode.UpstreamUnreachable, err)
		}
		return nil, faultAfterSend(ctx, err)
	}
	resp := &Response{pool: p, key: req.Key, conn: c, stop: stop}
	if err := resp.receive(req); err != nil {
		stop()
		_ = c.Close()
		return nil, faultAfterSend(ctx, err)
	}
	return resp, nil
}

// faultAfterSend returns the fault of a request that was sent.
func faultAfterSend(ctx context.Context, err error) error {
	if f := rwfault.FromContext(ctx); f != nil {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	var f *rwfault.Fault
	if errors.As(err, &f) {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	return rwfault.Wrap(rwcode.UpstreamTruncated, err).WithOutcome(rwoutcome.Unknown)
}

// receive reads the head of the response to a request.
func (resp *Response) receive(req Request) error {
	httpReq := &http.Request{Method: req.Method}
	resp.conn.in.left = maxHeadBytes
	for stray := 0; ; {
		resp.conn.in.limited = true
		httpResp, err := http.ReadResponse(resp.conn.br, httpReq)
		resp.conn.in.limited = false
		if err != nil {
			return responseFault(err)
		}
		if !validStatus(httpResp.StatusCode) {
			return rwfault.New(rwcode.UpstreamMalformed, "status "+httpResp.Status)
		}
		if httpResp.StatusCode < 200 {
			continue
		}
		info := resp.pool.Inspect(httpResp)
		if resp.pool.OnResponse != nil && !info.WrongInstance {
			resp.pool.OnResponse(req.Key, info)
		}
		if info.RequestID == "" && resp.conn.answered {
			// It may be additional bytes after an earlier response, or an earlier
			// refusal, written once more.
			return rwfault.New(rwcode.UpstreamMismatch, "response without an id on a connection that was used before")
		}
		if info.RequestID == "" || info.RequestID == req.ID {
			resp.conn.answered = true
			resp.HTTP, resp.Info, resp.body = httpResp, info, &trackedReader{Reader: httpResp.Body}
			if resp.EndsWithConnection() {
				resp.body.checkEnd = resp.conn.checkEnd
			}
			return nil
		}
		// A late response to an earlier request on this connection.
		if stray++; stray > maxStrayResponses || httpResp.Close {
			return rwfault.New(rwcode.UpstreamMismatch, info.RequestID)
		}
		n, err := io.CopyN(io.Discard, httpResp.Body, maxStrayBytes)
		_ = httpResp.Body.Close()
		if !errors.Is(err, io.EOF) || n == maxStrayBytes {
			return rwfault.New(rwcode.UpstreamMismatch, info.RequestID)
		}
	}
}

// validStatus reports whether an upstream may respond with a status. No request asks
// to switch protocols, and what follows such a response is not HTTP.
func validStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// responseFault distinguishes bytes that are not a response from a broken
// connection.
func responseFault(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return rwfault.Wrap(rwcode.UpstreamTruncated, err)
	}
	return rwfault.Wrap(rwcode.UpstreamMalformed, err)
}

// send writes the request and reports whether any byte may have been sent.
func (c *conn) send(req Request) (bool, error) {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	inline := req.Body
	if len(inline) > maxInlineBody {
		inline = inline[:maxInlineBody]
	}
	b.Write(inline)
	n, err := c.Write(b.Bytes())
	if err != nil {
		return n > 0, err
	}
	if rest := req.Body[len(inline):]; len(rest) > 0 {
		written := make(chan struct{})
		c.bodyWritten = written
		go func() {
			_, c.writeErr = c.Write(rest)
			close(written)
		}()
	}
	return true, nil
}

var (
	errReset      = errors.New("the connection was reset")
	errBodyUnread = errors.New("the connection ended before the body of the request was acknowledged")
)

// checkEnd returns an error unless the end that was read from the connection is the
// one that the upstream has given it. The kernel reports a reset once, to the writer
// of the request's body or to the reader of the response, and the other one of them
// sees an end. A reset may also follow the end while the body is on its way.
func (c *conn) checkEnd() error {
	deadline := time.NewTimer(uploadEndTimeout)
	defer deadline.Stop()
	if c.bodyWritten != nil {
		select {
		case <-c.bodyWritten:
			if c.writeErr != nil {
				return c.writeErr
			}
		case <-deadline.C:
			return errBodyUnread
		}
	}
	poll := time.NewTicker(statePollInterval)
	defer poll.Stop()
	for {
		reset, acknowledged := c.state()
		switch {
		case reset:
			return errReset
		case acknowledged:
			return nil
		}
		select {
		case <-poll.C:
		case <-deadline.C:
			return errBodyUnread
		}
	}
}

// state reports whether the connection was reset or closed, and whether the system of
// the upstream has acknowledged all that was written. It asks the socket; without an
// answer, the connection counts as not reset and all as acknowledged.
func (c *conn) state() (reset, acknowledged bool) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, true
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		// The router has closed the connection itself.
		return true, false
	}
	if infoErr != nil {
		return false, true
	}
	return info.State == unix.BPF_TCP_CLOSE, info.Unacked == 0 && info.Notsent_bytes == 0
}

// getConn returns an idle connection that is still open, or a new one.
func (p *Pool) getConn(ctx context.Context, req Request) (*conn, error) {
	for !req.NewConn {
		c := p.popIdle(req.Key)
		if c == nil {
			break
		}
		quiet, _ := c.isQuiet()
		if time.Now().Before(c.usableUntil) && quiet {
			p.count("connections_reused")
			return c, nil
		}
		p.count("connections_closed_stale")
		_ = c.Close()
	}
	return p.dial(ctx, req.Key.Addr)
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.Dial(ctx, "tcp", addr)
	if err != nil {
		if f := rwfault.FromContext(ctx); f != nil {
			return nil, f
		}
		return nil, rwfault.Wrap(rwcode.UpstreamUnreachable, err)
	}
	p.count("connections_opened")
	in := &headLimiter{Reader: raw}
	c := &conn{Conn: raw, in: in, br: bufio.NewReader(in)}
	if quiet, known := c.isQuiet(); known && !quiet {
		_ = raw.Close()
		return nil, rwfault.New(rwcode.UpstreamUnreachable, "the connection ended or brought bytes before the request was sent")
	}
	return c, nil
}

// isQuiet reports whether nothing has arrived on a connection without a request,
// neither its end nor bytes that belong to no request. It isn't known for
// connections that aren't sockets.
func (c *conn) isQuiet() (quiet, known bool) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet, true
}

func (p *Pool) count(name string) {
	if p.Count != nil {
		p.Count(name)
	}
}

func (p *Pool) popIdle(k Key) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[k] = list[:len(list)-1]
	return c
}

func (p *Pool) putIdle(k Key, c *conn, keep time.Duration) {
	idle := defaultIdleTimeout
	if keep > 0 {
		idle = max(keep-idleMargin, keep/4)
	}
	c.usableUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[k]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[k] = append(p.idle[k], c)
}

// Sweep closes connections that have been idle too long, and those to upstreams
// for which keep returns false.
func (p *Pool) Sweep(now time.Time, keep func(Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) && keep(k) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = kept
	}
}
