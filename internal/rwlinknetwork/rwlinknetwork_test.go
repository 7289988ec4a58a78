package rwlinknetwork

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	callerIP = "10.0.0.1"
	serverIP = "10.0.0.2"
	testAddr = serverIP + ":80"
	testRate = 1_000_000
)

// connect returns both ends of a connection.
func connect(t *testing.T, n *Network, window int) (caller, server net.Conn) {
	l, err := n.Listen(testAddr, window, 1)
	require.NoError(t, err)
	accepted := make(chan net.Conn)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	caller, err = n.Dial(t.Context(), callerIP, testAddr)
	require.NoError(t, err)
	// Connections that wait to be accepted end with the listener.
	server = <-accepted
	require.NoError(t, l.Close())
	return caller, server
}

// Guards against a network that is faster or slower than the links of its machines.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		n.SetRate(serverIP, testRate)
		caller, server := connect(t, &n, 0)
		start := time.Now()
		go func() {
			_, _ = caller.Write(make([]byte, testRate))
			_ = caller.Close()
		}()
		got, err := io.Copy(io.Discard, server)
		require.NoError(t, err)
		require.EqualValues(t, testRate, got)
		require.InDelta(t, 1, time.Since(start).Seconds(), 0.01)
		_, err = n.Dial(t.Context(), callerIP, testAddr)
		require.Error(t, err, "the listener is closed")
	})
}

// Guards against senders that a receiver which doesn't read can't hold back, and
// against deadlines without effect.
func TestWindowAndDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 4000
		var n Network
		caller, server := connect(t, &n, window)
		require.NoError(t, caller.SetWriteDeadline(time.Now().Add(time.Second)))
		written, err := caller.Write(make([]byte, 2*window))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, window, written)
		require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = io.ReadFull(server, make([]byte, window))
		require.NoError(t, err)
		_, err = server.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, server.Close())
		require.NoError(t, caller.SetDeadline(time.Time{}))
		_, err = caller.Write(make([]byte, 1))
		require.Error(t, err)
		_, err = caller.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against callers that wait in a listen queue without a bound.
func TestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		l, err := n.Listen(testAddr, 0, 1)
		require.NoError(t, err)
		_, err = n.Dial(t.Context(), callerIP, testAddr)
		require.NoError(t, err)
		start := time.Now()
		go func() {
			time.Sleep(time.Millisecond)
			_, _ = l.Accept()
		}()
		_, err = n.Dial(t.Context(), callerIP, testAddr)
		require.NoError(t, err)
		require.Equal(t, resendTime, time.Since(start))
		require.NoError(t, l.Close())
	})
}

// Guards against timers that end at once in virtual time: when several start at the
// same time, Go 1.26 crashes under the race detector (SIGSEGV in __tsan::SlotLock). A
// server of net/http sets a deadline in the past for each request.
func TestPassedDeadlinesAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		var conns sync.WaitGroup
		var readers atomic.Int64
		for range 30 {
			caller, server := connect(t, &n, 0)
			conns.Go(func() {
				for range 200 {
					time.Sleep(time.Millisecond)
					_ = server.SetReadDeadline(time.Unix(1, 0))
					if _, err := server.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
						readers.Add(1)
					}
				}
				_ = caller.Close()
				_ = server.Close()
			})
		}
		conns.Wait()
		require.EqualValues(t, 30*200, readers.Load())
	})
}
