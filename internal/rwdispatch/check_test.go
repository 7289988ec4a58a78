package rwdispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwupstream"
)

func upstream(t *testing.T, fence bool) (rwupstream.Upstream, *atomic.Int64, *atomic.Value) {
	t.Helper()
	var calls atomic.Int64
	var header atomic.Value
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		header.Store(r.Header.Get("Redwing-Fence"))
		w.Header().Set("Redwing-Request", r.Header.Get("Redwing-Request"))
	}))
	t.Cleanup(s.Close)
	u := rwupstream.Upstream{Name: "u", Addr: strings.TrimPrefix(s.URL, "http://"), ChecksFence: fence}
	return u, &calls, &header
}

func request(beforeSend func() error) *rwrequest.Request {
	return &rwrequest.Request{ID: "r1", Method: http.MethodPost, Path: "/x", IdempotencyKey: "k", FencingToken: 5, BeforeSend: beforeSend}
}

// Guards against a call that is sent although BeforeSend returned an error, and
// against an outcome other than not_run in this case.
func TestBeforeSendStopsCall(t *testing.T) {
	u, calls, _ := upstream(t, false)
	_, err := rwdispatch.New().Call(context.Background(), u, request(func() error {
		return rwfault.New(rwcode.Paused, "")
	}))
	require.True(t, rwfault.Is(err, rwcode.Paused), "%v", err)
	require.Equal(t, rwoutcome.NotRun, rwfault.From(err).Outcome)
	require.Zero(t, calls.Load())
}

// Guards against BeforeSend not being called for each call, and against a
// fencing token that is sent to an upstream that doesn't check it, or not sent
// to one that does.
func TestBeforeSendAndFencingToken(t *testing.T) {
	for _, fence := range []bool{true, false} {
		u, calls, header := upstream(t, fence)
		d := rwdispatch.New()
		checks := 0
		for range 2 {
			_, err := d.Call(context.Background(), u, request(func() error {
				checks++
				return nil
			}))
			require.NoError(t, err)
		}
		require.Equal(t, 2, checks)
		require.Equal(t, int64(2), calls.Load())
		require.Equal(t, map[bool]string{true: "5", false: ""}[fence], header.Load())
	}
}
