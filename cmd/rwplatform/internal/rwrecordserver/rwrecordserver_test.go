package rwrecordserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwplatform/internal/rwrecordserver"
	"redwingworks.example/internal/rwrecord"
)

type testServer struct {
	t             *testing.T
	server        *rwrecordserver.Server
	main, replica string
}

func start(t *testing.T) testServer {
	b := rwrecordserver.New()
	m, r := httptest.NewServer(b.Handler(false)), httptest.NewServer(b.Handler(true))
	t.Cleanup(m.Close)
	t.Cleanup(r.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return testServer{t, b, m.URL, r.URL}
}

func (b testServer) admin(path, body string) {
	resp, err := http.Post(b.main+"/admin/"+path, "application/json", strings.NewReader(body))
	require.NoError(b.t, err)
	_ = resp.Body.Close()
	require.Equal(b.t, http.StatusNoContent, resp.StatusCode)
}

// get returns the revision and the records as "kind/name@rev", with a minus
// for deletions.
func (b testServer) get(client *http.Client, url string) (int64, string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var l struct {
		Rev   int64
		Items []rwrecord.Record
	}
	require.NoError(b.t, json.NewDecoder(resp.Body).Decode(&l))
	var out []string
	for _, r := range l.Items {
		deleted := ""
		if r.Deleted {
			deleted = "-"
		}
		out = append(out, fmt.Sprintf("%s%s/%s@%d", deleted, r.Kind, r.Name, r.Rev))
	}
	return l.Rev, strings.Join(out, " "), nil
}

func (b testServer) mustGet(url string) string {
	_, items, err := b.get(http.DefaultClient, url)
	require.NoError(b.t, err)
	return items
}

func record(kind, name string) rwrecord.Record {
	return rwrecord.Record{Kind: kind, Name: name, Schema: 1}
}

// Guards against old revisions in a listing, a watch that returns records up to
// the requested revision, and lost deletions.
func TestRevisions(t *testing.T) {
	b := start(t)
	b.server.Publish([]rwrecord.Record{record("kind", "k"), record("account", "a"), record("kind", "k")})
	require.Equal(t, "account/a@2 kind/k@3", b.mustGet(b.main+"/v1/records"))
	require.Equal(t, "kind/k@3", b.mustGet(b.main+"/v1/watch?after=2&wait=5"))
	b.admin("records", `[{"kind":"kind","name":"k","schema":1,"gone":true}]`)
	require.Equal(t, "account/a@2 -kind/k@4", b.mustGet(b.main+"/v1/records"))
	begin := time.Now()
	require.Empty(t, b.mustGet(b.main+"/v1/watch?after=4&wait=1"))
	require.GreaterOrEqual(t, time.Since(begin), 900*time.Millisecond)
}

// Guards against a watch that misses a change while it waits.
func TestWatchIsNotified(t *testing.T) {
	b := start(t)
	time.AfterFunc(50*time.Millisecond, func() { b.server.Publish([]rwrecord.Record{record("kind", "k")}) })
	begin := time.Now()
	require.Equal(t, "kind/k@1", b.mustGet(b.main+"/v1/watch?after=0&wait=20"))
	require.Less(t, time.Since(begin), 5*time.Second)
}

// Guards against an outage that doesn't affect watches that already wait.
func TestOutage(t *testing.T) {
	b := start(t)
	ended := make(chan error)
	go func() {
		_, _, err := b.get(http.DefaultClient, b.main+"/v1/watch?after=0&wait=20")
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	b.admin("outage", `{"mode":"refuse"}`)
	require.Error(t, <-ended)
	_, _, err := b.get(http.DefaultClient, b.main+"/v1/records")
	require.Error(t, err)

	b.admin("outage", `{"mode":"hang"}`)
	_, _, err = b.get(&http.Client{Timeout: 200 * time.Millisecond}, b.main+"/v1/records")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	b.admin("outage", `{"mode":""}`)
	require.Empty(t, b.mustGet(b.main+"/v1/records"))
}

// Guards against a stale replica that returns new records from a read or a watch,
// and against a main address that is stale although its fraction is 0.
func TestStaleReplica(t *testing.T) {
	b := start(t)
	b.server.Publish([]rwrecord.Record{record("kind", "k"), record("account", "a"), record("kind", "k")})
	b.admin("stale", `{"rev":2}`)
	require.Equal(t, "kind/k@1 account/a@2", b.mustGet(b.replica+"/v1/records"))
	require.Empty(t, b.mustGet(b.replica+"/v1/watch?after=2&wait=1"))
	require.Equal(t, "account/a@2 kind/k@3", b.mustGet(b.main+"/v1/records"))
	b.admin("stale", `{}`)
	require.Equal(t, "account/a@2 kind/k@3", b.mustGet(b.replica+"/v1/records"))
}

// Guards against staleness that affects all connections to the main address, or
// none, although a fraction is set.
func TestStaleFraction(t *testing.T) {
	b := start(t)
	b.server.Publish([]rwrecord.Record{record("kind", "k"), record("kind", "k")})
	b.admin("stale", `{"rev":1,"fraction":0.5}`)
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	staleReads := 0
	for range 100 {
		rev, _, err := b.get(fresh, b.main+"/v1/records")
		require.NoError(t, err)
		if rev == 1 {
			staleReads++
		}
	}
	require.InDelta(t, 50, staleReads, 30)
}

// Guards against VM records that are published without the lag, and against a
// delayed record whose revision a watch has already passed.
func TestVMLag(t *testing.T) {
	b := start(t)
	b.admin("lag", `{"ms":200}`)
	b.server.Publish([]rwrecord.Record{record("vm", "r1"), record("kind", "k")})
	require.Equal(t, "kind/k@1", b.mustGet(b.main+"/v1/records"))
	require.Equal(t, "vm/r1@2", b.mustGet(b.main+"/v1/watch?after=1&wait=20"))
}

// Guards against calls that are not counted, or counted as another kind.
func TestCalls(t *testing.T) {
	b := start(t)
	b.mustGet(b.main + "/v1/records")
	b.mustGet(b.main + "/v1/watch?after=0&wait=0")
	b.mustGet(b.main + "/v1/watch?after=0&wait=0")
	resp, err := http.Get(b.main + "/admin/calls")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var calls map[string]int
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&calls))
	require.Equal(t, map[string]int{"records": 1, "watch": 2}, calls)
}
