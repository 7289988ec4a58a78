package rwplatformclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwplatformclient"
)

const (
	// maxBodyBytes is how much of a response the client may read.
	maxBodyBytes = 16 << 20
	// endlessBytes stands for a body without end, so that a client without a
	// bound ends too.
	endlessBytes = 2 * maxBodyBytes
)

// countingBody counts the bytes that were read.
type countingBody struct {
	io.Reader
	read int
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += n
	return n, err
}

func (b *countingBody) Close() error { return nil }

// roundTripper is a transport without a network.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// clientFor returns a client that gets the body in each response.
func clientFor(status int, body io.ReadCloser) *rwplatformclient.Client {
	return rwplatformclient.New("http://127.0.0.1:1/", &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		return &http.Response{
			StatusCode: status, Status: http.StatusText(status), ContentLength: -1, Body: body, Request: r,
			ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		}, nil
	})})
}

// listing returns a listing of one record with the given length.
func listing(length int) string {
	const head, tail = `{"rev":1,"items":[{"kind":"account","name":"a","rev":1,"schema":1,"value":"`, `"}]}`
	return head + strings.Repeat("x", length-len(head)-len(tail)) + tail
}

// Guards against a router that reads a response without end into memory, or
// accepts one that is too large.
func TestResponseIsBounded(t *testing.T) {
	endless := strings.Repeat(" ", endlessBytes)
	for _, c := range []struct {
		name   string
		status int
		body   string
		code   rwcode.Code
	}{
		{"largest listing", http.StatusOK, listing(maxBodyBytes), rwcode.None},
		{"larger listing", http.StatusOK, listing(maxBodyBytes + 1), rwcode.PlatformMalformed},
		{"value without end", http.StatusOK, strings.TrimSuffix(listing(endlessBytes), `"}]}`), rwcode.PlatformMalformed},
		{"white space without end", http.StatusOK, endless, rwcode.PlatformMalformed},
		{"white space without end after the listing", http.StatusOK, listing(100) + endless, rwcode.None},
		{"error without end", http.StatusServiceUnavailable, endless, rwcode.PlatformDown},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := &countingBody{Reader: strings.NewReader(c.body)}
			items, err := clientFor(c.status, body).Read(t.Context())
			if c.code == rwcode.None {
				require.NoError(t, err)
				require.Len(t, items, 1)
			} else {
				require.True(t, rwfault.Is(err, c.code), "%v", err)
			}
			// One byte more shows that the body is longer.
			require.LessOrEqual(t, body.read, maxBodyBytes+1)
		})
	}
}

// Guards against an empty response that is taken for a listing without records, and
// against an answer to a watch that makes the caller watch again at once.
func TestEmptyResponseIsNoListing(t *testing.T) {
	for _, length := range []int64{0, -1} {
		c := rwplatformclient.New("http://127.0.0.1:1/", &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			return &http.Response{
				StatusCode: http.StatusOK, ContentLength: length, Body: http.NoBody, Request: r,
				ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
			}, nil
		})})
		_, err := c.Read(t.Context())
		require.True(t, rwfault.Is(err, rwcode.PlatformMalformed), "length %d: %v", length, err)
		_, err = c.Watch(t.Context(), 1, time.Second)
		require.True(t, rwfault.Is(err, rwcode.PlatformMalformed), "length %d: %v", length, err)
	}
}

// Guards against a new connection for each call, which a response that is not
// read to its end would cause.
func TestCallsReuseTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network rwmemnetwork.Network
		l, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		var calls, dials atomic.Int64
		s := httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1)%2 == 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = io.WriteString(w, listing(100))
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "\n")
		})}}
		s.Start()
		defer s.Close()
		transport := &http.Transport{DialContext: func(ctx context.Context, protocol, addr string) (net.Conn, error) {
			dials.Add(1)
			return network.Dial(ctx, protocol, addr)
		}}
		defer transport.CloseIdleConnections()
		c := rwplatformclient.New("http://"+l.Addr().String()+"/", &http.Client{Transport: transport})
		for i := range 6 {
			_, err := c.Read(t.Context())
			require.Equal(t, i%2 == 1, rwfault.Is(err, rwcode.PlatformDown), "%v", err)
		}
		require.Equal(t, int64(1), dials.Load())
	})
}
