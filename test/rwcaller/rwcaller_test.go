package rwcaller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwverdict"
)

const (
	first  = "data: {\"id\":\"r1\",\"index\":0,\"text\":\"r1/0 \"}\n\n"
	second = "data: {\"id\":\"r1\",\"index\":1,\"text\":\"r1/1 \",\"finish\":\"stop\",\"usage\":2}\n\n"
	done   = "data: [DONE]\n\n"
)

func server(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func one(addr string) func(string, ...string) string {
	return func(string, ...string) string { return addr }
}

// Guards against a checker that accepts a damaged stream. Each case is a stream
// that a faulty router could send.
func TestStreamVerdicts(t *testing.T) {
	cases := map[string]struct {
		body string
		want rwverdict.Verdict
	}{
		"complete":            {first + second + done, rwverdict.Complete},
		"truncated":           {first, rwverdict.Broken},
		"truncated with mark": {first + done, rwverdict.Wrong},
		"duplicated":          {first + first + second + done, rwverdict.Wrong},
		"reordered":           {second + first + done, rwverdict.Wrong},
		"too long":            {first + second + strings.Replace(second, "1", "2", 2) + done, rwverdict.Wrong},
		"another request":     {strings.ReplaceAll(first+second, "r1", "r2") + done, rwverdict.Wrong},
		"another text":        {first + strings.Replace(second, "r1/1", "r2/1", 1) + done, rwverdict.Wrong},
		"malformed":           {"data: {\"id\"\n\n" + done, rwverdict.Wrong},
		"error event":         {first + "event: error\ndata: {\"error\":{\"code\":\"upstream_truncated\",\"outcome\":\"unknown\"}}\n\n", rwverdict.Refused},
		"malformed error":     {first + "event: error\ndata: {}\n\n", rwverdict.Wrong},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr := server(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Redwing-Request", "r1")
				_, _ = io.WriteString(w, c.body)
			})
			caller := rwcaller.New(one(addr), 0)
			defer caller.Close()
			a := caller.Send(context.Background(), rwjob.Job{Engine: true, Stream: true, Tokens: 2})
			require.Equal(t, c.want, a.Verdict, a.Detail)
		})
	}
}

// Guards against accepting a non-streaming response that is too short or
// belongs to another request.
func TestTextVerdicts(t *testing.T) {
	cases := map[string]struct {
		body string
		want rwverdict.Verdict
	}{
		"complete":        {`{"id":"r1","text":"r1/0 r1/1 ","usage":2}`, rwverdict.Complete},
		"too short":       {`{"id":"r1","text":"r1/0 ","usage":1}`, rwverdict.Wrong},
		"another request": {`{"id":"r1","text":"r2/0 r2/1 ","usage":2}`, rwverdict.Wrong},
		"malformed":       {`{"id":"r1","text":"r1/0 r1`, rwverdict.Wrong},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr := server(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Redwing-Request", "r1")
				_, _ = io.WriteString(w, c.body)
			})
			caller := rwcaller.New(one(addr), 0)
			defer caller.Close()
			a := caller.Send(context.Background(), rwjob.Job{Engine: true, Tokens: 2})
			require.Equal(t, c.want, a.Verdict, a.Detail)
		})
	}
}

// Guards against accepting the response of another call, and an error that
// doesn't say whether the call was executed.
func TestServiceVerdicts(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   rwverdict.Verdict
	}{
		"complete":     {200, `{"request":"r1","key":"k","echo":"b"}`, rwverdict.Complete},
		"another body": {200, `{"request":"r1","key":"k","echo":"c"}`, rwverdict.Wrong},
		"another key":  {200, `{"request":"r1","key":"l","echo":"b"}`, rwverdict.Wrong},
		"refused":      {503, `{"error":{"code":"no_upstream","outcome":"not_run"}}`, rwverdict.Refused},
		"no outcome":   {503, `{"error":{"code":"no_upstream"}}`, rwverdict.Wrong},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr := server(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Redwing-Request", "r1")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			caller := rwcaller.New(one(addr), 0)
			defer caller.Close()
			a := caller.Send(context.Background(), rwjob.Job{Key: "k", Body: "b"})
			require.Equal(t, c.want, a.Verdict, a.Detail)
		})
	}
}

