// Package rwbandwidth shares a machine's link between what must not wait, such as
// messages to other routers and responses, and bulk bytes, which are the bodies of
// requests from callers and to upstreams. Package rwpace decides what waits.
package rwbandwidth

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"redwingworks.example/internal/rwpace"
)

const (
	// chunkTime is the time of the link that one write to an upstream takes at most,
	// within the bounds of minChunk and maxChunk: smaller ones take more CPU time.
	chunkTime = 4 * time.Millisecond
	minChunk  = 4 << 10
	maxChunk  = 64 << 10
	// headBytes is the least receive buffer, about the size of the head of a request,
	// and headPart how much of it is read at a time.
	headBytes = 1152
	headPart  = 512
	// readBytes is how much of a request the server may have read with its head.
	readBytes = 4 << 10
	// bodyWeight is the weight of a body in the mean of their sizes.
	bodyWeight = 0.05
	// maxAcceptDelay bounds how long no connection is accepted.
	maxAcceptDelay = time.Second
	// pressedTime is how long the link counts as pressed after a connection waited.
	pressedTime = 100 * time.Millisecond
	// minBacklog is the least number of connections that may wait to be accepted.
	minBacklog = 4
	// unknownBody stands for the size of a body that is sent in chunks.
	unknownBody = 16 << 10
	// windowTime is the time of the link whose bytes callers may send unread, if
	// windowSenders of them begin to send at once. It also bounds the bodies of the
	// connections that wait to be accepted.
	windowTime    = 50 * time.Millisecond
	windowSenders = 64
	// maxWindow is the receive buffer of connections on which a body may arrive. From
	// this size on the system's own is as good.
	maxWindow = 64 << 10
	// fullDelay is the delay of bulk bytes from which the link counts as full.
	fullDelay = 20 * time.Millisecond
)

// Link is the link of a machine. Its methods may be called concurrently.
type Link struct {
	in, out *rwpace.Pacer
	// bytesPerSecond is the rate of each direction, or 0 if it is not known.
	// Nothing is counted or waits then.
	bytesPerSecond float64
	// chunk is the size in bytes of writes to upstreams, and window that of callers'
	// receive buffers, or 0 for the system's own.
	chunk, window int
	// turn has a value while the body waits that arrives next. Bodies get it in the
	// order in which they were admitted.
	turn chan struct{}

	// start is when the link was created; waitedAt is when a connection last had to
	// wait for the link, in nanoseconds since then, or 0. The time of day may jump.
	start    time.Time
	waitedAt atomic.Int64

	mu sync.Mutex
	// meanBody is the moving average of the sizes of callers' bodies.
	meanBody float64
}

// New returns a link with a rate each way in bits per second, or 0 if it is not
// known.
func New(bitsPerSecond float64) *Link {
	rate := max(bitsPerSecond/8, 0)
	l := &Link{
		in: rwpace.New(rate), out: rwpace.New(rate), bytesPerSecond: rate,
		chunk: min(max(int(rate*chunkTime.Seconds()), minChunk), maxChunk),
		turn:  make(chan struct{}, 1), meanBody: unknownBody, start: time.Now(),
	}
	if window := int(rate * windowTime.Seconds() / windowSenders); rate > 0 && window < maxWindow {
		l.window = max(window, headBytes)
	}
	return l
}

// Delay returns how long bulk bytes would have to wait in the worse direction.
func (l *Link) Delay(now time.Time) time.Duration { return max(l.in.Delay(now), l.out.Delay(now)) }

// Full reports whether bulk bytes wait noticeably.
func (l *Link) Full(now time.Time) bool { return l.Delay(now) >= fullDelay }

// AdmitBody waits until the body of a request on a caller's connection may arrive. It
// reports false, at once, if bodies before it would keep it waiting for longer than a
// time.
// Bodies arrive one after the other: those that all arrive at once would all be late.
// A negative number of bytes stands for a body that is sent in chunks. If the context
// ends, AdmitBody returns at once; the body then arrives in small parts.
func (l *Link) AdmitBody(ctx context.Context, c net.Conn, n int64, within time.Duration) bool {
	caller, ok := c.(*conn)
	if !ok || !caller.caller {
		// What another router relays is counted as it is read.
		return true
	}
	if n < 0 {
		n = unknownBody
	}
	l.observeBody(n)
	now := time.Now()
	waits := l.in.Delay(now) > 0
	// The rest of a large body counts as it is read: callers state sizes as they like.
	left := int(max(min(n, maxWindow)-caller.reserved.Load(), 0))
	if within -= l.out.Delay(now); !l.in.Admit(now, left, within) {
		return false
	}
	if waits && caller.arrived(n) {
		l.in.Cancel(left)
		caller.admitted.Store(n)
		return true
	}
	if !l.awaitTurn(ctx, left) {
		l.in.Cancel(left)
		return true
	}
	caller.reserved.Add(int64(left))
	caller.admitted.Store(n)
	caller.widen()
	return true
}

// observeBody takes the size of a body into the mean.
func (l *Link) observeBody(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meanBody += bodyWeight * (float64(min(n, maxWindow)) - l.meanBody)
}

// expectedBody returns how many bytes a new connection will probably bring.
func (l *Link) expectedBody() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.meanBody)
}

// awaitRoom waits until the link has room for the request of another connection.
// What callers send crosses the link although the router reads nothing, so the only
// way to keep it from crossing is not to accept them.
func (l *Link) awaitRoom() {
	for end := time.Now().Add(maxAcceptDelay); time.Now().Before(end); {
		wait := l.in.Delay(time.Now())
		if wait == 0 {
			break
		}
		time.Sleep(wait)
		l.waitedAt.Store(int64(time.Since(l.start)))
	}
}

