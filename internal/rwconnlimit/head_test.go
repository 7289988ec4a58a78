package rwconnlimit

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
)

// sendHead sends bytes of a head without its end, and returns when they are read.
func sendHead(t *testing.T, l *Limiter, n int) (*conn, error) {
	nc, caller := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	c := l.register(nc, 100)
	go func() { _, _ = caller.Write(make([]byte, n)) }()
	for read := 0; read < n; {
		got, err := c.Read(make([]byte, 4<<10))
		if err != nil {
			return c, err
		}
		read += got
	}
	return c, nil
}

func headBytes(l *Limiter) int64 {
	held, _ := l.Memory.Held()
	return held["heads"]
}

// Guards against callers that send long heads without end until the process has no
// memory, against an ordinary head that is refused beside them, and against memory that
// stays taken once a head is complete or its connection has ended.
func TestLongHeadsTakeMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long = 100 << 10
		l := New()
		l.Memory = rwbudget.New(headCost * long)
		first, err := sendHead(t, l, long)
		require.NoError(t, err)
		require.EqualValues(t, headCost*long-includedHeadBytes, headBytes(l))
		_, err = sendHead(t, l, long)
		var timeout net.Error
		require.True(t, errors.As(err, &timeout) && timeout.Timeout(), "net/http closes the connection: %v", err)
		_, err = sendHead(t, l, includedHeadBytes)
		require.NoError(t, err, "an ordinary head")
		time.Sleep(rwbudget.StallTime)
		third, err := sendHead(t, l, long)
		require.NoError(t, err, "the first has stalled")
		_, err = first.Read(make([]byte, 1))
		require.Error(t, err, "the stalled one is closed")
		l.ConnState(third, http.StateActive)
		require.Zero(t, headBytes(l), "the head is complete")
		fourth, err := sendHead(t, l, long)
		require.NoError(t, err)
		l.ConnState(fourth, http.StateClosed)
		require.Zero(t, headBytes(l))
	})
}