// Guards against accepting the same response for two requests.
func TestDuplicateRequestID(t *testing.T) {
	addr := server(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Redwing-Request", "r1")
		_, _ = io.WriteString(w, first+second+done)
	})
	caller := rwcaller.New(one(addr), 0)
	defer caller.Close()
	job := rwjob.Job{Engine: true, Stream: true, Tokens: 2}
	require.Equal(t, rwverdict.Complete, caller.Send(context.Background(), job).Verdict)
	require.Equal(t, rwverdict.Wrong, caller.Send(context.Background(), job).Verdict)
}

// Guards against a retry with another key, through the same router, or of a
// request without a key.
func TestRetries(t *testing.T) {
	var keys []string
	respond := func(w http.ResponseWriter, r *http.Request) {
		keys = append(keys, r.Header.Get("Idempotency-Key"))
		w.Header().Set("Redwing-Request", "r1")
		if len(keys) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"key_held","outcome":"unknown"}}`)
			return
		}
		_, _ = io.WriteString(w, `{"request":"r1","key":"k","echo":"b"}`)
	}
	a, b := server(t, respond), server(t, respond)
	pick := func(_ string, avoid ...string) string {
		if len(avoid) > 0 && avoid[0] == a {
			return b
		}
		return a
	}
	caller := rwcaller.New(pick, 3)
	defer caller.Close()
	got := caller.Send(context.Background(), rwjob.Job{Key: "k", Body: "b"})
	require.Equal(t, rwverdict.Complete, got.Verdict, got.Detail)
	require.Equal(t, []string{"k", "k"}, keys)
	require.Equal(t, b, got.Router)
	require.Equal(t, []string{"unknown"}, got.FailedOutcomes)

	keys = nil
	got = caller.Send(context.Background(), rwjob.Job{Body: "b"})
	require.Equal(t, rwverdict.Refused, got.Verdict)
	require.Len(t, keys, 1)
}

// Guards against the HTTP transport resending a request by itself when an idle
// connection breaks. The caller would count both attempts as one.
func TestNoHiddenResend(t *testing.T) {
	var calls atomic.Int64
	addr := server(t, func(w http.ResponseWriter, _ *http.Request) {
		n := calls.Add(1)
		if n == 2 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Redwing-Request", fmt.Sprint("r", n))
		_, _ = io.WriteString(w, `{"key":"k","echo":"b"}`)
	})
	caller := rwcaller.New(one(addr), 0)
	defer caller.Close()
	job := rwjob.Job{Key: "k", Body: "b"}
	require.Equal(t, rwverdict.Complete, caller.Send(context.Background(), job).Verdict)
	require.Equal(t, rwverdict.Broken, caller.Send(context.Background(), job).Verdict)
	require.EqualValues(t, 2, calls.Load())
}

// Guards against send times that lie outside the attempt, and against taking a
// new connection for an idle one. Tests decide by them whether a router had to
// accept a request.
func TestSendTimes(t *testing.T) {
	// responseTime is long, since a busy machine delays the hook that tells when
	// the request was written.
	const pause, responseTime = 50 * time.Millisecond, time.Second
	addr := server(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(responseTime)
		w.Header().Set("Redwing-Request", fmt.Sprint(time.Now().UnixNano()))
		_, _ = fmt.Fprintf(w, `{"echo":%q}`, body)
	})
	caller := rwcaller.New(one(addr), 0)
	defer caller.Close()
	for i := range 2 {
		began := time.Now()
		a := caller.Send(t.Context(), rwjob.Job{Body: "x"})
		ended := time.Now()
		require.Equal(t, rwverdict.Complete, a.Verdict, a.Detail)
		require.False(t, a.Picked.Before(began))
		require.False(t, a.Sent.Before(a.Picked))
		require.True(t, a.Sent.Before(ended.Add(-responseTime/2)))
		if i == 0 {
			require.Zero(t, a.Unused)
		} else {
			require.GreaterOrEqual(t, a.Unused, pause)
		}
		time.Sleep(pause)
	}
	refused := rwcaller.New(one("127.0.0.1:1"), 0)
	a := refused.Send(t.Context(), rwjob.Job{Body: "x"})
	require.Equal(t, rwverdict.Broken, a.Verdict)
	require.False(t, a.Sent.Before(a.Picked))
}
