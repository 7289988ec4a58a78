// Package rwrelay passes new connections of callers on to other routers. The load
// balancer chooses a router by a hash of the caller, so that a large client account
// can reach one small machine while others have capacity. Relaying a connection
// costs a fraction of what serving its request costs, and the account is served by
// the fleet instead of by that machine.
//
// A relayed connection is not read before another router has accepted it, so that it
// can still be served here. The other router serves one request on it and then
// closes it.
package rwrelay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// passTimeout bounds connecting to other routers and their answers, for one
	// connection. Callers give up requests that are not read soon; a saturated
	// router reads the answers late.
	passTimeout = 180 * time.Millisecond
	// writeTimeout bounds a write to a caller or a router that doesn't read.
	writeTimeout = 10 * time.Second
	// returnPause is how long nothing is passed on after no router took a
	// connection.
	returnPause = 100 * time.Millisecond
	// greetTimeout bounds writing the answer, which fits into the send buffer.
	greetTimeout = 100 * time.Millisecond
	// maxAsking is the number of connections for which routers are asked at a time.
	// On a saturated machine more of them would only wait for each other.
	maxAsking = 32
	// maxPeers is the number of routers that are asked for one connection.
	maxPeers = 2
	// declinedTime is how long a router that declined, or that refused a
	// connection, is passed over. One whose answer is late isn't: this router may
	// be too busy to read it.
	declinedTime = 500 * time.Millisecond
	// lingerTime is how long the caller's bytes are read after the other router
	// has ended the connection. A connection that is closed with unread bytes is
	// reset, and the caller may lose the response.
	lingerTime = 500 * time.Millisecond
	// bufferBytes is the size of the buffer for each direction.
	bufferBytes = 8 << 10
)

// accepted is the byte with which a router accepts a relayed connection; the version
// of its configuration follows, in answerBytes altogether.
const (
	accepted    = 'a'
	answerBytes = 9
)

// Relay passes connections on. All function fields are set before Listener is
// called.
type Relay struct {
	// ShouldPass reports whether to pass a new connection on. It is called once for
	// each connection.
	ShouldPass func() bool
	// Peer returns the relay address of a router, or false if there is none for
	// which skip returns false.
	Peer func(skip func(addr string) bool) (string, bool)
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
	// being asked, asking the number of the latter.
	passing, asking int
	// pausedUntil is until when nothing is passed on.
	pausedUntil time.Time
	// declined holds until when routers are passed over, by relay address.
	declined map[string]time.Time
	stopped  bool
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
	// Paused, TooManyAsking and TooManyOpen count the connections beyond the
	// rate that were served here without asking, by the bound that forbade it.
	Paused, TooManyAsking, TooManyOpen int64
	// Accepted and Declined count the connections that other routers relayed
	// here.
	Accepted, Declined int64
}

// pair is a caller's connection and the one to the router that serves it.
type pair struct {
	caller, peer net.Conn
	// used is whether bytes of the caller have been read.
	used atomic.Bool
}

// New returns a relay without connections.
func New() *Relay {
	return &Relay{open: map[*pair]struct{}{}, declined: map[string]time.Time{}}
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
		c, err := l.Listener.Accept()
		switch {
		case err != nil:
			select {
			case l.failed <- err:
			case <-l.closed:
				return
			}
		case !l.relay.ShouldPass():
			l.serve(c)
		case l.relay.reserve():
			go func() {
				passed := l.relay.pass(c)
				l.relay.release()
				if !passed {
					l.serve(c)
				}
			}()
		default:
			l.serve(c)
		}
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
	case r.asking >= maxAsking:
		r.stats.TooManyAsking++
		return false
	case time.Now().Before(r.pausedUntil):
		r.stats.Paused++
		return false
	}
	r.passing++
	r.asking++
	return true
}

func (r *Relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passing--
}

// pass passes a connection on, and reports whether it did. If it didn't, nothing
// was read. It returns when the connection has ended.
func (r *Relay) pass(caller net.Conn) bool {
	if hasLeft(caller) {
		_ = caller.Close()
		r.count(func(s *Stats) { s.Gone++ })
		r.asked()
		return true
	}
	peer, err := r.ask()
	r.asked()
	p := &pair{caller: caller, peer: peer}
	if peer != nil && r.add(p) {
		r.join(p)
		r.mu.Lock()
		delete(r.open, p)
		r.mu.Unlock()
		return true
	}
	if peer != nil {
		_ = peer.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Returned++
	switch {
	case err == nil:
	case errors.Is(err, errNoPeer):
		r.stats.NoPeer++
	case isTimeout(err):
		r.stats.Unanswered++
	default:
		r.stats.RefusedByPeer++
	}
	r.pausedUntil = time.Now().Add(returnPause)
	return false
}

// asked counts a connection as one for which no router is being asked any more.
func (r *Relay) asked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asking--
}

