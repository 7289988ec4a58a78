// Package rwrelay passes new connections of callers on to other routers. The load
// balancer chooses a router by a hash of the caller, so that a large client account
// can reach one small machine while others have capacity. Relaying a connection
// costs a fraction of what serving its request costs, and the account is served by
// the fleet instead of by that machine.
//
// Connections are passed on over links, kept connections that carry many of them
// (package rwmux). One is not read before another router has accepted it, so that it
// can still be served here. The other router serves one request on it and then
// closes it.
package rwrelay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"redwingworks.example/internal/rwmux"
)

const (
	// passTimeout bounds the answers of other routers, for one connection. Callers
	// give up requests that are not read soon. busyPassTimeout applies while this
	// router is backlogged and so reads the answers late.
	passTimeout     = 180 * time.Millisecond
	busyPassTimeout = 500 * time.Millisecond
	// maxAsking is the number of connections for which routers are asked at a time.
	// Beyond it no further ones are accepted: on a machine that is short of CPU time,
	// those that are accepted go on first, and the others cost nothing.
	maxAsking = 64
	// idleWait is how long Accept waits at least if no connection was waiting, and
	// backlogTime how long it must not have done so for the listener to count as
	// backlogged.
	idleWait    = 200 * time.Microsecond
	backlogTime = 100 * time.Millisecond
	// writeTimeout bounds a write to a caller or a router that doesn't read.
	writeTimeout = 10 * time.Second
	// returnPause is how long nothing is passed on after there was no router to ask.
	returnPause = 20 * time.Millisecond
	// maxPeers is the number of routers that are asked for one connection.
	maxPeers = 3
	// unreachableTime is how long a router to which no link could be opened is passed
	// over, and declinedTime one that declined, since its room comes back soon. One
	// whose answer is late isn't passed over: this router may be too busy to read it.
	unreachableTime = 500 * time.Millisecond
	declinedTime    = 50 * time.Millisecond
	// lingerTime is how long the caller's bytes are read after the other router
	// has ended the connection. A connection that is closed with unread bytes is
	// reset, and the caller may lose the response.
	lingerTime = 500 * time.Millisecond
	// bufferBytes is the size of the buffers for the bytes of callers, which are
	// shared.
	bufferBytes = 16 << 10
)

// Relay passes connections on. All function fields are set before Listener is
// called.
type Relay struct {
	// ShouldPass reports whether to pass a new connection on. It is called once for
	// each connection.
	ShouldPass func() bool
	// Peers returns the other routers.
	Peers func() []Peer
	// Version returns the version of this router's configuration. Connections are
	// passed on only to routers with this version or a later one, so that a caller
	// never gets a response by an earlier one than this router has acknowledged.
	Version func() int64
	// HasRoom reports whether this router accepts a connection that another one
	// relays.
	HasRoom func() bool
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	// Gather, if set, returns how long to collect what the other router sends after
	// each write to the caller, which saves CPU time.
	Gather func() time.Duration
	// MaxOpen bounds the relayed connections that are open, with those for which
	// routers are being asked.
	MaxOpen int

	mu    sync.Mutex
	stats Stats
	// open holds the open relayed connections.
	open map[*pair]struct{}
	// passing is the number of connections that are open or for which routers are
	// being asked.
	passing int
	// pausedUntil is until when nothing is passed on.
	pausedUntil time.Time
	stopped     bool
	links       links
	// asking has a value for each connection for which routers are being asked.
	asking chan struct{}
	// idleAt is when no connection waited to be accepted, and acceptAt when the call
	// of Accept began that is in progress, or 0. Both are Unix nanoseconds.
	idleAt, acceptAt atomic.Int64
}

// Peer is another router.
type Peer struct {
	// Addr is its relay address.
	Addr string
	// Near is whether it is in this router's zone. Others get connections only if
	// none of these takes one.
	Near bool
	// Capacity is the weight with which it is chosen.
	Capacity int
}

