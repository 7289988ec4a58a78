package rwfront

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwconn"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwinflight"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwretrywindow"
	"redwingworks.example/internal/rwrouteconfig"
)

// dialect uses its own header names.
func dialect() rwdialect.Dialect {
	return rwdialect.Dialect{
		Decode: func(r *http.Request) rwinboundrequest.Request {
			wait, _ := time.ParseDuration(r.Header.Get("X-Wait"))
			return rwinboundrequest.Request{
				ID: r.Header.Get("X-Id"), Host: "h", Path: r.URL.Path, Target: r.RequestURI, Method: r.Method,
				Key: r.Header.Get("X-Key"), Timeout: wait, LastEventID: r.Header.Get("X-After"), Resumes: r.Header.Get("X-Resumes"), Header: http.Header{},
			}
		},
		Encode: func(q rwinboundrequest.Request, o rwdialect.ForwardOptions) http.Header {
			h := http.Header{}
			h.Set("X-Id", q.ID)
			h.Set("X-After", o.LastEventID)
			h.Set("X-Account", o.Account)
			h.Set("X-Left", o.TimeLeft.String())
			return h
		},
		Inspect: func(r *http.Response) rwdialect.ResponseInfo {
			retryAfter, _ := time.ParseDuration(r.Header.Get("X-Retry-After"))
			return rwdialect.ResponseInfo{
				RetryAfter: retryAfter, RequestID: r.Header.Get("X-Id"), NotRun: r.Header.Get("X-Notrun") != "", Authentic: r.Header.Get("X-Seal") != "",
				KeepAlive: 10 * time.Second,
			}
		},
	}
}

// fleet is a handler in front of fake upstreams on a network in memory.
type fleet struct {
	front   *Handler
	network rwmemnetwork.Network
	url     string
	client  *http.Client

	mu  sync.Mutex
	ran map[string][]string
	// timeLeft holds the remaining times that the upstreams were given.
	timeLeft []string
}

func (f *fleet) record(upstream string, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran[upstream] = append(f.ran[upstream], r.Header.Get("X-Id")+"@"+r.Header.Get("X-After"))
	f.timeLeft = append(f.timeLeft, r.Header.Get("X-Left"))
}

func (f *fleet) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, list := range f.ran {
		n += len(list)
	}
	return n
}

func routes() []rwrouteconfig.Route {
	plain := []rwrouteconfig.Weight{{Service: "plain", Weight: 1}}
	model := []rwrouteconfig.Weight{{Service: "model", Weight: 1}}
	return []rwrouteconfig.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: rwrouteconfig.Safe, Split: plain, MaxAttempts: 2, Timeout: 2 * time.Second},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: rwrouteconfig.Unsafe, Split: plain, MaxAttempts: 2, Timeout: 2 * time.Second},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: rwrouteconfig.Stream, Split: model, MaxAttempts: 2, Timeout: 2 * time.Second, Resumable: true},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: rwrouteconfig.Stream, Split: model, MaxAttempts: 2, Timeout: 2 * time.Second},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: rwrouteconfig.Safe, Split: plain, MaxAttempts: 1, Public: true},
	}
}

