// Package rwlinknetwork is a network in memory whose machines have links with a
// rate, for tests in a bubble of testing/synctest. Each direction of a link sends in
// the order of arrival. A connection holds a window of bytes that are on their way
// or unread; a receiver that doesn't read blocks the sender then.
package rwlinknetwork

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// packetBytes is how much of a write crosses a link at a time.
	packetBytes = 1460
	// latency is how long bytes are on their way beside the links.
	latency = 500 * time.Microsecond
	// resendTime is after what time the opening packet of a connection is sent again
	// that found no place in the listen queue. The time doubles with each one.
	resendTime = time.Second
	// defaultWindow is the window of connections of which no other is set, in bytes.
	defaultWindow = 64 << 10
)

// Network connects machines in one process, each of which has an IP address. The zero
// value has no listeners, and links without a bound.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	machines  map[string]*machine
	lastPort  int
}

// machine holds the two directions of a machine's link.
type machine struct{ in, out direction }

// direction is one direction of a link.
type direction struct {
	// rate is in bytes per second, or 0 if there is no bound.
	rate float64
	// freeAt is when all bytes so far have crossed.
	freeAt time.Time
}

// cross returns when a number of bytes that arrive at a time have crossed.
func (d *direction) cross(at time.Time, n int) time.Time {
	if d.rate == 0 {
		return at
	}
	if d.freeAt.Before(at) {
		d.freeAt = at
	}
	d.freeAt = d.freeAt.Add(time.Duration(float64(n) / d.rate * float64(time.Second)))
	return d.freeAt
}

// SetRate sets the rate of both directions of a machine's link in bytes per second.
func (n *Network) SetRate(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.machine(ip)
	m.in.rate, m.out.rate = bytesPerSecond, bytesPerSecond
}

// machine returns the machine with an IP address. The caller must hold the lock.
func (n *Network) machine(ip string) *machine {
	if n.machines == nil {
		n.machines = map[string]*machine{}
	}
	m := n.machines[ip]
	if m == nil {
		m = &machine{}
		n.machines[ip] = m
	}
	return m
}

type listener struct {
	network *Network
	addr    *net.TCPAddr
	window  int
	conns   chan net.Conn
	closed  chan struct{}
	// close closes the channel closed once.
	close func()
}

// Listen opens a listener whose connections receive with a window in bytes, or with
// one of 64 KiB for 0. At most backlog connections wait to be accepted. It fails with EADDRINUSE if another listener has the address,
// and with the error of net.ResolveTCPAddr if the address is malformed.
func (n *Network) Listen(addr string, window, backlog int) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	if window <= 0 {
		window = defaultWindow
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[a.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: a, Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, addr: a, window: window, conns: make(chan net.Conn, max(backlog, 1)), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[a.String()] = l
	return l, nil
}

// Dial opens a connection from a machine. While the listen queue is full, it tries
// again after a second and then less and less often. It fails with ECONNREFUSED if
// there is no listener.
func (n *Network) Dial(ctx context.Context, ip, addr string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	n.mu.Lock()
	l := n.listeners[addr]
	if l == nil {
		n.mu.Unlock()
		return nil, refused
	}
	n.lastPort++
	near, far := n.machine(ip), n.machine(l.addr.IP.String())
	local := &net.TCPAddr{IP: net.ParseIP(ip), Port: n.lastPort}
	n.mu.Unlock()
	there := newFlow(n, &near.out, &far.in, l.window)
	back := newFlow(n, &far.out, &near.in, defaultWindow)
	for resend := resendTime; ; resend *= 2 {
		select {
		case l.conns <- &conn{in: there, out: back, local: l.addr, remote: local}:
			return &conn{in: back, out: there, local: local, remote: l.addr}, nil
		default:
		}
		select {
		case <-time.After(resend):
		case <-l.closed:
			return nil, refused
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.addr.String()] == l {
		delete(l.network.listeners, l.addr.String())
	}
	l.network.mu.Unlock()
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// flow is one direction of a connection.
type flow struct {
	network  *Network
	from, to *direction
	window   int

	mu      sync.Mutex
	changed *sync.Cond
	// underway holds the packets on their way, in order, and unread those that have
	// arrived. Both together hold at most window bytes.
	underway [][]byte
	unread   []byte
	held     int
	// closedBySender and closedByReceiver are whether that end is closed.
	closedBySender, closedByReceiver bool
	readDeadline, writeDeadline      time.Time
}

func newFlow(n *Network, from, to *direction, window int) *flow {
	f := &flow{network: n, from: from, to: to, window: window}
	f.changed = sync.NewCond(&f.mu)
	return f
}

func (f *flow) write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	written := 0
	for written < len(p) {
		switch {
		case f.closedBySender:
			return written, net.ErrClosed
		case f.closedByReceiver:
			return written, syscall.EPIPE
		case hasPassed(f.writeDeadline):
			return written, os.ErrDeadlineExceeded
		case f.held >= f.window:
			f.changed.Wait()
			continue
		}
		packet := append([]byte{}, p[written:min(len(p), written+packetBytes, written+f.window-f.held)]...)
		written += len(packet)
		f.held += len(packet)
		f.underway = append(f.underway, packet)
		time.AfterFunc(time.Until(f.arrival(len(packet))), f.arrive)
	}
	return written, nil
}

// arrival returns when a packet of n bytes arrives that is sent now.
func (f *flow) arrival(n int) time.Time {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.to.cross(f.from.cross(time.Now(), n).Add(latency), n)
}

// arrive makes the next packet readable.
func (f *flow) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unread = append(f.unread, f.underway[0]...)
	f.underway = f.underway[1:]
	f.changed.Broadcast()
}

func (f *flow) read(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.unread) == 0 {
		switch {
		case f.closedByReceiver:
			return 0, net.ErrClosed
		case f.closedBySender && len(f.underway) == 0:
			return 0, io.EOF
		case hasPassed(f.readDeadline):
			return 0, os.ErrDeadlineExceeded
		}
		f.changed.Wait()
	}
	n := copy(p, f.unread)
	f.unread = f.unread[n:]
	f.held -= n
	f.changed.Broadcast()
	return n, nil
}

func (f *flow) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.changed.Broadcast()
}

// setDeadline sets one of the deadlines.
func (f *flow) setDeadline(deadline *time.Time, t time.Time) {
	f.update(func() { *deadline = t })
	if wait := time.Until(t); wait > 0 {
		time.AfterFunc(wait, func() { f.update(func() {}) })
	}
}

func hasPassed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// conn is an end of a connection.
type conn struct {
	in, out       *flow
	local, remote net.Addr
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn. What was written still arrives.
func (c *conn) Close() error {
	c.in.update(func() { c.in.closedByReceiver = true })
	return c.CloseWrite()
}

// CloseWrite ends the direction in which this end sends.
func (c *conn) CloseWrite() error {
	c.out.update(func() { c.out.closedBySender = true })
	return nil
}

// SetReadBuffer sets the window in which this end receives, in bytes.
func (c *conn) SetReadBuffer(bytes int) error {
	c.in.update(func() { c.in.window = bytes })
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}
