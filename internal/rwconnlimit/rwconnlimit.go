// Package rwconnlimit keeps the connections of callers within bounds. Callers
// retry on new connections, so in a flood of refusals their old ones add up
// until a router has no descriptors left.
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

// Limiter are the open connections of callers.
type Limiter struct {
	mu sync.Mutex
	// idleSince holds when a connection became idle; busy ones have the zero time.
	idleSince map[net.Conn]time.Time
}

// New returns an empty set.
func New() *Limiter { return &Limiter{idleSince: map[net.Conn]time.Time{}} }

// ConnState is the ConnState hook of an http.Server.
func (c *Limiter) ConnState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		c.idleSince[conn] = time.Time{}
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateHijacked, http.StateClosed:
		delete(c.idleSince, conn)
	}
}

type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server. Left needs it.
func (c *Limiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerClosed reports whether the caller of a request has closed its connection, also
// if net/http has not noticed yet: a router that reads late finds the end of the
// connection right behind the request, and forwards the request in the
// milliseconds before its context ends. It is false if that can't be known.
func CallerClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = (err == nil && n == 0) || err == unix.ECONNRESET
	})
	// The connection was closed on this side.
	return left || err != nil
}

// Listener returns a listener that closes new connections at once while more than
// a number are open. Their callers know that nothing was read and go to another
// router; bytes that wait unread in the sockets would count as this router's
// memory.
func (c *Limiter) Listener(l net.Listener, most int) net.Listener {
	return &limitedListener{Listener: l, limiter: c, maxOpen: most}
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
	}
}

// Open is the number of open connections.
func (c *Limiter) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// CloseIdle closes connections that are idle for longer than a limit, and beyond a
// number of connections those that are idle for longest. It returns how many.
func (c *Limiter) CloseIdle(now time.Time, limit time.Duration, most int) int {
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
		if now.Sub(c.idleSince[conn]) < limit && len(c.idleSince) <= most {
			break
		}
		_ = conn.Close()
		delete(c.idleSince, conn)
		closed++
	}
	return closed
}
