package rwplainservice_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwservice/internal/rwplainservice"
)

type service struct {
	t   *testing.T
	url string
}

func start(t *testing.T, c *rwplainservice.Service) service {
	s := httptest.NewServer(c.Handler())
	t.Cleanup(s.Close)
	return service{t, s.URL}
}

// post sends a call and returns the status, 0 for a broken connection, and the
// headers.
func (s service) post(path, body string, headers ...string) (int, http.Header) {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.url+path, strings.NewReader(body))
	require.NoError(s.t, err)
	// Without this, the transport itself retries a call with an Idempotency-Key
	// after its connection breaks.
	req.GetBody = nil
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header
}

func (s service) keys() []string {
	resp, err := http.Get(s.url + "/log")
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	var log []rwplainservice.Execution
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&log))
	var out []string
	for _, e := range log {
		out = append(out, e.Key)
	}
	return out
}

// Guards against a log that differs from the executed calls. The tests of "at
// most once" and "not run" compare the outcomes that routers report with it.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		status int
		ran    bool
	}{
		"":            {http.StatusOK, true},
		"drop_before": {0, false},
		"drop_after":  {0, true},
		"foreign":     {http.StatusOK, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := start(t, &rwplainservice.Service{})
			s.post("/admin/faults", fmt.Sprintf(`{"fault":%q,"count":1}`, name))
			status, header := s.post("/x", "b", "Idempotency-Key", "k", "Redwing-Request", "r1")
			require.Equal(t, c.status, status)
			require.Equal(t, c.ran, len(s.keys()) == 1)
			if name == "foreign" {
				require.Equal(t, "other-r1", header.Get("Redwing-Request"))
			}
			status, _ = s.post("/x", "b", "Idempotency-Key", "l")
			require.Equal(t, http.StatusOK, status, "the fault applied to more than one call")
		})
	}
	s := start(t, &rwplainservice.Service{})
	status, _ := s.post("/admin/faults", `{"fault":"nonsense"}`)
	require.Equal(t, http.StatusBadRequest, status)
}

// Guards against a delay that is not applied.
func TestDelay(t *testing.T) {
	s := start(t, &rwplainservice.Service{})
	s.post("/admin/faults", `{"fault":"delay","delay_ms":80,"count":1}`)
	begin := time.Now()
	s.post("/x", "b")
	require.GreaterOrEqual(t, time.Since(begin), 80*time.Millisecond)
}

// Guards against executing a call with an old fencing token if the service
// checks it, and against refusing the call if the service doesn't.
func TestFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := start(t, &rwplainservice.Service{Fence: checks})
		s.post("/x", "b", "Redwing-Fence", "9", "Idempotency-Key", "new")
		status, _ := s.post("/x", "b", "Redwing-Fence", "8", "Idempotency-Key", "old")
		if checks {
			require.Equal(t, http.StatusPreconditionFailed, status)
			require.Equal(t, []string{"new"}, s.keys())
			continue
		}
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, []string{"new", "old"}, s.keys())
	}
}

// Guards against a leaving service that runs calls.
func TestLeaving(t *testing.T) {
	s := start(t, &rwplainservice.Service{})
	s.post("/admin/state", `{"state":"leaving"}`)
	status, header := s.post("/x", "b")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "leaving", header.Get("Redwing-State"))
	require.Empty(t, s.keys())
}