// serve starts a handler with one upstream for each handler function.
func serve(t *testing.T, upstreams map[string]http.HandlerFunc) *fleet {
	f := &fleet{ran: map[string][]string{}}
	// Lets the handlers of closed connections end.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	var list []rwinstance.Instance
	for _, id := range []string{"a", "b", "m", "n"} {
		h := upstreams[id]
		if h == nil {
			continue
		}
		addr := f.listen(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.record(id, r)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			h(w, r)
		})})
		service := "plain"
		if id >= "m" {
			service = "model"
		}
		list = append(list, rwinstance.Instance{
			ID: id, Service: service, Zone: "z", Slots: 6, Addr: addr,
		})
	}
	services := []rwrouteconfig.Service{{Name: "plain"}, {Name: "model", Engine: &rwrouteconfig.Engine{Slots: 4}}}
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 2 << 10}, routes(), services, map[string]rwrouteconfig.Account{"key": {Name: "acc"}})
	snapshot := rwconfigsnapshot.New(config, 1, time.Now(), list)
	pool := rwconn.New(dialect().Inspect)
	pool.Dial = f.network.Dial
	f.front = &Handler{
		Dialect: dialect(), Published: func() *rwconfigsnapshot.Snapshot { return snapshot }, Pool: pool,
		Begun: func(string, rworigin.Origin) {}, OriginUncertain: func(string) bool { return false },
		FindOrigin: func(_ context.Context, service string, _ rwplacement.Request, _ string) (rworigin.Origin, *rwfault.Fault) {
			return rworigin.Origin{Service: service}, nil
		},
		Acquire: func(_ context.Context, service string, r rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
			for _, in := range snapshot.Usable(service) {
				avoid := false
				for _, id := range r.Avoid {
					avoid = avoid || id == in.ID
				}
				if !avoid {
					return rwbroker.Grant{Instance: in}, nil
				}
			}
			return rwbroker.Grant{}, rwfault.New(rwcode.NoUpstream, service).WithRetryAfter(time.Second)
		},
		RouterCount:      func() int { return 1 },
		NewBudget:        func() *rwretrywindow.Budget { return rwretrywindow.New(0.2, 50, 10*time.Second) },
		CloseConnections: func() bool { return false }, Draining: func(time.Time) bool { return false },
		CloseRefused: func() bool { return false }, Overloaded: func(context.Context, string) string { return "" },
		Lagging: func() bool { return false }, CallerClosed: func(context.Context) bool { return false }, ResetOnClose: func(context.Context, bool) {},
		FlushDelay: func() time.Duration { return 0 },
		Zone:       "z", Log: zerolog.Nop(), Metrics: rwmetric.New(), InFlight: new(rwinflight.Table),
	}
	f.url = "http://" + f.listen(t, &http.Server{Handler: f.front})
	transport := &http.Transport{DialContext: f.network.Dial}
	t.Cleanup(transport.CloseIdleConnections)
	f.client = &http.Client{Transport: transport}
	return f
}

// listen starts a server and returns its address.
func (f *fleet) listen(t *testing.T, s *http.Server) string {
	l, err := f.network.Listen("127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// send sends a request and returns the status, the body, the header and the
// error of the request or of reading the body.
func (f *fleet) send(t *testing.T, path string, fields ...string) (int, string, http.Header, error) {
	method := http.MethodGet
	var body io.Reader
	if !strings.HasPrefix(path, "/safe") {
		method, body = http.MethodPost, strings.NewReader("order")
	}
	req, err := http.NewRequestWithContext(t.Context(), method, f.url+path, body)
	require.NoError(t, err)
	req.Header.Set("X-Id", "r1")
	req.Header.Set("X-Key", "key")
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Header, err
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Seal", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Notrun", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// events sends events with consecutive ids and then ends the stream or breaks
// it off.
func events(from, to int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Seal", "s")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func streamText(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// Guards against changing a response, and against giving an upstream the wrong
// account or more time than is left.
func TestResponseIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Account") != "acc" {
				w.WriteHeader(http.StatusTeapot)
			}
			w.Header().Set("X-Seal", "s1")
			w.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(w, "hello")
		}})
		status, body, h, err := f.send(t, "/unsafe/x", "X-Wait", "700ms")
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, status)
		require.Equal(t, "hello", body)
		require.Equal(t, "s1", h.Get("X-Seal"))
		left, err := time.ParseDuration(f.timeLeft[0])
		require.NoError(t, err)
		require.Equal(t, 700*time.Millisecond, left)
	})
}

// Guards against running an unsafe request twice, and against reporting "not
// run" after it may have run.
func TestUnsafeIsNeverRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": abort, "b": abort})
		status, _, _, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status)
		require.Equal(t, 1, f.runs())

		f = serve(t, map[string]http.HandlerFunc{"m": events(1, 3, false), "n": events(1, 3, true)})
		_, body, _, err := f.send(t, "/once/x")
		require.Error(t, err, "the stream must not look complete")
		require.Equal(t, streamText(3), body)
		require.Equal(t, 1, f.runs())
	})
}

// Guards against giving up a request although no upstream has run it.
func TestNotRunGoesToAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": notRun, "b": respond(200, "done")})
		status, body, _, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "done", body)

		f = serve(t, map[string]http.HandlerFunc{"a": notRun, "b": notRun})
		status, _, h, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, h.Get("Retry-After"))
	})
}

// Guards against not retrying a failure on another upstream, and against trying
// more upstreams than the route allows.
func TestSafeIsRepeatedWithinItsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(500, "no"), "b": respond(200, "yes")})
		for range 4 {
			status, body, _, err := f.send(t, "/safe/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "yes", body)
		}
		f = serve(t, map[string]http.HandlerFunc{"a": abort, "b": abort, "m": respond(200, "x")})
		status, _, _, err := f.send(t, "/safe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status)
		require.Equal(t, 2, f.runs())
	})
}

