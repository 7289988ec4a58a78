// Package rwconnlimit limits the open connections of callers. Callers retry on
// new connections, so in a flood of refusals their old ones add up until the
// router runs out of file descriptors.
package rwconnlimit

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limiter tracks the open connections of callers.
type Limiter struct {
	mu sync.Mutex
	// idleSince is when each connection became idle, or the zero time if it is
	// active.
	idleSince map[net.Conn]time.Time
	// closing holds the connections that CloseIdle has closed and that are not
	// reported as closed yet.
	closing map[net.Conn]struct{}
	stats   Stats
}

// Stats counts what a limiter did since its start.
type Stats struct {
	// Turned is the number of new connections that were closed unread because
	// too many were open.
	Turned int64
	// Closed is the number of idle connections that were closed; Crossed is how
	// many of them had a request that the process had read.
	Closed, Crossed int64
}

// New returns a limiter without connections.
func New() *Limiter {
	return &Limiter{idleSince: map[net.Conn]time.Time{}, closing: map[net.Conn]struct{}{}}
}

// Stats returns the counts since the start.
func (c *Limiter) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// ConnState is the ConnState hook of an http.Server.
func (c *Limiter) ConnState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		c.idleSince[conn] = time.Time{}
		if _, ok := c.closing[conn]; ok {
			c.stats.Crossed++
		}
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateHijacked, http.StateClosed:
		delete(c.idleSince, conn)
		delete(c.closing, conn)
	}
}

type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server. CallerClosed needs it.
func (c *Limiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerClosed reports whether the caller of a request has closed its
// connection, even if net/http has not noticed yet: a router that reads late
// finds the end of the connection right after the request, and would forward
// the request in the milliseconds before its context is cancelled. It returns
// false if the state is not known.
func CallerClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (err == nil && n == 0) || err == unix.ECONNRESET
	})
	// The connection was closed on this side.
	return closed || err != nil
}

// Listener wraps a listener so that it closes new connections at once while at
// least a maximum number are open. Their callers see that nothing was read and
// retry on another router, and unread bytes in sockets don't add to this
// router's memory.
func (c *Limiter) Listener(l net.Listener, maxOpen int) net.Listener {
	return &limitedListener{Listener: l, limiter: c, maxOpen: maxOpen}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
	maxOpen int
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.limiter.Open() < l.maxOpen {
			return conn, err
		}
		_ = conn.Close()
		l.limiter.countTurned()
	}
}

func (c *Limiter) countTurned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Turned++
}

// Open returns the number of open connections.
func (c *Limiter) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// CloseIdle closes connections that have been idle longer than a limit, and
// beyond a maximum number of connections also those that have been idle
// longest. It returns the number closed.
func (c *Limiter) CloseIdle(now time.Time, limit time.Duration, maxOpen int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []net.Conn
	for conn, since := range c.idleSince {
		if !since.IsZero() {
			idle = append(idle, conn)
		}
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return c.idleSince[a].Compare(c.idleSince[b]) })
	closed := 0
	for _, conn := range idle {
		if now.Sub(c.idleSince[conn]) < limit && len(c.idleSince) <= maxOpen {
			break
		}
		_ = conn.Close()
		delete(c.idleSince, conn)
		c.closing[conn] = struct{}{}
		c.stats.Closed++
		closed++
	}
	return closed
}