// Pressed reports whether a connection of a caller had to wait for the link in the last
// moments.
func (l *Link) Pressed(now time.Time) bool {
	waited := time.Duration(l.waitedAt.Load())
	return waited != 0 && (now.Sub(l.start)-waited).Abs() < pressedTime
}

// awaitTurn waits until the body of a request may arrive, and reports whether it may.
// It may not if the context ends before.
func (l *Link) awaitTurn(ctx context.Context, n int) bool {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.turn }()
	for {
		wait := l.in.Start(time.Now(), n)
		if wait == 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
}

// Load returns the fractions of the rate that are in use for receiving and for
// sending, or 0 if the rate is not known.
func (l *Link) Load(now time.Time) (in, out float64) { return l.in.Load(now), l.out.Load(now) }

// ReceiveBuffer returns the size in bytes of the receive buffers of callers'
// connections, or 0 for the system's own. What fits into a buffer crosses the link
// although the router doesn't read.
func (l *Link) ReceiveBuffer() int { return l.window }

// Backlog returns how many connections may wait to be accepted, or 0 if the link sets
// no bound. Their requests cross the link before.
func (l *Link) Backlog() int {
	if l.window == 0 {
		return 0
	}
	return max(int(l.bytesPerSecond*windowTime.Seconds()/unknownBody), minBacklog)
}

// Listener wraps a listener whose connections wait for nothing.
func (l *Link) Listener(inner net.Listener) net.Listener { return l.listener(inner, false) }

// CallerListener wraps the listener for callers. On a narrow link, it accepts
// connections as the link has room, and what they send beyond the head of a request
// waits for AdmitBody.
func (l *Link) CallerListener(inner net.Listener) net.Listener { return l.listener(inner, true) }

// Dialer wraps a function that opens connections, which wait for nothing.
func (l *Link) Dialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return l.dialer(dial, false)
}

// UpstreamDialer wraps a function that opens connections to upstreams. What is sent
// to them waits.
func (l *Link) UpstreamDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return l.dialer(dial, true)
}

func (l *Link) listener(inner net.Listener, callers bool) net.Listener {
	if l.bytesPerSecond == 0 {
		return inner
	}
	return &listener{inner, l, callers}
}

func (l *Link) dialer(dial func(ctx context.Context, network, addr string) (net.Conn, error), paced bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	if l.bytesPerSecond == 0 {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, link: l, pacedWrites: paced}, nil
	}
}

type listener struct {
	net.Listener
	link *Link
	// callers is whether the connections are those of callers.
	callers bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	narrow := l.callers && l.link.window > 0
	if narrow {
		l.link.awaitRoom()
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &conn{Conn: c, link: l.link, caller: l.callers}
	if narrow {
		expected := l.link.expectedBody()
		l.link.in.Count(time.Now(), expected)
		counted.reserved.Store(int64(expected))
	}
	return counted, nil
}

// conn counts what a connection carries.
type conn struct {
	net.Conn
	link *Link
	// caller is whether bodies have to be admitted, and pacedWrites whether what is
	// sent waits.
	caller, pacedWrites bool
	// reserved is the number of bytes that are counted already and will be read;
	// admitted is the number of bytes of an admitted body that are left to read.
	reserved, admitted atomic.Int64
}

// Read implements net.Conn. Until a body is admitted it reads in small parts: what is
// read makes room for more of the body to cross the link, which may be refused.
func (c *conn) Read(p []byte) (int, error) {
	if c.caller && c.link.window > 0 && c.admitted.Load() <= 0 {
		p = p[:min(len(p), headPart)]
	}
	n, err := c.Conn.Read(p)
	c.CountRead(n)
	return n, err
}

// CountRead counts bytes that were read from the socket directly.
func (c *conn) CountRead(n int) {
	c.admitted.Add(-int64(n))
	if left := c.reserved.Load(); left > 0 && n > 0 {
		paid := min(left, int64(n))
		c.reserved.Store(left - paid)
		n -= int(paid)
	}
	if n != 0 {
		c.link.in.Count(time.Now(), n)
	}
}

// arrived reports whether a body has crossed the link already: not every system keeps to
// the receive buffer.
func (c *conn) arrived(n int64) bool {
	if n > maxWindow {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	got := 0
	err = raw.Control(func(fd uintptr) {
		got, _, _ = unix.Recvfrom(int(fd), make([]byte, n), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && int64(got+readBytes) >= n
}

// widen lets a body arrive as fast as the link takes it.
func (c *conn) widen() {
	if s, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok && c.link.window > 0 {
		// It fails only if the connection is closed.
		_ = s.SetReadBuffer(maxWindow)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.pacedWrites {
		n, err := c.Conn.Write(p)
		c.link.out.Count(time.Now(), n)
		return n, err
	}
	written := 0
	for {
		part := p[written:min(len(p), written+c.link.chunk)]
		time.Sleep(c.link.out.Reserve(time.Now(), len(part)))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SyscallConn implements syscall.Conn. It fails with errors.ErrUnsupported if the
// connection is not a socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger sets what happens to unsent bytes on Close, as for a net.TCPConn. It
// fails with errors.ErrUnsupported if the connection doesn't have it.
func (c *conn) SetLinger(seconds int) error {
	if s, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return s.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite ends the direction in which the connection sends, or the connection if
// that isn't possible alone.
func (c *conn) CloseWrite() error {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return s.CloseWrite()
	}
	return c.Close()
}
