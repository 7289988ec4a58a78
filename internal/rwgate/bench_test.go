package rwgate

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwentry"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslot"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwupstream"
)

// tokens is the length of an average response (section 1 of the design).
const tokens = 314

// testEngine streams the number of chunks that follows "#" in the body, with a
// flush after each. It allocates little, so that allocations of the router
// dominate.
func testEngine(cancelled *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled.Add(1)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, length, _ := strings.Cut(string(body), "#")
		n, _ := strconv.Atoi(length[:strings.IndexByte(length, '"')])
		id := r.Header.Get("Redwing-Request")
		w.Header().Set("Redwing-Request", id)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		var line []byte
		for i := range n {
			line = append(line[:0], `data: {"id":"`...)
			line = append(line, id...)
			line = append(line, `","index":`...)
			line = strconv.AppendInt(line, int64(i), 10)
			line = append(line, `,"text":" token"`...)
			if i == n-1 {
				line = append(line, `,"finish":"stop"`...)
			}
			line = append(line, "}\n\n"...)
			if _, err := w.Write(line); err != nil {
				return
			}
			_ = control.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// path is the request path of a router, without scheduling, and a test engine,
// connected over loopback.
type path struct {
	router, engine *httptest.Server
	cancelled      atomic.Int64
	done           chan rwcode.Code
}

func newPath(tb testing.TB) *path {
	p := &path{done: make(chan rwcode.Code, 1)}
	p.engine = httptest.NewServer(testEngine(&p.cancelled))
	tb.Cleanup(p.engine.Close)
	u := rwupstream.Upstream{Name: "e1", Pools: []string{"drafter"}, Addr: p.engine.Listener.Addr().String(), Engine: true}
	view := snapshot().WithUpstreams([]rwupstream.Upstream{u})
	d := rwdispatch.New()
	runner := &rwentry.Runner{
		Acquire: func(context.Context, *rwrequest.Request) (*rwslot.Slot, error) {
			return &rwslot.Slot{
				Upstream:   u,
				Expires:    time.Now().Add(time.Second),
				ReportCost: func(float64) {},
				Done: func(_ float64, _, _ time.Duration, c rwcode.Code) {
					select {
					case p.done <- c:
					default:
					}
				},
			}, nil
		},
		Call:       d.Call,
		Stream:     d.Stream,
		AllowRetry: func(*rwfault.Fault) bool { return false },
		Now:        time.Now,
	}
	g := &Gate{
		ID: "bench", Snapshot: func() *rwsnapshot.Snapshot { return view },
		RunInference: runner.RunInference, RunCall: runner.RunCall,
		Ready:       func() bool { return true },
		ReportFault: func(*rwfault.Fault) {},
		Now:         time.Now,
	}
	p.router = httptest.NewUnstartedServer(nil)
	p.router.Config = g.Server()
	p.router.Start()
	tb.Cleanup(p.router.Close)
	return p
}

func (p *path) request(ctx context.Context, tb testing.TB, url string, n int) *http.Request {
	body := fmt.Sprintf(`{"model":"drafter","stream":true,"messages":[{"content":"x#%d"}]}`, n)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+chatPath, strings.NewReader(body))
	require.NoError(tb, err)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Redwing-Kind", "draft")
	r.Header.Set("Redwing-Request", "direct-1")
	return r
}

// read reads a stream and fails unless it is complete and has n chunks.
func (p *path) read(tb testing.TB, c *http.Client, url string, n int) {
	resp, err := c.Do(p.request(tb.Context(), tb, url, n))
	require.NoError(tb, err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	chunks, complete := 0, false
	for lines.Scan() {
		switch line := lines.Bytes(); {
		case bytes.HasPrefix(line, []byte("data: {")):
			chunks++
		case string(line) == "data: [DONE]":
			complete = true
		}
	}
	if chunks != n || !complete {
		tb.Fatalf("%d of %d chunks, complete %v, status %s", chunks, n, complete, resp.Status)
	}
}

// BenchmarkStream compares a call through the router with a direct call to the
// engine. Both include the costs of the client and the engine. The costs per
// chunk are the difference between an average response and one of a single
// chunk, divided by the number of additional chunks.
func BenchmarkStream(b *testing.B) {
	for _, name := range []string{"direct", "router"} {
		b.Run(name, func(b *testing.B) {
			p := newPath(b)
			url := p.engine.URL
			if name == "router" {
				url = p.router.URL
			}
			c := p.router.Client()
			measure := func(n, requests int) (allocs, ns float64) {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				for range requests {
					p.read(b, c, url, n)
				}
				elapsed := time.Since(start)
				runtime.ReadMemStats(&after)
				return float64(after.Mallocs-before.Mallocs) / float64(requests), float64(elapsed.Nanoseconds()) / float64(requests)
			}
			measure(tokens, 10)
			b.ResetTimer()
			short, shortTime := measure(1, b.N)
			long, longTime := measure(tokens, b.N)
			b.ReportMetric(short, "allocs/request")
			b.ReportMetric((long-short)/(tokens-1), "allocs/chunk")
			b.ReportMetric(shortTime, "ns/request")
			b.ReportMetric((longTime-shortTime)/(tokens-1), "ns/chunk")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Guards against a request that continues to run on the engine after the caller
// disconnected, with the real packages from the gate to the dispatcher: each of
// them may pass its own tests and still not work with the others.
func TestCallerDisconnectsOnRealPath(t *testing.T) {
	p := newPath(t)
	p.read(t, p.router.Client(), p.router.URL, tokens)
	require.Equal(t, rwcode.None, <-p.done)
	ctx, disconnect := context.WithCancel(t.Context())
	resp, err := p.router.Client().Do(p.request(ctx, t, p.router.URL, 1<<30))
	require.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	disconnect()
	_ = resp.Body.Close()
	require.Equal(t, rwcode.CallerGone, <-p.done)
	require.Eventually(t, func() bool { return p.cancelled.Load() == 1 }, 5*time.Second, time.Millisecond)
}