// Guards against changing the status or the body of an upstream's failure on
// its way to the caller.
func TestFailureIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(500, "why")})
		status, body, h, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, 500, status)
		require.Equal(t, "why", body)
		require.Equal(t, "s", h.Get("X-Seal"))
	})
}

// Guards against forwarding a success that no upstream has signed.
func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "forged")
		}})
		status, body, _, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status)
		require.NotContains(t, body, "forged")
	})
}

// Guards against a resumed stream with a missing, duplicated or partial event.
func TestStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resume := func(w http.ResponseWriter, r *http.Request) {
			var after int
			_, err := fmt.Sscan(r.Header.Get("X-After"), &after)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			// The upstream repeats the last event that the caller already has.
			events(after, 6, true)(w, r)
		}
		f := serve(t, map[string]http.HandlerFunc{"m": events(1, 3, false), "n": resume})
		status, body, _, err := f.send(t, "/stream/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, streamText(6), body)

		f = serve(t, map[string]http.HandlerFunc{"m": events(1, 3, false), "n": events(5, 6, true)})
		_, body, _, err = f.send(t, "/stream/x")
		require.Error(t, err, "event 4 is missing")
		require.Equal(t, streamText(3), body)

		f = serve(t, map[string]http.HandlerFunc{"m": events(1, 3, false), "n": respond(500, "no")})
		_, body, _, err = f.send(t, "/stream/x")
		require.Error(t, err)
		require.Equal(t, streamText(3), body)
	})
}

// Guards against refusals with the wrong status, and against holding requests
// until their deadline although they can't be served.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x")})
		start := time.Now()
		for _, c := range []struct {
			path   string
			fields []string
			status int
		}{
			{"/nowhere/x", nil, http.StatusNotFound},
			{"/safe/x", []string{"X-Key", "other"}, http.StatusUnauthorized},
			{"/safe/x", []string{"X-Id", ""}, http.StatusBadRequest},
			{"/open/x", []string{"X-Key", ""}, http.StatusOK},
			{"/stream/x", nil, http.StatusServiceUnavailable},
		} {
			status, _, h, err := f.send(t, c.path, c.fields...)
			require.NoError(t, err)
			require.Equal(t, c.status, status, c.path)
			require.Equal(t, status == http.StatusServiceUnavailable, h.Get("Retry-After") != "")
		}
		f.front.Published = func() *rwconfigsnapshot.Snapshot { return rwconfigsnapshot.New(nil, 0, time.Now(), nil) }
		status, _, _, err := f.send(t, "/nowhere/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status, "without a configuration no path is known")
		require.Zero(t, time.Since(start))
	})
}

// Guards against ignoring the published limit on request heads, and against
// refusing heads within it.
func TestLargeHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x")})
		status, _, _, err := f.send(t, "/open/x", "X-Long", strings.Repeat("x", 1800))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		status, _, _, err = f.send(t, "/open/x", "X-Long", strings.Repeat("x", 2<<10))
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
		require.Equal(t, 1, f.runs())
	})
}

// Guards against bodies above the published limit that fill the memory.
func TestLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x")})
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/open/x", strings.NewReader(strings.Repeat("x", 2<<20)))
		require.NoError(t, err)
		req.Header.Set("X-Id", "r1")
		resp, err := f.client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		require.Zero(t, f.runs())
	})
}

// Guards against holding a request past its deadline, and against reporting
// "not run" while an upstream still runs it.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}})
		start := time.Now()
		status, _, _, err := f.send(t, "/unsafe/x", "X-Wait", "100ms")
		require.NoError(t, err)
		require.Equal(t, http.StatusGatewayTimeout, status)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
	})
}

// Guards against an upstream that keeps working for a caller that has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped := make(chan struct{})
		f := serve(t, map[string]http.HandlerFunc{"a": func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(stopped)
		}})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/safe/x", nil)
		require.NoError(t, err)
		req.Header.Set("X-Id", "r1")
		req.Header.Set("X-Key", "key")
		resp, err := f.client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		var netErr net.Error
		require.True(t, errors.As(err, &netErr) && netErr.Timeout())
		select {
		case <-stopped:
		case <-time.After(5 * time.Second):
			t.Fatal("the upstream is still running the request")
		}
	})
}

// Guards against a router that is shutting down and keeps its callers'
// connections open.
func TestClosingEndsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x")})
		f.front.CloseConnections = func() bool { return true }
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+"/safe/x", nil)
		require.NoError(t, err)
		req.Header.Set("X-Id", "r1")
		req.Header.Set("X-Key", "key")
		resp, err := f.client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.True(t, resp.Close)
		f.front.Draining = func(time.Time) bool { return true }
		status, _, _, err := f.send(t, "/safe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
	})
}