// Stats counts what a relay did since its start.
type Stats struct {
	// Passed is the number of connections that another router accepted; Returned
	// is the number of those that were to be passed on and were served here;
	// Gone is the number of those whose callers had already left.
	Passed, Returned, Gone int64
	// NoPeer, RefusedByPeer and Unanswered are the causes of Returned: no router
	// could be asked, the last one that was asked declined, or it didn't answer
	// in time.
	NoPeer, RefusedByPeer, Unanswered int64
	// Paused and TooManyOpen count the connections beyond the rate that were
	// served here without asking, by the bound that forbade it.
	Paused, TooManyOpen int64
	// Accepted and Declined count the connections that other routers relayed
	// here.
	Accepted, Declined int64
}

// pair is a caller's connection and the one to the router that serves it.
type pair struct {
	caller net.Conn
	peer   peerConn
	// used is whether bytes of the caller have been read.
	used atomic.Bool
	// resets is whether closing the caller's connection resets it, also as the
	// process ends.
	resets bool
}

// peerConn is a connection to another router. Next waits for bytes and returns all
// that have arrived. ResetsOnClose reports whether the other router wants its end to
// be a reset until it has sent all.
type peerConn interface {
	net.Conn
	Next() ([]byte, error)
	ResetsOnClose() bool
}

// New returns a relay without connections.
func New() *Relay {
	r := &Relay{open: map[*pair]struct{}{}, links: newLinks(), asking: make(chan struct{}, maxAsking)}
	r.idleAt.Store(time.Now().UnixNano())
	return r
}

// Stats returns the counts since the start.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Open returns the number of open connections that were passed on.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// Backlogged reports whether connections wait to be accepted faster than they can be.
func (r *Relay) Backlogged(now time.Time) bool {
	if at := r.acceptAt.Load(); at != 0 && now.UnixNano()-at >= int64(idleWait) {
		return false
	}
	return now.UnixNano()-r.idleAt.Load() > int64(backlogTime)
}

