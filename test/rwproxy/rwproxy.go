// Package rwproxy implements a TCP proxy on a loopback address that injects
// faults. The faults can be changed at run time for each source and direction.
package rwproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/test/rwdirection"
	"redwingworks.example/test/rwlink"
)

const (
	bufferBytes      = 32 << 10
	maxIdentifyBytes = 64 << 10
	// maxQueuedBuffers is the maximum number of delayed buffers per direction.
	maxQueuedBuffers = 64
	dialTimeout      = time.Second
)

// Identify determines the source of a connection from its first bytes. It
// returns false if it needs more of them.
type Identify = func(first []byte) (source string, ok bool)

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	identify Identify

	mu     sync.Mutex
	target string
	links  map[string]rwlink.Link
	// changed is closed and replaced when a link changes.
	changed    chan struct{}
	conns      map[*conn]struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// New starts a proxy. If identify is nil, the source of all connections is "".
func New(target string, identify Identify) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, rwfault.Wrap(rwcode.Internal, err)
	}
	p := &Proxy{
		listener: l,
		identify: identify,
		target:   target,
		links:    map[string]rwlink.Link{},
		changed:  make(chan struct{}),
		conns:    map[*conn]struct{}{},
	}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// Set changes the faults of a source. The source "" stands for all sources
// without faults of their own.
func (p *Proxy) Set(source string, link rwlink.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[source] = link
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.conns {
		if p.linkOf(c.source).Refuse {
			c.reset()
		}
	}
}

// Connections returns the number of open connections by source.
func (p *Proxy) Connections() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for c := range p.conns {
		out[c.source]++
	}
	return out
}

// Close resets all connections and waits until the proxy has ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.reset()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.goroutines.Wait()
}

func (p *Proxy) linkOf(source string) rwlink.Link {
	if l, ok := p.links[source]; ok {
		return l
	}
	return p.links[""]
}

func (p *Proxy) link(c *conn) (rwlink.Link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.linkOf(c.source), p.changed
}

func (p *Proxy) accept() {
	for {
		s, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{proxy: p, client: s.(*net.TCPConn), ended: make(chan struct{})}
		p.goroutines.Go(c.run)
	}
}

// conn is one connection through the proxy.
type conn struct {
	proxy  *Proxy
	client *net.TCPConn
	// source and server are written under the proxy's lock.
	source string
	server *net.TCPConn

	endOnce sync.Once
	ended   chan struct{}
}

// reset resets both sides. With a linger time of zero, the kernel sends RST
// instead of FIN.
func (c *conn) reset() {
	c.end(func(s *net.TCPConn) {
		_ = s.SetLinger(0)
		_ = s.Close()
	})
}

func (c *conn) end(side func(*net.TCPConn)) {
	c.endOnce.Do(func() {
		close(c.ended)
		for _, s := range []*net.TCPConn{c.client, c.server} {
			if s != nil {
				side(s)
			}
		}
	})
}

func (c *conn) run() {
	defer c.unregister()
	if !c.register() {
		return
	}
	first, ok := c.identifySource()
	if !ok {
		return
	}
	link, _ := c.proxy.link(c)
	switch {
	case link.Refuse:
		return
	case link.Hang:
		_, _ = io.Copy(io.Discard, c.client)
		return
	}
	if !c.dial() {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.pump(c.server, c.client, first, func(l rwlink.Link) rwdirection.Direction { return l.Up }) })
	both.Go(func() { c.pump(c.client, c.server, nil, func(l rwlink.Link) rwdirection.Direction { return l.Down }) })
	both.Wait()
	c.end(func(s *net.TCPConn) { _ = s.Close() })
}

func (c *conn) register() bool {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if c.proxy.closed {
		return false
	}
	c.proxy.conns[c] = struct{}{}
	return true
}

func (c *conn) unregister() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.reset()
	delete(c.proxy.conns, c)
}