// Guards against a router that forwards a request whose body arrived too late in
// a drain, and against a refusal that comes only because its head was late.
func TestDrainingRouterRefusesLateBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x")})
		checks := 0
		f.front.Draining = func(deadline time.Time) bool {
			require.Equal(t, time.Now().Add(2*time.Second), deadline)
			checks++
			return checks > 1
		}
		status, _, h, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, h.Get("Retry-After"))
		require.Equal(t, 2, checks)
		require.Zero(t, f.runs())
	})
}

// Guards against a router that ends without a final response to requests in
// progress, that claims that a request which an upstream has didn't run, and
// that ends a stream as if it were complete.
func TestShutdownEndsRequestsInProgress(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only after the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	for name, c := range map[string]struct {
		path      string
		upstream  http.HandlerFunc
		noGrant   bool
		status    int
		truncated bool
	}{
		"no grant yet":   {"/stream/x", hang, true, http.StatusServiceUnavailable, false},
		"at an upstream": {"/unsafe/x", hang, false, http.StatusBadGateway, false},
		"retryable":      {"/safe/x", hang, false, http.StatusBadGateway, false},
		"stream": {"/stream/x", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Seal", "s")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			hang(w, r)
		}, false, http.StatusOK, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := serve(t, map[string]http.HandlerFunc{"a": c.upstream, "b": c.upstream, "m": c.upstream, "n": c.upstream})
				if c.noGrant {
					f.front.Acquire = func(ctx context.Context, _ string, _ rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
						<-ctx.Done()
						return rwbroker.Grant{}, rwfault.FromContext(ctx)
					}
				}
				ctx, cancel := context.WithCancelCause(t.Context())
				f.url = "http://" + f.listen(t, &http.Server{
					Handler: f.front, BaseContext: func(net.Listener) context.Context { return ctx },
				})
				time.AfterFunc(50*time.Millisecond, func() { cancel(ShuttingDown()) })
				start := time.Now()
				status, _, h, err := f.send(t, c.path)
				require.Equal(t, 50*time.Millisecond, time.Since(start))
				require.Equal(t, c.status, status)
				if c.truncated {
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.status == http.StatusServiceUnavailable, h.Get("Retry-After") != "")
			})
		})
	}
}

// Guards against an overloaded router that holds ever more requests, and
// against refusals without a retry delay.
func TestOverloadedRouterRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x")})
		f.front.Overloaded = func(context.Context, string) string { return "router overloaded" }
		status, _, h, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, h.Get("Retry-After"))
		require.Zero(t, f.runs())
	})
}

// Guards against a lagging router that forwards requests whose callers may have
// disconnected.
func TestRouterBehindForwardsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x"), "m": events(1, 3, true)})
		f.front.Lagging = func() bool { return true }
		for _, path := range []string{"/safe/x", "/stream/x"} {
			status, _, h, err := f.send(t, path)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.NotEmpty(t, h.Get("Retry-After"))
		}
		require.Zero(t, f.runs())
	})
}

// Guards against forwarding requests whose callers closed their connections
// before a lagging router read them.
func TestNothingIsSentForACallerWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x"), "m": events(1, 3, true)})
		f.front.CallerClosed = func(context.Context) bool { return true }
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			_, _, _, err := f.send(t, path)
			require.Error(t, err, "no response is expected")
		}
		require.Zero(t, f.runs())
	})
}

// Guards against losing, duplicating or holding back events when they are
// written together.
func TestEventsGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const many, interval, delay = 30, 10 * time.Millisecond, 60 * time.Millisecond
		f := serve(t, map[string]http.HandlerFunc{"m": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Seal", "s")
			// Connections in memory have no buffer: what the router hasn't read yet
			// waits here, and is written together.
			unread := make(chan string, many)
			go func() {
				defer close(unread)
				for i := 1; i <= many; i++ {
					unread <- fmt.Sprintf("id: %d\ndata: x\n\n", i)
					time.Sleep(interval)
				}
			}()
			for text := range unread {
				for range len(unread) {
					text += <-unread
				}
				_, _ = io.WriteString(w, text)
				_ = http.NewResponseController(w).Flush()
			}
		}})
		f.front.FlushDelay = func() time.Duration { return delay }
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/stream/x", strings.NewReader("order"))
		require.NoError(t, err)
		req.Header.Set("X-Id", "r1")
		req.Header.Set("X-Key", "key")
		resp, err := f.client.Do(req)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		got, reads := "", 0
		buf := make([]byte, 4096)
		for {
			n, err := resp.Body.Read(buf)
			got += string(buf[:n])
			if n > 0 {
				reads++
			}
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err)
		}
		require.Equal(t, streamText(many), got)
		require.Less(t, reads, many/2, "events of one delay are written together")
	})
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// stopping returns the field "stopping" of the lines of the events, or nil for a
// line without it, and empties the buffer.
func (b *logBuffer) stopping(t *testing.T) map[rwlog.Event]*float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[rwlog.Event]*float64{}
	for text := range strings.SplitSeq(strings.TrimSpace(b.text.String()), "\n") {
		var line struct {
			Event    rwlog.Event
			Stopping *float64
		}
		require.NoError(t, json.Unmarshal([]byte(text), &line), text)
		out[line.Event] = line.Stopping
	}
	b.text.Reset()
	return out
}

