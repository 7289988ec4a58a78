package rwbatch_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwengine/internal/rwbatch"
)

const step = 2 * time.Millisecond

type engine struct {
	t     *testing.T
	batch *rwbatch.Batch
	url   string
}

func start(t *testing.T, set func(*rwbatch.Batch)) engine {
	b := rwbatch.New(2, step, 4)
	if set != nil {
		set(b)
	}
	go b.Run()
	s := httptest.NewServer(b.Handler())
	t.Cleanup(s.Close)
	return engine{t, b, s.URL}
}

type response struct {
	status int
	header http.Header
	body   string
}

func (e engine) request(method, path, body string, headers ...string) *http.Request {
	req, err := http.NewRequestWithContext(e.t.Context(), method, e.url+path, strings.NewReader(body))
	require.NoError(e.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

func (e engine) do(method, path, body string, headers ...string) response {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(e.request(method, path, body, headers...))
	require.NoError(e.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		data = append(data, "broken"...)
	}
	return response{resp.StatusCode, resp.Header, string(data)}
}

func (e engine) get(path string, into any) {
	require.NoError(e.t, json.Unmarshal([]byte(e.do(http.MethodGet, path, "").body), into))
}

func (e engine) complete(tokens int, headers ...string) (int, string) {
	body := fmt.Sprintf(`{"messages":[{"content":"prefix"},{"content":"#%d"}]}`, tokens)
	headers = append([]string{"Redwing-Request", "r1", "Redwing-Account", "a", "Redwing-Kind", "k"}, headers...)
	a := e.do(http.MethodPost, "/v1/chat/completions", body, headers...)
	return a.status, a.body
}

func event(id string, i int, last bool) string {
	end := ""
	if last {
		end = fmt.Sprintf(`,"finish":"stop","usage":%d`, i+1)
	}
	return fmt.Sprintf("data: {\"id\":%q,\"index\":%d,\"text\":\"%s/%d \"%s}\n\n", id, i, id, i, end)
}

// Guards against a fault that damages less or more than its name says. Tests of
// the routers rely on each of the faults.
func TestFaults(t *testing.T) {
	one, two, three := event("r1", 0, false), event("r1", 1, false), event("r1", 2, true)
	done := "data: [DONE]\n\n"
	cases := map[string]string{
		"":          one + two + three + done,
		"truncate":  one,
		"short":     one + done,
		"abort":     one + "broken",
		"duplicate": one + two + two + three + done,
		"reorder":   one + three + two + done,
		"foreign":   one + event("other-r1", 1, false) + three + done,
		"malformed": one + "data: {\"id\":\n\n" + three + done,
		"error":     "injected error\n",
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			e := start(t, nil)
			set := e.do(http.MethodPost, "/admin/faults", fmt.Sprintf(`{"fault":%q,"after":1,"count":1}`, name))
			require.Equal(t, http.StatusNoContent, set.status)
			_, got := e.complete(3)
			require.Equal(t, want, got)
			_, got = e.complete(3)
			require.Equal(t, cases[""], got, "the fault applied to more than one request")
		})
	}
	e := start(t, nil)
	require.Equal(t, http.StatusBadRequest, e.do(http.MethodPost, "/admin/faults", `{"fault":"nonsense"}`).status)
}

// Guards against a stall that ends by itself.
func TestStall(t *testing.T) {
	e := start(t, nil)
	e.do(http.MethodPost, "/admin/faults", `{"fault":"stall","after":1}`)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/chat/completions", strings.NewReader(`{"max_tokens":3}`))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	first := event("", 0, false)
	got := make([]byte, len(first))
	_, err = io.ReadFull(resp.Body, got)
	require.NoError(t, err)
	require.Equal(t, first, string(got))
	// The time counts from the stall, not from the request: a machine may take
	// longer than that until the first token.
	time.AfterFunc(300*time.Millisecond, cancel)
	rest, err := io.ReadAll(resp.Body)
	require.ErrorIs(t, err, context.Canceled)
	require.Empty(t, rest)
}

