package rwlisten

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a listen queue in which callers wait until they are about to give
// up.
func TestBacklogBoundsWaitingConnections(t *testing.T) {
	const backlog = 4
	l, err := Listen("127.0.0.1:0", backlog, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connected := 0
	for range 4 * backlog {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
		connected++
	}
	// The system may round the number up.
	require.Less(t, connected, 4*backlog)
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, c.Close())
}

func TestListenFails(t *testing.T) {
	for _, addr := range []string{"127.0.0.1", "127.0.0.1:99999", "192.0.2.1:0"} {
		_, err := Listen(addr, 1, 0)
		require.Error(t, err, addr)
	}
	l, err := Listen("127.0.0.1:0", 1, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	_, err = Listen(l.Addr().String(), 1, 0)
	require.Error(t, err, "the port is taken")
}

// Guards against bodies that cross the machine's link although nobody reads them: the
// bound holds for connections that are not accepted yet too.
func TestReceiveBufferBoundsWhatIsSentUnread(t *testing.T) {
	const receiveBytes = 4 << 10
	l, err := Listen("127.0.0.1:0", 1, receiveBytes)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.(*net.TCPConn).SetWriteBuffer(receiveBytes))
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	n, err := c.Write(make([]byte, 1<<20))
	require.Error(t, err)
	// The system doubles both buffers for its own needs.
	require.LessOrEqual(t, n, 8*receiveBytes)
}

// Guards against connections whose receive buffers grow with what their callers send.
func TestLimitReceiveBuffer(t *testing.T) {
	const receiveBytes = 16 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	require.NoError(t, LimitReceiveBuffer(l, receiveBytes))
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	c, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	sc, ok := c.(syscall.Conn)
	require.True(t, ok)
	raw, err := sc.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
		require.NoError(t, err)
		require.LessOrEqual(t, n, 2*receiveBytes, "Linux doubles the size")
	}))
}

// Guards against a system that takes a whole response although nobody reads it, so that
// its writer can't tell that its peer has stopped.
func TestLimitUnsent(t *testing.T) {
	const unsentBytes, response = 16 << 10, 8 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	l = LimitUnsent(l, unsentBytes)
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	require.NoError(t, caller.(*net.TCPConn).SetReadBuffer(4<<10))
	c, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	n, err := c.Write(make([]byte, response))
	require.Error(t, err)
	require.Less(t, n, 512<<10, "the caller's window, and what isn't sent")
}
