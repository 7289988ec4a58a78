package rwedge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwrouteconfig"
)

const (
	// excusedTime is how long after SIGTERM callers may send requests that the
	// end of the grace period may cut.
	excusedTime = 3 * time.Second
	// longTime is how long the upstream of drainedEdge works on a request: longer
	// than what is left of the grace period after excusedTime.
	longTime = defaultGrace - excusedTime
)

// drainedEdge returns a router that serves on a listener and has one route, to
// an upstream that streams for longTime.
func drainedEdge(t *testing.T, network *testNetwork) (*Edge, net.Listener) {
	e := newRouteEdge(network.serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		const interval = 100 * time.Millisecond
		for i := range int(longTime / interval) {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(interval):
			}
		}
	}))
	e.pool.Dial = network.Dial
	return e, network.serveRouter(t, e)
}

// unusedAddr is the address of an upstream that no request reaches.
const unusedAddr = "127.0.0.1:1"

// newRouteEdge returns a router with one route, to the upstream at an address.
func newRouteEdge(upstream string) *Edge {
	e := newEdge()
	e.config.Dialect = rwdialect.Dialect{
		Decode: func(r *http.Request) rwinboundrequest.Request {
			return rwinboundrequest.Request{
				ID: r.Header.Get("X-Id"), Path: r.URL.Path, Target: r.RequestURI, Method: r.Method,
				Timeout: time.Minute, Header: http.Header{},
			}
		},
		Encode: func(rwinboundrequest.Request, rwdialect.ForwardOptions) http.Header { return http.Header{} },
		Inspect: func(*http.Response) rwdialect.ResponseInfo {
			return rwdialect.ResponseInfo{Authentic: true}
		},
	}
	e.pool.Inspect = e.config.Dialect.Inspect
	e.wireFront()
	route := rwrouteconfig.Route{
		Name: "long", Prefix: "/", Kind: rwrouteconfig.Stream, MaxAttempts: 1,
		Split: []rwrouteconfig.Weight{{Service: "s", Weight: 1}},
	}
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, []rwrouteconfig.Route{route}, []rwrouteconfig.Service{{Name: "s"}}, nil)
	e.published.Store(rwconfigsnapshot.New(config, 1, time.Now(), []rwinstance.Instance{
		{ID: "i", Service: "s", Zone: "z", Slots: 8, Addr: upstream},
	}))
	return e
}

// Guards against a drain that takes a request so late that the end of the grace
// period cuts it.
func TestDrainGivesUpNoRequestThatArrivesLate(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nContent-Length: 4\r\n\r\n"
	for name, c := range map[string]struct{ headAt, bodyAt time.Duration }{
		"request": {excusedTime + 50*time.Millisecond, excusedTime + 50*time.Millisecond},
		"body":    {time.Second, excusedTime + 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork(t)
				e, l := drainedEdge(t, network)
				// A request in progress keeps the drain from ending early.
				early := network.connect(t, l)
				_, err := io.WriteString(early.conn, head+"body")
				require.NoError(t, err)
				synctest.Wait()
				require.EqualValues(t, 1, e.activeRequests.Load())
				go func() {
					e.drain(t.Context())
					// The process exits.
					_ = e.server.Close()
				}()
				time.Sleep(c.headAt)
				late := network.connect(t, l)
				_, err = io.WriteString(late.conn, head)
				require.NoError(t, err)
				time.Sleep(c.bodyAt - c.headAt)
				// A router that has refused the request already may have closed the
				// connection.
				_, _ = io.WriteString(late.conn, "body")
				resp, err := http.ReadResponse(late.responses, nil)
				require.NoError(t, err, "no response")
				defer func() { _ = resp.Body.Close() }()
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err, "the response broke off, status %d", resp.StatusCode)
			})
		})
	}
}
