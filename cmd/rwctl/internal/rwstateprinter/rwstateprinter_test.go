package rwstateprinter

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwctl/internal/rwstate"
	"redwingworks.example/internal/rwview"
)

func view() rwview.View {
	return rwview.View{
		Router: "vm-1", Zone: "za", Region: "main", Inc: 1764795600000000, Policy: "fleet",
		Ready: true, Rev: 12, InvalidRecords: 1, PlatformUp: true, Waiting: 3, Running: 4,
		Members: []rwview.Member{
			{Name: "vm-2", Zone: "za", State: "alive", Inc: 1764795600000000},
			{Name: "vm-3", Zone: "zb", State: "suspect", Inc: 1764795700000000},
		},
		Cells: []rwview.Cell{{Name: "drafter/za/0", Pool: "drafter", Zone: "za", Owner: "vm-1"}},
		Upstreams: []rwview.Upstream{
			{Name: "engine-1", Pool: "drafter", Zone: "za", State: "live", Window: 8, Running: 4},
			{Name: "engine-2", Pool: "drafter", Zone: "zb", State: "leaving"},
		},
		Accounts: []rwview.Account{
			{Name: "plovdiv", Pool: "drafter", Weight: 2000, Service: 1200, VirtualTime: 600, Backlog: 3, Running: 4},
			{Name: "varna", Pool: "drafter", Weight: 1500, Service: 90.4, VirtualTime: 60.3},
		},
	}
}

// router serves a view and counters under the paths of a router and returns its
// address.
func router(t *testing.T, v rwview.View, vars string) string {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/view", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) })
	m.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(vars)) })
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against state that is missing or shown under the wrong title, and
// against lost counter differences between two views.
func TestGolden(t *testing.T) {
	var out bytes.Buffer
	var s Printer
	for _, vars := range []string{
		`{"refusals":{"queue_full":3,"draining":1},"retries":{"upstream_truncated":2},"denied":{},"memstats":{}}`,
		`{"refusals":{"queue_full":5,"draining":1},"retries":{"upstream_truncated":2},"denied":{"upstream_leaving":1}}`,
	} {
		state, err := rwstate.Read(t.Context(), router(t, view(), vars))
		require.NoError(t, err)
		require.NoError(t, s.Write(&out, state))
	}
	goldie.New(t).Assert(t, "view", out.Bytes())
	out.Reset()
	require.NoError(t, new(Printer).Write(&out, rwstate.State{View: rwview.View{Draining: true, Ready: true}}))
	goldie.New(t).Assert(t, "empty", out.Bytes())
}

// Guards against showing an unreachable router, or one with an unexpected
// response, as an empty one.
func TestReadFails(t *testing.T) {
	_, err := rwstate.Read(t.Context(), router(t, view(), "no JSON"))
	require.ErrorContains(t, err, "/debug/vars")
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	_, err = rwstate.Read(t.Context(), s.Listener.Addr().String())
	require.ErrorContains(t, err, "404")
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_, err = rwstate.Read(ctx, router(t, view(), "{}"))
	require.Error(t, err)
}
