// Package rwconnlimit limits the open connections of callers. Callers retry on
// new connections, so in a flood of refusals their old ones add up until the
// router runs out of file descriptors. Others open connections and send nothing, or
// a request a few bytes at a time.
package rwconnlimit

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"redwingworks.example/internal/rwbudget"
)

// Limiter tracks the open connections that its listener has accepted.
type Limiter struct {
	// HeadTimeout, if set before the listener accepts, bounds the time from the
	// first bytes of a request on an idle connection until the server's own
	// timeout for the head applies.
	HeadTimeout time.Duration
	// Memory, if set before the listener accepts, bounds the memory of long heads.
	Memory *rwbudget.Budget
	// Crowded, if set before the listener accepts, is the number of open connections
	// from which a new one takes the place of the one that has waited longest for the
	// head of a request. It has to be below the maximum of the listener by the number
	// of connections that may close at the same time.
	Crowded int

	mu    sync.Mutex
	conns map[*conn]struct{}
	// waiting holds the connections that wait for the head of a request, the longest
	// waiting first, without those that give way.
	waiting *list.List
	// givingWay is the number of open connections that close for new ones.
	givingWay int
	// shrinking is whether a call of shrink is due.
	shrinking bool
	// stopping is whether new connections are closed at once, and open ones as
	// soon as they are not active.
	stopping bool
	stats    Stats
}

// Stats counts what a limiter did since its start.
type Stats struct {
	// Unread is the number of new connections that were closed unread.
	Unread int64
	// Idle is the number of connections that ended after they were chosen to be
	// closed, also if GaveWay counts them. Kept is how often a chosen one was not
	// closed after all because a request had arrived.
	Idle, Kept int64
	// GaveWay is the number of connections that were chosen to be closed for new ones
	// while they waited for the head of a request.
	GaveWay int64
}

const (
	// maxTried bounds the waiting connections that are tried for a new one: each costs a
	// system call.
	maxTried = 8
	// shrinkInterval is the time until more connections than Crowded are looked at again.
	shrinkInterval = 100 * time.Millisecond
)

// New returns a limiter without connections.
func New() *Limiter { return &Limiter{conns: map[*conn]struct{}{}, waiting: list.New()} }

// Stats returns the counts since the start.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// ConnState is the ConnState hook of an http.Server that serves the limiter's
// listener.
func (l *Limiter) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		// Registered by Accept.
	case http.StateActive:
		if c.reportActive() {
			l.stats.Kept++
		}
		l.stopWaiting(c)
	case http.StateIdle:
		c.becomeIdle(time.Now())
		l.await(c)
		if l.stopping {
			c.retire(false)
		}
	case http.StateHijacked, http.StateClosed:
		if _, ok := l.conns[c]; ok && c.isRetired() {
			l.stats.Idle++
		}
		c.endConn()
		l.stopWaiting(c)
		delete(l.conns, c)
	}
}

// Await records that a connection without a request in progress waits for one, as
// http.StateIdle does, but doesn't let CloseIdle choose it. It is for HTTP/2.
func (l *Limiter) Await(nc net.Conn) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		l.await(c)
	}
}

// await records that a connection waits for the head of a request from now on. The
// caller must hold the lock.
func (l *Limiter) await(c *conn) {
	l.stopWaiting(c)
	c.place = l.waiting.PushBack(c)
	if l.excess() > 0 && !l.shrinking {
		l.shrinking = true
		time.AfterFunc(shrinkInterval, l.shrink)
	}
}

// excess returns the number of open connections beyond Crowded. The caller must hold the
// lock.
func (l *Limiter) excess() int {
	if l.Crowded == 0 || l.stopping {
		return 0
	}
	return len(l.conns) - l.givingWay - l.Crowded
}

// shrink lets the connections beyond Crowded give way if they wait for their callers. In
// a burst more are accepted, since unread bytes have arrived on the others, and none
// might come any more that takes the place of one.
func (l *Limiter) shrink() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shrinking = false
	l.giveWay(l.excess(), l.waiting.Len())
	if l.excess() > 0 && l.waiting.Len() > 0 {
		l.shrinking = true
		time.AfterFunc(shrinkInterval, l.shrink)
	}
}

// stopWaiting records that a connection doesn't wait any more. The caller must hold the
// lock.
func (l *Limiter) stopWaiting(c *conn) {
	if c.place != nil {
		l.waiting.Remove(c.place)
		c.place = nil
	}
	if c.givesWay {
		c.givesWay = false
		l.givingWay--
	}
}

