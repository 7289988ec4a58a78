package rwmemnetwork_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwmemnetwork"
)

// Guards against connections that don't carry HTTP in a bubble, and against time
// that doesn't advance while a goroutine waits for one.
func TestHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n rwmemnetwork.Network
		l, err := n.Listen("127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Hour)
			_, _ = io.Copy(w, r.Body)
		})}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: n.Dial}
		client := &http.Client{Transport: transport}
		body, write := io.Pipe()
		go func() {
			_, _ = io.WriteString(write, "text")
			_ = write.Close()
		}()
		begin := time.Now()
		response, err := client.Post("http://"+l.Addr().String(), "text/plain", body)
		require.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, "text", string(got))
		require.Equal(t, time.Hour, time.Since(begin))
		transport.CloseIdleConnections()
		require.NoError(t, server.Close())
	})
}

// Guards against a closed or missing listener that accepts connections or keeps
// its address.
func TestClosedListenerRefuses(t *testing.T) {
	var n rwmemnetwork.Network
	_, err := n.Dial(t.Context(), "tcp", "127.0.0.1:1")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	l, err := n.Listen("127.0.0.1:1")
	require.NoError(t, err)
	_, err = n.Listen("127.0.0.1:1")
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	dialed := make(chan error)
	go func() {
		_, err := n.Dial(t.Context(), "tcp", "127.0.0.1:1")
		dialed <- err
	}()
	conn, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, l.Addr(), conn.LocalAddr())
	require.NoError(t, <-dialed)
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = n.Dial(t.Context(), "tcp", "127.0.0.1:1")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	l, err = n.Listen("127.0.0.1:1")
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

// Guards against a dialer that waits for ever for a listener that doesn't accept.
func TestDialEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n rwmemnetwork.Network
		l, err := n.Listen("127.0.0.1:1")
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = n.Dial(ctx, "tcp", "127.0.0.1:1")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.NoError(t, l.Close())
	})
}
