package rwedge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwinflight"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwshutdown"
)

// logLine has the fields of the lines about a drain.
type logLine struct {
	Event                  rwlog.Event
	Level, Code, ID, Route string
	Upstream               *string
	After, Took, Stopping  float64
	Active, Cut, Status    int
}

// logLines returns the lines that the router has queued.
func logLines(t *testing.T, e *Edge, out *bytes.Buffer) []logLine {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, e.sink.Run(ctx))
	var lines []logLine
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var l logLine
		require.NoError(t, json.Unmarshal([]byte(text), &l), text)
		lines = append(lines, l)
	}
	return lines
}

// Guards against a log of a drain that doesn't tell when new requests were first
// refused, which request the end of the drain cut and what its caller got.
func TestDrainLogsWhatItCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := New(Config{
			Deployment: rwdeployment.Deployment{Name: "r", Zone: "z", Grace: 5 * time.Second}, Out: &out,
			Dialect: rwdialect.Dialect{Decode: func(r *http.Request) rwinboundrequest.Request {
				return rwinboundrequest.Request{ID: r.Header.Get("X-Id"), Host: r.Host, Path: r.URL.Path}
			}},
		})
		routes := []rwrouteconfig.Route{{Name: "open", Host: "h", Prefix: "/", Public: true}}
		e.published.Store(rwconfigsnapshot.New(rwrouteconfig.New(1, rwrouteconfig.Limits{}, routes, nil, nil), 1, time.Now(), nil))
		network := newTestNetwork(t)
		inner := network.serveRouter(t, e)
		// The body never arrives.
		_, err := io.WriteString(network.connect(t, inner).conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		list, _ := e.inFlight.Latest(1)
		require.Len(t, list, 1)
		require.Equal(t, "open", list[0].Route)
		time.Sleep(time.Millisecond)

		e.drain(t.Context())
		lines := logLines(t, e, &out)
		require.Len(t, lines, 5)
		refusing, cut, refused, finished := lines[1], lines[2], lines[3], lines[4]
		require.Equal(t, rwlog.StopRequested, lines[0].Event)

		require.Equal(t, rwlog.DrainRefusing, refusing.Event)
		plan := rwshutdown.New(time.Time{}, e.deployment.Grace)
		require.GreaterOrEqual(t, refusing.After, float64(plan.AcceptEnd().Sub(plan.Start()).Milliseconds()))
		require.Less(t, refusing.After, finished.Took)
		require.Equal(t, 1, refusing.Active)

		require.Equal(t, rwlog.RequestCut, cut.Event)
		require.Equal(t, "warn draining r1 open", strings.Join([]string{cut.Level, cut.Code, cut.ID, cut.Route}, " "))
		require.NotNil(t, cut.Upstream)
		require.Empty(t, *cut.Upstream)
		require.Negative(t, cut.Stopping, "the request arrived before the signal")
		cutAfter := cut.Took + cut.Stopping
		require.GreaterOrEqual(t, cutAfter, float64(plan.CancelAt().Sub(plan.Start()).Milliseconds()))
		require.Less(t, cutAfter, finished.Took)

		require.Equal(t, rwlog.RequestRefused, refused.Event)
		require.Equal(t, "draining r1", refused.Code+" "+refused.ID)
		require.Equal(t, http.StatusServiceUnavailable, refused.Status)
		require.GreaterOrEqual(t, refused.Took, cut.Took)

		require.Equal(t, rwlog.DrainFinished, finished.Event)
		require.Equal(t, 1, finished.Cut)
		require.Equal(t, "1", e.metrics.Counters.Get("drain_cut").String())
	})
}

// Guards against a flood of lines at the end of a drain, against a count that is
// bounded with them, against a list without the requests that arrived last, and
// against requests that both reports of a drain count.
func TestCutLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	e := New(Config{Deployment: rwdeployment.Deployment{Name: "r", Zone: "z"}, Out: &out})
	const requests = maxCutLines + 5
	stopped := time.Now().Add(-time.Hour)
	for i := range requests {
		e.inFlight.Add(rwinflight.Request{ID: strconv.Itoa(i), Start: stopped.Add(time.Duration(i) * time.Second)})
	}
	require.Equal(t, requests, e.reportCut(stopped))
	require.Equal(t, strconv.Itoa(requests), e.metrics.Counters.Get("drain_cut").String())
	lines := logLines(t, e, &out)
	require.Len(t, lines, maxCutLines)
	for i, l := range lines {
		last := requests - 1 - i
		require.Equal(t, strconv.Itoa(last), l.ID)
		require.InDelta(t, 1000*last, l.Stopping, 1)
	}
	out.Reset()
	e.inFlight.Add(rwinflight.Request{ID: "later", Start: time.Now()})
	require.Equal(t, 1, e.reportCut(stopped))
	require.Zero(t, e.reportCut(stopped))
	require.Equal(t, strconv.Itoa(requests+1), e.metrics.Counters.Get("drain_cut").String())
	lines = logLines(t, e, &out)
	require.Len(t, lines, 1)
	require.Equal(t, "later", lines[0].ID)
}
