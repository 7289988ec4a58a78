package rwfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconnlimit"
)

// Guards against a response without a frame that looks complete because the process
// that forwards it ended: a socket that the system or a server closes ends without a
// reset.
func TestEndOfTheServerDoesNotCompleteAnUnframedResponse(t *testing.T) {
	f := serveSockets(t, map[string]upstreamBehavior{"m": func(conn *net.TCPConn) bool {
		_, _ = io.WriteString(conn, unframedHead+streamText(2))
		time.Sleep(2 * time.Second)
		return false
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limiter := rwconnlimit.New()
	s := &http.Server{Handler: f.front, ConnState: limiter.ConnState, ConnContext: limiter.ConnContext, ReadHeaderTimeout: socketTimeout}
	go func() { _ = s.Serve(limiter.Listener(l, 100)) }()
	f.addr = l.Addr().String()
	conn := f.dial(t)
	_, err = io.WriteString(conn, requestText(http.MethodPost, "/once/x", ""))
	require.NoError(t, err)
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
	require.NoError(t, err)
	got := make([]byte, len(streamText(2)))
	_, err = io.ReadFull(resp.Body, got)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	rest, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Error(t, err, "the response looks complete after %q and %q", got, rest)
}

// Guards against a stream that broke off and looks complete because the upstream at
// which it was resumed crashed before its first event.
func TestResumedStreamWithoutEventsDoesNotLookComplete(t *testing.T) {
	f := serveSockets(t, map[string]upstreamBehavior{
		"m": finAfter(unframedHead + streamText(1) + "id: 2\nda"),
		"n": finAfter(unframedHead),
	})
	v := f.call(t, "/stream/x")
	_, arrived := f.counts("n")
	require.Equal(t, 1, arrived, "the stream was not resumed")
	require.False(t, v.success(), "framed=%t err=%v body=%q", v.framed, v.err, v.body)
}