// ask returns a connection that another router has accepted, or why there is none.
func (r *Relay) ask() (net.Conn, error) {
	until := time.Now().Add(passTimeout)
	last := errNoPeer
	for range maxPeers {
		addr, ok := r.Peer(r.isDeclined)
		if !ok || !time.Now().Before(until) {
			return nil, last
		}
		peer, err := r.connect(addr, until)
		if err == nil {
			return peer, nil
		}
		last = err
		// The cause doesn't matter otherwise: the connection goes to another router
		// or is served here, and membership finds routers that are gone.
		if !isTimeout(err) {
			r.mu.Lock()
			r.declined[addr] = time.Now().Add(declinedTime)
			r.mu.Unlock()
		}
	}
	return nil, last
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

// isDeclined reports whether a router is passed over.
func (r *Relay) isDeclined(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.declined[addr]
	if ok && !time.Now().Before(until) {
		delete(r.declined, addr)
		return false
	}
	return ok
}

// connect returns a connection that the router at an address has accepted.
func (r *Relay) connect(addr string, until time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	peer, err := r.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	var answer [answerBytes]byte
	_ = peer.SetReadDeadline(until)
	_, err = io.ReadFull(peer, answer[:])
	if err != nil || answer[0] != accepted || int64(binary.BigEndian.Uint64(answer[1:])) < r.Version() {
		_ = peer.Close()
		return nil, errors.Join(errDeclined, err)
	}
	_ = peer.SetReadDeadline(time.Time{})
	return peer, nil
}

var (
	errDeclined = errors.New("the router declined the connection")
	errNoPeer   = errors.New("no router can be asked")
)

// join copies in both directions until the connection has ended, and ends each
// side as the other one did: a response without a length ends with its connection,
// and only a reset shows that it broke off. If the process ends, the caller sees a
// reset.
func (r *Relay) join(p *pair) {
	setLinger(p.caller, lingerReset)
	out := &peerWriter{Conn: p.peer}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		copyRequest(p, out)
	}()
	err := copyResponse(p, r.Gather)
	_ = p.caller.SetReadDeadline(time.Now().Add(lingerTime))
	if errors.Is(err, io.EOF) {
		_ = p.peer.Close()
	}
	if errors.Is(err, io.EOF) && !errors.Is(out.lastError(), syscall.ECONNRESET) {
		setLinger(p.caller, lingerOff)
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
func copyRequest(p *pair, out *peerWriter) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := p.caller.Read(buf)
		if n > 0 {
			if !p.used.Swap(true) && hasLeft(p.caller) {
				// The end of the connection came behind the request.
				reset(p.peer)
				return
			}
			_ = p.peer.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := out.Write(buf[:n]); err != nil {
				// The other router may have responded before it ended the
				// connection. The caller's bytes are read until its response
				// has been passed on.
				_, _ = io.Copy(io.Discard, p.caller)
				return
			}
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
	buf := make([]byte, bufferBytes)
	for {
		n, err := p.peer.Read(buf)
		if n > 0 {
			_ = p.caller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := p.caller.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
		if gather == nil || n == len(buf) {
			continue
		}
		if d := gather(); d > 0 {
			time.Sleep(d)
		}
	}
}

// peerWriter keeps the error of writing to a connection. The kernel reports a reset
// once, and a read after a write that got it looks like the regular end.
type peerWriter struct {
	net.Conn
	// mu is held during a write.
	mu  sync.Mutex
	err error
}

// Write implements net.Conn.
func (w *peerWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.Conn.Write(p)
	w.err = err
	return n, err
}

// lastError returns the error of the last write. It waits for one in progress.
func (w *peerWriter) lastError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
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

// PeerListener wraps the listener for connections that other routers relay. It
// closes those for which this router has no room.
func (r *Relay) PeerListener(inner net.Listener) net.Listener {
	return &peerListener{Listener: inner, relay: r}
}

type peerListener struct {
	net.Listener
	relay *Relay
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.relay.accept(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

// accept accepts a relayed connection, and reports whether it did.
func (r *Relay) accept(c net.Conn) bool {
	r.mu.Lock()
	stopped := r.stopped
	r.mu.Unlock()
	if stopped || !r.HasRoom() {
		r.count(func(s *Stats) { s.Declined++ })
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(greetTimeout))
	answer := binary.BigEndian.AppendUint64([]byte{accepted}, uint64(r.Version()))
	if _, err := c.Write(answer); err != nil {
		return false
	}
	_ = c.SetWriteDeadline(time.Time{})
	r.count(func(s *Stats) { s.Accepted++ })
	return true
}
