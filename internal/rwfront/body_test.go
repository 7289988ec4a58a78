package rwfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
)

const (
	bodyHead = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\n"
	// shortTimeout bounds the time of a body in these tests, and callerTimeout
	// that of a caller.
	shortTimeout  = 200 * time.Millisecond
	callerTimeout = 3 * time.Second
)

// serveBodies starts a handler with a short timeout for bodies.
func serveBodies(t *testing.T) *fleet {
	f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x")})
	f.front.BodyTimeout = shortTimeout
	return f
}

// connect sends bytes on a new connection and returns it.
func (f *fleet) connect(t *testing.T, request string) net.Conn {
	conn, err := f.network.Dial(t.Context(), "tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(callerTimeout)))
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	return conn
}

func (f *fleet) refusals(code rwcode.Code) string {
	if v := f.front.Metrics.Refusals.Get(code.String()); v != nil {
		return v.String()
	}
	return "0"
}

// Guards against a caller that gets no response, or a wrong reason, because its
// body isn't complete in time, against a connection that is reset while the caller
// still sends, and against one that stays open.
func TestSlowBodyIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		// sending is whether the caller goes on with its body slowly.
		sending bool
	}{
		"no body":       {bodyHead + "Content-Length: 100\r\n\r\n", false},
		"part":          {bodyHead + "Content-Length: 100\r\n\r\npart", false},
		"chunked":       {bodyHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
		"large":         {bodyHead + "Content-Length: 1000000\r\n\r\npart", false},
		"still sending": {bodyHead + "Content-Length: 100\r\n\r\npart", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := serveBodies(t)
				start := time.Now()
				conn := f.connect(t, c.request)
				sent := make(chan error, 1)
				go func() {
					var err error
					for i := 0; c.sending && err == nil && i < 10; i++ {
						time.Sleep(shortTimeout * 3 / 20)
						_, err = io.WriteString(conn, "x")
					}
					sent <- err
				}()
				responses := bufio.NewReader(conn)
				resp, err := http.ReadResponse(responses, nil)
				require.NoError(t, err, "no response after %v", time.Since(start))
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusRequestTimeout, resp.StatusCode, "%s", body)
				require.Equal(t, rwcode.SlowBody.String()+"\n", string(body))
				require.True(t, resp.Close)
				require.Equal(t, shortTimeout, time.Since(start))
				require.NoError(t, <-sent, "the connection was closed while the caller sent")
				_, err = responses.ReadByte()
				require.ErrorIs(t, err, io.EOF, "the connection is still open")
				require.Equal(t, "1", f.refusals(rwcode.SlowBody))
				require.Equal(t, "0", f.refusals(rwcode.CallerGone))
				require.Zero(t, f.runs())
			})
		})
	}
}

// Guards against a caller that has left within its body and is taken for a slow
// one.
func TestCallerLeavesWithinItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serveBodies(t)
		require.NoError(t, f.connect(t, bodyHead+"Content-Length: 100\r\n\r\npart").Close())
		synctest.Wait()
		require.Equal(t, "1", f.refusals(rwcode.CallerGone))
		require.Equal(t, "0", f.refusals(rwcode.SlowBody))
		require.Zero(t, f.runs())
	})
}

// Guards against a caller that holds a connection without bound, and gets no
// response, because its request is refused before its body, which never arrives,
// is read.
func TestRefusedRequestWithUnfinishedBodyEndsTheConnection(t *testing.T) {
	const head = "POST /unknown HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\n"
	for name, request := range map[string]string{
		"part":    head + "Content-Length: 4\r\n\r\nbo",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n",
	} {
		for _, closing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/closing=%t", name, closing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := serveBodies(t)
					f.front.CloseRefused = func() bool { return closing }
					responses := bufio.NewReader(f.connect(t, request))
					resp, err := http.ReadResponse(responses, nil)
					require.NoError(t, err, "no response")
					_, err = io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, http.StatusNotFound, resp.StatusCode)
					_, err = responses.ReadByte()
					require.ErrorIs(t, err, io.EOF, "the connection is still open")
				})
			})
		}
	}
}

// Guards against a body that crosses a full link only to be refused afterwards, and
// against a caller that returns before the load balancer sends it elsewhere.
func TestBodyThatTheLinkCantTakeIsRefusedUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serveBodies(t)
		var asked int64
		f.front.AdmitBody = func(_ context.Context, n int64, within time.Duration) bool {
			asked = n
			require.LessOrEqual(t, within, 2*time.Second)
			return false
		}
		responses := bufio.NewReader(f.connect(t, bodyHead+"Content-Length: 17000\r\n\r\n"))
		start := time.Now()
		resp, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, after, 2.0)
		require.Less(t, time.Since(start), shortTimeout, "refused at once")
		_, err = responses.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection is still open")
		require.EqualValues(t, 17000, asked)
		require.Zero(t, f.runs())
	})
}