// giveWay lets up to most connections give way of those that have waited longest for the
// head of a request, and tries a number of them. Those on which bytes have arrived wait
// for this process, not for their callers, so they begin to wait anew. The caller must
// hold the lock.
func (l *Limiter) giveWay(most, tries int) {
	for ; most > 0 && tries > 0 && l.waiting.Len() > 0; tries-- {
		front := l.waiting.Front()
		c, _ := front.Value.(*conn)
		if !c.giveWay() {
			l.waiting.MoveToBack(front)
			continue
		}
		l.waiting.Remove(front)
		c.place, c.givesWay = nil, true
		l.givingWay++
		l.stats.GaveWay++
		most--
	}
}

type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server. CallerClosed and Excess
// need it.
func (l *Limiter) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Accepted returns the connection of the request with this context as the listener
// below accepted it, or nil if it is not known.
func Accepted(ctx context.Context) net.Conn {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.Conn
	}
	return nil
}

// Excess reports whether the connection of a request was to be closed because
// too many were open, and was kept only because the request had arrived.
func Excess(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.isExcess()
}

// CallerClosed reports whether the caller of a request has closed its
// connection, even if net/http has not noticed yet: a router that reads late
// finds the end of the connection right after the request, and would forward
// the request in the milliseconds before its context is cancelled. It returns
// false if the state is not known.
func CallerClosed(ctx context.Context) bool {
	nc := ctx.Value(connKey{})
	if c, ok := nc.(*conn); ok {
		nc = c.Conn
	}
	if relayed, ok := nc.(interface{ HasEnded() bool }); ok {
		return relayed.HasEnded()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(sc)
	return (err == nil && n == 0) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// ResetOnClose sets whether the connection of the request with this context ends with
// a reset when it is closed, also if the process ends. Without it, the caller of a
// response that ends with its connection takes a broken response for a complete one.
// A reset may lose data that the caller has not received yet.
func ResetOnClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	const off = -1
	seconds := off
	if reset {
		seconds = 0
	}
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// It fails only if the connection is closed.
		_ = l.SetLinger(seconds)
	}
}

// Listener wraps a listener so that it closes new connections at once while at
// least a maximum number are open. Their callers see that nothing was read and
// retry on another router, and unread bytes in sockets don't add to this
// router's memory. From the field Crowded on, connections that wait for their
// callers give way before.
func (l *Limiter) Listener(inner net.Listener, maxOpen int) net.Listener {
	return &limitedListener{Listener: inner, limiter: l, maxOpen: maxOpen}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
	maxOpen int
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.register(nc, l.maxOpen); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// register tracks a new connection. It returns nil if the connection must be
// closed.
func (l *Limiter) register(nc net.Conn, maxOpen int) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Crowded > 0 && l.excess() >= 0 {
		l.giveWay(1, maxTried)
	}
	if l.stopping || len(l.conns) >= maxOpen {
		l.stats.Unread++
		return nil
	}
	c := &conn{Conn: nc, headTimeout: l.HeadTimeout, memory: l.Memory}
	c.onKept = func() { l.keep(c) }
	l.conns[c] = struct{}{}
	l.await(c)
	return c
}

// keep records that a connection which was to be closed is not, since a request has
// arrived.
func (l *Limiter) keep(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Kept++
	if c.givesWay {
		l.await(c)
	}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// CloseIdle closes connections that have been idle longer than a limit, and
// beyond a maximum number of connections also those that have been idle
// longest. A connection whose next request has arrived is not closed, even if
// the process has not read it yet. A request of which only the first byte has
// arrived before the response to the previous one was complete doesn't count.
// CloseIdle returns the number of connections that it chose; they close soon
// afterwards.
func (l *Limiter) CloseIdle(now time.Time, limit time.Duration, maxOpen int) int {
	type idleConn struct {
		*conn
		since time.Time
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle []idleConn
	open := 0
	for c := range l.conns {
		since, retired := c.state()
		if retired {
			continue
		}
		open++
		if !since.IsZero() {
			idle = append(idle, idleConn{c, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	chosen := 0
	for _, c := range idle {
		expired := now.Sub(c.since) >= limit
		if !expired && open <= maxOpen {
			break
		}
		if c.retire(!expired) {
			open--
			chosen++
		}
	}
	return chosen
}

// Stop closes new connections at once and open ones as soon as no request is
// in progress or has arrived on them.
func (l *Limiter) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	for c := range l.conns {
		c.retire(false)
	}
}