// Guards against lines that don't tell whether a request arrived before or after
// the signal to stop, and against the field on a router that isn't stopping.
func TestLinesTellArrivalInDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": abort, "m": events(1, 3, true)})
		var log logBuffer
		f.front.Log = zerolog.New(&log)
		var closed atomic.Bool
		f.front.CallerClosed = func(context.Context) bool { return closed.Load() }
		for _, stop := range []struct {
			name     string
			stopping func() (time.Time, bool)
			// least and most bound the field in milliseconds; the field is left out
			// if both are zero.
			least, most float64
		}{
			{"never", nil, 0, 0},
			{"not yet", func() (time.Time, bool) { return time.Time{}, false }, 0, 0},
			{"before the request", func() (time.Time, bool) { return time.Now().Add(-time.Hour), true }, 3_590_000, 3_600_000},
			{"after the request", func() (time.Time, bool) { return time.Now().Add(time.Hour), true }, -3_610_000, -3_600_000},
		} {
			f.front.Stopping = stop.stopping
			for _, c := range []struct {
				path   string
				closed bool
				events []rwlog.Event
			}{
				{"/nowhere/x", false, []rwlog.Event{rwlog.RequestRefused}},
				{"/unsafe/x", false, []rwlog.Event{rwlog.RequestFailed}},
				{"/stream/x", false, []rwlog.Event{rwlog.RequestPlaced, rwlog.RequestFinished}},
				{"/unsafe/x", true, []rwlog.Event{rwlog.RequestAbandoned}},
			} {
				closed.Store(c.closed)
				_, _, _, err := f.send(t, c.path)
				require.Equal(t, c.closed, err != nil)
				lines := log.stopping(t)
				for _, e := range c.events {
					require.Contains(t, lines, e, stop.name)
					if stop.least == 0 {
						require.Nil(t, lines[e], "%s: %s", stop.name, e)
						continue
					}
					require.NotNil(t, lines[e], "%s: %s", stop.name, e)
					require.GreaterOrEqual(t, *lines[e], stop.least, "%s: %s", stop.name, e)
					require.LessOrEqual(t, *lines[e], stop.most, "%s: %s", stop.name, e)
				}
			}
		}
	})
}

// Guards against a table of the requests in progress that names an upstream
// while a request waits for one, omits the one that has it, or keeps requests
// that have ended.
func TestRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			f    *fleet
			mu   sync.Mutex
			seen []rwinflight.Request
		)
		look := func() {
			mu.Lock()
			defer mu.Unlock()
			list, total := f.front.InFlight.Latest(2)
			if total != 1 || time.Since(list[0].Start) > time.Minute {
				t.Errorf("%d requests in progress, %v", total, list)
				return
			}
			list[0].Start = time.Time{}
			seen = append(seen, list[0])
		}
		f = serve(t, map[string]http.HandlerFunc{
			"m": func(w http.ResponseWriter, r *http.Request) { look(); abort(w, r) },
			"n": func(w http.ResponseWriter, r *http.Request) { look(); events(1, 3, true)(w, r) },
		})
		acquire := f.front.Acquire
		f.front.Acquire = func(ctx context.Context, service string, r rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
			look()
			return acquire(ctx, service, r)
		}
		status, _, _, err := f.send(t, "/stream/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, []rwinflight.Request{
			{ID: "r1", Route: "stream"},
			{ID: "r1", Route: "stream", Upstream: "m"},
			{ID: "r1", Route: "stream", Sent: 1},
			{ID: "r1", Route: "stream", Upstream: "n", Sent: 1},
		}, seen)
		status, _, _, err = f.send(t, "/nowhere/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, status)
		_, total := f.front.InFlight.Latest(0)
		require.Zero(t, total)
	})
}
