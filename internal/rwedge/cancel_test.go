package rwedge

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwshutdown"
)

// shortGrace is a grace period that ends before the upstream of drainedEdge does.
const shortGrace = 3 * time.Second

// hold makes the router forward requests to an upstream that never responds, and
// sends it one.
func hold(t *testing.T, network *testNetwork, e *Edge, l net.Listener) *caller {
	upstream := network.serveUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	before := e.published.Load()
	e.published.Store(rwconfigsnapshot.New(before.Config, 2, time.Now(), []rwinstance.Instance{
		{ID: "i", Service: "s", Zone: "z", Slots: 8, Addr: upstream},
	}))
	return start(t, network, e, l)
}

// start sends a request and waits until an upstream has it.
func start(t *testing.T, network *testNetwork, e *Edge, l net.Listener) *caller {
	c := network.connect(t, l)
	_, err := io.WriteString(c.conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	synctest.Wait()
	list, _ := e.inFlight.Latest(1)
	require.Len(t, list, 1)
	require.Equal(t, "i", list[0].Upstream)
	return c
}

// drainAndExit drains the router and ends it as a process does.
func drainAndExit(t *testing.T, e *Edge) time.Duration {
	begin := time.Now()
	e.drain(t.Context())
	took := time.Since(begin)
	_ = e.server.Close()
	return took
}

func (c *caller) status() int {
	resp, err := http.ReadResponse(c.responses, nil)
	require.NoError(c.t, err, "no response")
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Guards against a server whose requests are not cancelled before the end of a
// drain, so that their callers get no response.
func TestDrainRespondsToRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e, l := drainedEdge(t, network)
		e.deployment.Grace = shortGrace
		c := hold(t, network, e, l)
		drainAndExit(t, e)
		require.Equal(t, http.StatusBadGateway, c.status())
	})
}

// Guards against a drain that, on a machine short of CPU time, cancels requests
// and exits in the same step although the grace period leaves time for their
// responses.
func TestLateDrainRespondsToRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e, l := drainedEdge(t, network)
		e.deployment.Grace = shortGrace
		plan := rwshutdown.New(time.Time{}, shortGrace)
		c := hold(t, network, e, l)
		e.gossip.OnLiveChange = func() { time.Sleep(plan.End().Sub(plan.Start()) - 50*time.Millisecond) }
		took := drainAndExit(t, e)
		require.Less(t, took, shortGrace)
		require.Equal(t, http.StatusBadGateway, c.status())
	})
}

// Guards against a drain that exits as soon as it cancels requests if the whole
// process was held up until the end of the drain.
func TestLateCancellationLeavesTimeForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e := newRouteEdge(unusedAddr)
		l := network.serveRouter(t, e)
		// The body never arrives, so the connection stays open.
		_, err := io.WriteString(network.connect(t, l).conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nContent-Length: 4\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		require.EqualValues(t, 1, e.activeRequests.Load())
		plan := rwshutdown.New(time.Time{}, defaultGrace)
		begin := time.Now()
		plan = rwshutdown.New(begin.Add(-plan.End().Sub(plan.Start())), defaultGrace)
		e.follow(t.Context(), plan)
		require.GreaterOrEqual(t, time.Since(begin), plan.End().Sub(plan.CancelAt()))
		require.Less(t, time.Since(plan.Start()), defaultGrace)
		require.Equal(t, "1", e.metrics.Counters.Get("drain_cut").String())
	})
}

// Guards against a log and a counter of cut requests that miss those which the
// drain cancels just before it ends.
func TestDrainCountsTheRequestsItCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e, l := drainedEdge(t, network)
		e.deployment.Grace = shortGrace
		c := start(t, network, e, l)
		drainAndExit(t, e)
		resp, err := http.ReadResponse(c.responses, nil)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the drain didn't cut the stream")
		require.Equal(t, "1", e.metrics.Counters.Get("drain_cut").String())
	})
}

// Guards against a caller that gets no response because its body is still being
// read at the end of a drain, and against a drain that a body which never arrives
// holds up.
func TestDrainRespondsToUnfinishedBodies(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n"
	for name, request := range map[string]string{
		"no body":  head + "Content-Length: 4\r\n\r\n",
		"part":     head + "Content-Length: 4\r\n\r\nbo",
		"large":    head + "Content-Length: 1000000\r\n\r\nbo",
		"chunked":  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n",
		"continue": head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork(t)
				e := newRouteEdge(unusedAddr)
				l := network.serveRouter(t, e)
				e.deployment.Grace = shortGrace
				c := network.connect(t, l)
				_, err := io.WriteString(c.conn, request)
				require.NoError(t, err)
				synctest.Wait()
				require.EqualValues(t, 1, e.activeRequests.Load())
				took := drainAndExit(t, e)
				plan := rwshutdown.New(time.Time{}, shortGrace)
				require.GreaterOrEqual(t, took, plan.CancelAt().Sub(plan.Start()))
				require.Less(t, took, shortGrace)
				resp, err := http.ReadResponse(c.responses, nil)
				if err == nil && resp.StatusCode == http.StatusContinue {
					resp, err = http.ReadResponse(c.responses, nil)
				}
				require.NoError(t, err, "no response")
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
				require.True(t, resp.Close)
				require.Equal(t, "1", e.metrics.Refusals.Get(rwcode.Draining.String()).String())
				require.Equal(t, "1", e.metrics.Counters.Get("drain_cut").String())
			})
		})
	}
}
