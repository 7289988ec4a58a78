package rwconnlimit

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// crowdedLimiter has connections in memory, which a server reads as net/http does.
type crowdedLimiter struct {
	*Limiter
	t       *testing.T
	maxOpen int
}

// connect opens a connection on which the caller has sent a number of bytes of a head.
func (l crowdedLimiter) connect(sent int) (*conn, net.Conn) {
	nc, caller := net.Pipe()
	c := l.register(nc, l.maxOpen)
	if c == nil {
		return nil, caller
	}
	go func() {
		for {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				_ = c.Close()
				l.ConnState(c, http.StateClosed)
				return
			}
		}
	}()
	_, err := caller.Write(make([]byte, sent))
	require.NoError(l.t, err)
	synctest.Wait()
	return c, caller
}

// Guards against callers that send nothing, or a head that never ends, and keep new ones
// out, and against the loss of a request in progress to a new connection.
func TestLongestWaitingGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crowded, maxOpen = 3, 5
		l := crowdedLimiter{New(), t, maxOpen}
		l.Crowded = crowded
		active, busy := l.connect(1)
		l.ConnState(active, http.StateActive)
		_, silent := l.connect(0)
		_, slow := l.connect(5)
		kept, idle := l.connect(1)
		requireEnded(t, silent)
		l.ConnState(kept, http.StateActive)
		time.Sleep(time.Second)
		_, last := l.connect(5)
		requireEnded(t, slow)
		l.ConnState(kept, http.StateIdle)
		time.Sleep(time.Second)
		_, next := l.connect(0)
		requireEnded(t, last)
		_, final := l.connect(0)
		requireEnded(t, idle)
		require.Equal(t, crowded, l.Open())
		require.Equal(t, Stats{Idle: 4, GaveWay: 4}, l.Stats())
		for _, caller := range []net.Conn{busy, next, final} {
			require.NoError(t, caller.Close())
		}
	})
}

func requireEnded(t *testing.T, caller net.Conn) {
	_, err := caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against new connections beyond the maximum while none of the others waits for
// its caller.
func TestActiveConnectionsDontGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxOpen = 3
		l := crowdedLimiter{New(), t, maxOpen}
		l.Crowded = 1
		var callers []net.Conn
		for range maxOpen {
			c, caller := l.connect(1)
			l.ConnState(c, http.StateActive)
			callers = append(callers, caller)
		}
		c, refused := l.connect(0)
		require.Nil(t, c)
		require.Equal(t, Stats{Unread: 1}, l.Stats())
		for _, caller := range append(callers, refused) {
			require.NoError(t, caller.Close())
		}
	})
}

// Guards against the loss of a request that has arrived and that the process hasn't read
// yet, which on a machine short of CPU time can be any.
func TestArrivedRequestDoesntGiveWay(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New()
	l.Crowded = 1
	listener := l.Listener(inner, 3)
	defer func() { _ = listener.Close() }()
	accept := func(sent string) *conn {
		caller, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
		_, err = io.WriteString(caller, sent)
		require.NoError(t, err)
		nc, err := listener.Accept()
		require.NoError(t, err)
		c, ok := nc.(*conn)
		require.True(t, ok)
		if sent != "" {
			require.Eventually(t, func() bool { return hasUnread(c.Conn) }, time.Minute, time.Millisecond)
		}
		return c
	}
	arrived := accept("GET")
	silent := accept("")
	accept("")
	require.False(t, arrived.isRetired())
	require.True(t, silent.isRetired())
	text := make([]byte, 3)
	_, err = io.ReadFull(arrived, text)
	require.NoError(t, err)
	require.Equal(t, "GET", string(text))
}

// Guards against a burst whose connections stay beyond the number from which others give
// way, so that new ones find too many open for good.
func TestBurstShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crowded, maxOpen = 3, 10
		l := crowdedLimiter{New(), t, maxOpen}
		l.Crowded = crowded
		var conns []*conn
		var callers []net.Conn
		for range maxOpen {
			c, caller := l.connect(1)
			l.ConnState(c, http.StateActive)
			conns, callers = append(conns, c), append(callers, caller)
		}
		require.Equal(t, maxOpen, l.Open())
		for _, c := range conns[1:] {
			l.Await(c)
		}
		time.Sleep(2 * shrinkInterval)
		synctest.Wait()
		require.Equal(t, crowded, l.Open())
		for _, caller := range callers {
			_ = caller.Close()
		}
		synctest.Wait()
	})
}