// Stop lets no further connections be passed on or be accepted.
func (r *Relay) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// CloseUnused closes the connections that were passed on and of whose callers no byte
// has been read.
func (r *Relay) CloseUnused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.open {
		if !p.used.Load() {
			_ = p.caller.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Cut resets the open connections that were passed on.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.open {
		reset(p.caller)
		reset(p.peer)
	}
}

// Listener wraps the listener for callers. Its Accept returns the connections that
// are to be served here.
func (r *Relay) Listener(inner net.Listener) net.Listener {
	l := &callerListener{Listener: inner, relay: r, local: make(chan net.Conn), failed: make(chan error), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	go l.run()
	return l
}

type callerListener struct {
	net.Listener
	relay *Relay
	// local receives connections to serve here, and failed the errors of Accept.
	local  chan net.Conn
	failed chan error
	closed chan struct{}
	// close closes the channel closed once.
	close func()
}

func (l *callerListener) run() {
	for {
		begin := time.Now()
		l.relay.acceptAt.Store(begin.UnixNano())
		c, err := l.Listener.Accept()
		l.relay.acceptAt.Store(0)
		if now := time.Now(); now.Sub(begin) >= idleWait {
			l.relay.idleAt.Store(now.UnixNano())
		}
		switch {
		case err != nil:
			select {
			case l.failed <- err:
			case <-l.closed:
				return
			}
		case !l.relay.ShouldPass():
			l.serve(c)
		case !l.relay.reserve():
			l.serve(c)
		default:
			select {
			case l.relay.asking <- struct{}{}:
				go l.pass(c)
			case <-l.closed:
				l.relay.release()
				_ = c.Close()
				return
			}
		}
		// A connection that was accepted goes on before further ones are.
		runtime.Gosched()
	}
}

// pass passes a connection on or serves it here.
func (l *callerListener) pass(c net.Conn) {
	passed := l.relay.pass(c, func() { <-l.relay.asking })
	l.relay.release()
	if !passed {
		l.serve(c)
	}
}

// serve hands a connection to Accept.
func (l *callerListener) serve(c net.Conn) {
	select {
	case l.local <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.local:
		return c, nil
	case err := <-l.failed:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	err := l.Listener.Close()
	l.close()
	l.relay.links.close()
	return err
}

// reserve reports whether one more connection may be passed on now. If so, release
// must be called after pass.
func (r *Relay) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopped:
		return false
	case r.passing >= r.MaxOpen:
		r.stats.TooManyOpen++
		return false
	case time.Now().Before(r.pausedUntil):
		r.stats.Paused++
		return false
	}
	r.passing++
	return true
}

func (r *Relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passing--
}

// pass passes a connection on, and reports whether it did. If it didn't, nothing
// was read. It calls asked once no router is being asked any more, and returns when
// the connection has ended.
func (r *Relay) pass(caller net.Conn, asked func()) bool {
	if hasLeft(caller) {
		asked()
		_ = caller.Close()
		r.count(func(s *Stats) { s.Gone++ })
		return true
	}
	peer, err := r.ask()
	asked()
	p := &pair{caller: caller, peer: peer}
	if peer != nil && r.add(p) {
		r.join(p)
		r.mu.Lock()
		delete(r.open, p)
		r.mu.Unlock()
		return true
	}
	if peer != nil {
		reset(peer)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Returned++
	switch {
	case err == nil:
		return false
	case errors.Is(err, errNoPeer):
		r.stats.NoPeer++
		r.pausedUntil = time.Now().Add(returnPause)
	case errors.Is(err, context.DeadlineExceeded):
		r.stats.Unanswered++
	default:
		r.stats.RefusedByPeer++
	}
	return false
}

// ask returns a stream that another router has accepted, or why there is none.
func (r *Relay) ask() (peerConn, error) {
	timeout := passTimeout
	if r.Backlogged(time.Now()) {
		timeout = busyPassTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	last := errNoPeer
	for range maxPeers {
		l := r.link(ctx)
		if l == nil {
			return nil, last
		}
		s, greeting, err := l.mux.Open(ctx)
		if err == nil && version(greeting) < r.Version() {
			reset(s)
			err = errOldVersion
		}
		if err == nil {
			return s, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		last = err
		r.links.decline(l)
	}
	return nil, last
}

// version returns the version of the configuration in a greeting, or -1.
func version(greeting []byte) int64 {
	if len(greeting) != 8 {
		return -1
	}
	return int64(binary.BigEndian.Uint64(greeting))
}

// add counts a pair as open, or returns false if the relay was stopped while a
// router was asked.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.stats.Passed++
	r.open[p] = struct{}{}
	return true
}

func (r *Relay) count(add func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.stats)
}

var (
	errNoPeer     = errors.New("no router can be asked")
	errOldVersion = errors.New("the router has an older configuration")
)

// join copies in both directions until the connection has ended, and ends each
// side as the other one did: a response without a length ends with its connection,
// and only a reset shows that it broke off.
func (r *Relay) join(p *pair) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		copyRequest(p)
	}()
	err := copyResponse(p, r.Gather)
	_ = p.caller.SetReadDeadline(time.Now().Add(lingerTime))
	if errors.Is(err, io.EOF) {
		_ = p.peer.Close()
		if p.resets {
			setLinger(p.caller, lingerOff)
		}
		closeWrite(p.caller)
	} else {
		reset(p.caller)
		reset(p.peer)
	}
	<-sent
	_ = p.caller.Close()
	_ = p.peer.Close()
}

// copyRequest copies from the caller to the other router until either ends.
func copyRequest(p *pair) {
	in := newCallerReader(p.caller)
	for {
		buf, n, err := in.read()
		if n > 0 {
			if !p.used.Swap(true) && hasLeft(p.caller) {
				// The end of the connection came behind the request.
				buffers.Put(buf)
				reset(p.peer)
				return
			}
			_ = p.peer.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, writeErr := p.peer.Write((*buf)[:n])
			buffers.Put(buf)
			if writeErr != nil {
				// The other router may have responded before it ended the
				// connection. The caller's bytes are read until its response
				// has been passed on.
				_, _ = io.Copy(io.Discard, p.caller)
				return
			}
		} else if buf != nil {
			buffers.Put(buf)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			closeWrite(p.peer)
			return
		case isTimeout(err) && !p.used.Load():
			_ = p.peer.Close()
			return
		case !errors.Is(err, net.ErrClosed) && !isTimeout(err):
			reset(p.peer)
			return
		default:
			return
		}
	}
}