func (c *conn) identifySource() ([]byte, bool) {
	if c.proxy.identify == nil {
		return nil, true
	}
	var first []byte
	buffer := make([]byte, bufferBytes)
	for len(first) < maxIdentifyBytes {
		n, err := c.client.Read(buffer)
		if err != nil {
			return nil, false
		}
		first = append(first, buffer[:n]...)
		if source, ok := c.proxy.identify(first); ok {
			c.proxy.mu.Lock()
			c.source = source
			c.proxy.mu.Unlock()
			break
		}
	}
	return first, true
}

func (c *conn) dial() bool {
	c.proxy.mu.Lock()
	target := c.proxy.target
	c.proxy.mu.Unlock()
	s, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return false
	}
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	select {
	case <-c.ended:
		_ = s.Close()
		return false
	default:
		c.server = s.(*net.TCPConn)
		return true
	}
}

type delayedBuffer struct {
	data   []byte
	sendAt time.Time
}

// pump forwards one direction. One goroutine reads and timestamps the data and
// another one writes it, so that a delay doesn't reduce the throughput.
func (c *conn) pump(to, from *net.TCPConn, first []byte, direction func(rwlink.Link) rwdirection.Direction) {
	queue := make(chan delayedBuffer, maxQueuedBuffers)
	w := writer{conn: c, to: to, direction: direction, readDone: make(chan struct{})}
	go func() {
		defer close(queue)
		defer close(w.readDone)
		c.read(from, first, direction, queue)
	}()
	for d := range queue {
		if !w.sleep(time.Until(d.sendAt)) || !w.write(d.data) {
			c.reset()
			break
		}
	}
	// The reader ends when the connection has been reset.
	for range queue {
		continue
	}
	if _, ok := w.waitUnstalled(); ok {
		_ = to.CloseWrite()
	}
}

func (c *conn) read(from *net.TCPConn, first []byte, direction func(rwlink.Link) rwdirection.Direction, queue chan<- delayedBuffer) {
	data := first
	for {
		if len(data) > 0 {
			link, _ := c.proxy.link(c)
			queue <- delayedBuffer{data, time.Now().Add(direction(link).Delay)}
		}
		buffer := make([]byte, bufferBytes)
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		data = buffer[:n]
	}
}

type writer struct {
	conn      *conn
	to        *net.TCPConn
	direction func(rwlink.Link) rwdirection.Direction
	sent      int64
	// readDone is closed when no more bytes will be read.
	readDone chan struct{}
}

// waitUnstalled waits while the direction is stalled. It returns false when the
// connection has ended.
func (w *writer) waitUnstalled() (rwdirection.Direction, bool) {
	for {
		link, changed := w.conn.proxy.link(w.conn)
		direction := w.direction(link)
		select {
		case <-w.conn.ended:
			return direction, false
		default:
		}
		if !direction.Stall {
			return direction, true
		}
		select {
		case <-changed:
		case <-w.conn.ended:
			return direction, false
		case <-w.abandoned():
			return direction, false
		}
	}
}

// abandoned returns a channel that is closed when the sender gave up before
// anything was forwarded. Such connections would otherwise accumulate during a
// stall and all arrive at its end.
func (w *writer) abandoned() <-chan struct{} {
	if w.sent > 0 {
		return nil
	}
	return w.readDone
}

func (w *writer) write(data []byte) bool {
	for len(data) > 0 {
		direction, ok := w.waitUnstalled()
		if !ok {
			return false
		}
		n := len(data)
		if direction.ThrottleBytes > 0 {
			n = min(n, direction.ThrottleBytes)
		}
		if direction.ResetAfter > 0 {
			n = int(min(int64(n), direction.ResetAfter-w.sent))
		}
		if n > 0 {
			if _, err := w.to.Write(data[:n]); err != nil {
				return false
			}
			w.sent += int64(n)
			data = data[n:]
		}
		if direction.ResetAfter > 0 && w.sent >= direction.ResetAfter {
			return false
		}
		if direction.ThrottleBytes > 0 && !w.sleep(direction.ThrottleInterval) {
			return false
		}
	}
	return true
}

func (w *writer) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.conn.ended:
		return false
	}
}
