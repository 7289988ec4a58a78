package rwconnlimit

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"redwingworks.example/internal/rwbudget"
)

// lateReadTimeout is how long reads go on after their deadline has passed although
// bytes had arrived.
const lateReadTimeout = 5 * time.Second

const (
	// includedHeadBytes is the part of a head that the memory of any connection includes.
	// headCost is the memory of a further byte: net/http doubles its buffer as a line
	// grows, and copies the line.
	includedHeadBytes = 16 << 10
	headCost          = 3
)

// conn is a caller's connection. To close it while it is idle, the limiter
// retires it: its reads fail, and the server closes it, once no bytes are left
// to read. Closing it directly would lose a request that the process has read
// and that the server has not reported yet.
//
// A read whose deadline has passed goes on once for each request if bytes have
// arrived: a process that was paused finds both at the same time, and the server
// would close the connection without a response, or respond to half a head.
type conn struct {
	net.Conn
	// onKept is called when the connection is not closed after all because a
	// request has arrived.
	onKept func()
	// headTimeout bounds the time from the first bytes of a request on an idle
	// connection until the server sets its own read deadline, which it does once
	// it has four bytes. Zero means no bound.
	headTimeout time.Duration

	// memory, if set, bounds the memory of heads beyond includedHeadBytes each.
	memory *rwbudget.Budget

	// place is the connection's place among those that wait for a head, or nil, and
	// givesWay whether it closes for a new one. The limiter's lock guards both.
	place    *list.Element
	givesWay bool

	mu sync.Mutex
	// headBytes is how much of a head was read since the connection was accepted or
	// became idle, or negative once the head is complete. head is what a long one has
	// of the budget.
	headBytes int64
	head      *rwbudget.Claim
	// active is whether bytes were read since the connection was accepted or
	// became idle.
	active bool
	// idleSince is when the connection became idle, or the zero time if it is
	// new or active.
	idleSince time.Time
	// retired is whether reads fail if there are no bytes to read. A connection that
	// was retired to give way can be active, but has no complete head.
	retired bool
	// excess is whether the connection was retired because too many were open.
	// It stays set during the next request if there is one.
	excess bool
	// readDeadline is the read deadline that the server has set. It applies
	// unless the connection is retired.
	readDeadline time.Time
	// aborting is whether the read deadline had passed when the server set it, to
	// end a read at once.
	aborting bool
	// deadlinePassed is whether another read deadline has passed since the
	// connection was accepted or became idle.
	deadlinePassed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		switch {
		case n > 0:
			if c.arrive() {
				c.onKept()
			}
			if !c.countHead(n) {
				// net/http closes the connection after a timeout without a response,
				// which the caller would not have waited for.
				return 0, os.ErrDeadlineExceeded
			}
			return n, err
		case errors.Is(err, os.ErrDeadlineExceeded) && c.isRetired() && hasUnread(c.Conn):
			c.arrive()
			c.onKept()
		case errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline():
		default:
			return n, err
		}
	}
}

// countHead counts bytes of a head, and reports whether there is memory for it.
func (c *conn) countHead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headBytes < 0 {
		return true
	}
	before := c.headBytes
	c.headBytes += int64(n)
	if c.headBytes <= includedHeadBytes {
		return true
	}
	if c.head == nil {
		before = 0
		c.head = c.memory.Open(time.Now(), "heads", includedHeadBytes, c.abort)
	}
	return c.head.Grow(time.Now(), headCost*(c.headBytes-before))
}

// abort makes the reads of the connection fail.
func (c *conn) abort() {
	// It fails only if the connection is closed.
	_ = c.Close()
}

// endHead returns the memory of a head. The caller must hold the lock.
func (c *conn) endHead() {
	c.headBytes = -1
	c.head.Close()
	c.head = nil
}

// endConn returns the memory of a head that never became complete.
func (c *conn) endConn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHead()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.aborting = t, !t.IsZero() && !t.After(time.Now())
	if c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// extendDeadline sets a new deadline for a read whose deadline has passed, and
// reports whether it did. Once a read has failed at its deadline, later ones fail
// too: net/http has cancelled the context of the next request then.
func (c *conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.aborting || c.deadlinePassed {
		return false
	}
	c.deadlinePassed = true
	if !hasUnread(c.Conn) {
		return false
	}
	c.readDeadline = time.Now().Add(lateReadTimeout)
	c.applyReadDeadline()
	return true
}

// CloseWrite lets http.Server close a connection without a reset that would
// discard the response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// arrive records that bytes of a request have arrived, and reports whether the
// connection was retired until now.
func (c *conn) arrive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleSince.IsZero() && c.readDeadline.IsZero() && c.headTimeout > 0 {
		c.readDeadline = time.Now().Add(c.headTimeout)
		c.applyReadDeadline()
	}
	return c.activate()
}

// reportActive records that the server has read the head of a request, and
// reports whether the connection was retired until now.
func (c *conn) reportActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHead()
	return c.activate()
}

// activate ends the idle time. The caller must hold the lock.
func (c *conn) activate() bool {
	was := c.retired
	c.active, c.idleSince, c.retired = true, time.Time{}, false
	if was {
		c.applyReadDeadline()
	}
	return was
}

// applyReadDeadline sets the read deadline of the server. The caller must hold
// the lock.
func (c *conn) applyReadDeadline() {
	// It fails only if the connection is closed; the next read reports that.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

func (c *conn) becomeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.excess, c.deadlinePassed, c.idleSince = false, false, false, now
	c.headBytes = 0
}

// retire makes reads fail once there are no bytes to read, and reports whether
// the connection was neither active nor retired. Excess says that too many
// connections are open.
func (c *conn) retire(excess bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.retired {
		return false
	}
	c.retired, c.excess = true, excess
	// It fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// giveWay makes reads fail once there are no bytes to read, and reports whether it did:
// it doesn't if bytes can be read now. A head that the process has read whole keeps the
// connection once the server reports it.
func (c *conn) giveWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || hasUnread(c.Conn) {
		return false
	}
	c.retired = true
	// It fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// state returns when the connection became idle, or the zero time, and whether
// it is retired.
func (c *conn) state() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.retired
}

func (c *conn) isRetired() bool {
	_, retired := c.state()
	return retired
}

func (c *conn) isExcess() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excess
}

// hasUnread reports whether bytes can be read from a connection at once.
func hasUnread(nc net.Conn) bool {
	if relayed, ok := nc.(interface{ HasUnread() bool }); ok {
		return relayed.HasUnread()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(sc)
	return err == nil && n > 0
}

// peek returns the number of bytes, zero or one, that can be read at once. It
// returns zero without an error at the end of the stream, EAGAIN if nothing has
// arrived, and net.ErrClosed if the connection was closed on this side.
func peek(sc syscall.Conn) (int, error) {
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var next [1]byte
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