// copyResponse copies from the other router to the caller until a read or a write
// fails, and returns that error; io.EOF is the end of the other router's connection.
// After each write it waits for the time that gather returns.
func copyResponse(p *pair, gather func() time.Duration) error {
	for {
		next, err := p.peer.Next()
		if err != nil {
			return err
		}
		if !p.resets && p.peer.ResetsOnClose() {
			p.resets = true
			setLinger(p.caller, lingerReset)
		}
		_ = p.caller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := p.caller.Write(next); err != nil {
			return err
		}
		if gather == nil {
			continue
		}
		if d := gather(); d > 0 {
			time.Sleep(d)
		}
	}
}

// The values of setLinger.
const (
	lingerReset = 0
	lingerOff   = -1
)

// setLinger sets whether closing a connection resets it, also as the process ends.
func setLinger(c net.Conn, seconds int) {
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// It fails only if the connection is closed.
		_ = l.SetLinger(seconds)
	}
}

// reset ends a connection so that the other end sees that it broke off.
func reset(c net.Conn) {
	setLinger(c, lingerReset)
	_ = c.Close()
}

func closeWrite(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		// It fails only if the connection has ended.
		_ = w.CloseWrite()
		return
	}
	_ = c.Close()
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// hasLeft reports whether a caller has closed its connection. It returns false if
// that isn't known.
func hasLeft(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && left
}

// PeerListener wraps the listener for links of other routers. Its Accept returns the
// connections that they relay.
func (r *Relay) PeerListener(inner net.Listener) net.Listener {
	l := &peerListener{Listener: inner, relay: r, streams: make(chan net.Conn), closed: make(chan struct{}), muxes: map[*rwmux.Mux]struct{}{}}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	go l.run()
	return l
}

type peerListener struct {
	net.Listener
	relay *Relay
	// streams receives the connections that others relay.
	streams chan net.Conn
	closed  chan struct{}
	// close closes the channel closed once.
	close func()

	mu sync.Mutex
	// muxes holds the links that are open; err is why none is accepted any more.
	muxes map[*rwmux.Mux]struct{}
	err   error
}

// run accepts links until the listener is closed.
func (l *peerListener) run() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.mu.Lock()
			l.err = err
			l.mu.Unlock()
			l.close()
			return
		}
		m := rwmux.NewServer(c, l.relay.greet)
		l.mu.Lock()
		l.muxes[m] = struct{}{}
		l.mu.Unlock()
		go l.serve(m)
	}
}

// serve hands the streams of a link to Accept until it ends.
func (l *peerListener) serve(m *rwmux.Mux) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.muxes, m)
	}()
	for {
		s, err := m.Accept()
		if err != nil {
			return
		}
		select {
		case l.streams <- s:
		case <-l.closed:
			reset(s)
		}
	}
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	select {
	case s := <-l.streams:
		return s, nil
	case <-l.closed:
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.err != nil {
			return nil, l.err
		}
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It ends the links once what was written to them has
// been sent.
func (l *peerListener) Close() error {
	err := l.Listener.Close()
	l.close()
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.muxes))
	l.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range open {
		wg.Go(m.Shutdown)
	}
	wg.Wait()
	return err
}

// greet decides whether to accept a relayed connection, and returns the version of
// this router's configuration.
func (r *Relay) greet() ([]byte, bool) {
	r.mu.Lock()
	stopped := r.stopped
	r.mu.Unlock()
	if stopped || !r.HasRoom() {
		r.count(func(s *Stats) { s.Declined++ })
		return nil, false
	}
	r.count(func(s *Stats) { s.Accepted++ })
	return binary.BigEndian.AppendUint64(nil, uint64(r.Version())), true
}