// Guards against a resume that repeats or skips a token.
func TestResume(t *testing.T) {
	e := start(t, nil)
	_, got := e.complete(3, "Redwing-Resume", "2")
	require.Equal(t, event("r1", 2, true)+"data: [DONE]\n\n", got)
	status, _ := e.complete(3, "Redwing-Resume", "3")
	require.Equal(t, http.StatusBadRequest, status)
}

// Guards against a cancelled request that keeps its slot or looks complete.
func TestCancel(t *testing.T) {
	e := start(t, nil)
	req := e.request(http.MethodPost, "/v1/chat/completions", `{"max_tokens":4000}`, "Redwing-Request", "r9")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	require.True(t, lines.Scan())
	require.Equal(t, http.StatusNoContent, e.do(http.MethodDelete, "/v1/requests/r9", "").status)
	last := ""
	for lines.Scan() {
		last += lines.Text()
	}
	require.NotContains(t, last, "finish")
	require.NotContains(t, last, "DONE")
	require.Equal(t, http.StatusNotFound, e.do(http.MethodDelete, "/v1/requests/r9", "").status)
	var log []rwbatch.Execution
	e.get("/log", &log)
	require.True(t, log[0].Cancelled)
	require.False(t, log[0].Complete)
}

// Guards against a leaving engine that admits work.
func TestLeaving(t *testing.T) {
	e := start(t, nil)
	e.do(http.MethodPost, "/admin/state", `{"state":"leaving"}`)
	resp := e.do(http.MethodPost, "/v1/chat/completions", `{"max_tokens":1}`)
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.Equal(t, "leaving", resp.header.Get("Redwing-State"))
	e.do(http.MethodPost, "/admin/state", `{"state":"live"}`)
	status, _ := e.complete(1)
	require.Equal(t, http.StatusOK, status)
}

// Guards against an engine that accepts old fencing tokens although it should
// check them, and against one that refuses them although it should not.
func TestFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := start(t, func(b *rwbatch.Batch) { b.Fence = checks })
		send := func(fence string) int {
			return e.do(http.MethodPost, "/orders", `{"load":"m"}`, "Redwing-Fence", fence).status
		}
		require.Equal(t, http.StatusNoContent, send("7"))
		require.Equal(t, http.StatusNoContent, send("7"))
		want := http.StatusNoContent
		if checks {
			want = http.StatusPreconditionFailed
		}
		require.Equal(t, want, send("6"))
	}
}

// Guards against tokens that are counted for the wrong account, lost, or missing
// from the time buckets, and against a wrong count of cache hits.
func TestServiceAndCache(t *testing.T) {
	e := start(t, func(b *rwbatch.Batch) { b.Prefill = 50 * time.Millisecond })
	for _, want := range []time.Duration{50 * time.Millisecond, 0} {
		begin := time.Now()
		e.complete(3)
		require.GreaterOrEqual(t, time.Since(begin), want)
	}
	var got struct {
		Slots   int
		Service []struct {
			Account, Kind string
			Total         int
			Buckets       map[string]int
		}
	}
	e.get("/service", &got)
	require.Equal(t, 2, got.Slots)
	require.Len(t, got.Service, 1)
	require.Equal(t, "a/k", got.Service[0].Account+"/"+got.Service[0].Kind)
	require.Equal(t, 6, got.Service[0].Total)
	sum := 0
	for _, n := range got.Service[0].Buckets {
		sum += n
	}
	require.Equal(t, 6, sum)
	var cache struct{ Hits, Misses int }
	e.get("/cache", &cache)
	require.Equal(t, 1, cache.Hits)
	require.Equal(t, 1, cache.Misses)
}

// Guards against a load report that is more recent than the configured lag.
func TestLoadLags(t *testing.T) {
	b := rwbatch.New(2, step, 4)
	b.LoadLag = time.Hour
	s := httptest.NewServer(b.Handler())
	defer s.Close()
	e := engine{t, b, s.URL}
	b.Advance(time.Now())
	var got struct{ At time.Time }
	e.get("/load", &got)
	require.True(t, got.At.IsZero())
	b.LoadLag = 0
	e.get("/load", &got)
	require.False(t, got.At.IsZero())
}
