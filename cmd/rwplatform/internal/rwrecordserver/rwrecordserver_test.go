package rwrecordserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwplatform/internal/rwrecordserver"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwrecord"
)

type testServer struct {
	t             *testing.T
	server        *rwrecordserver.Server
	client        *http.Client
	main, replica string
}

// start starts a server on a network in memory, where the server sees the same
// address for all clients.
func start(t *testing.T) testServer {
	// Lets the handlers of closed connections end.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	var network rwmemnetwork.Network
	return startOn(t, network.Listen, network.Dial)
}

func startOn(t *testing.T, listen func(string) (net.Listener, error), dial func(context.Context, string, string) (net.Conn, error)) testServer {
	transport := &http.Transport{DialContext: dial}
	b := testServer{t: t, server: rwrecordserver.New(), client: &http.Client{Transport: transport}}
	for replica, url := range map[bool]*string{false: &b.main, true: &b.replica} {
		l, err := listen("127.0.0.1:0")
		require.NoError(t, err)
		s := &http.Server{Handler: b.server.Handler(replica)}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		*url = "http://" + l.Addr().String()
	}
	t.Cleanup(transport.CloseIdleConnections)
	return b
}

func (b testServer) admin(path, body string) {
	resp, err := b.client.Post(b.main+"/admin/"+path, "application/json", strings.NewReader(body))
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
	_, items, err := b.get(b.client, url)
	require.NoError(b.t, err)
	return items
}

func record(kind, name string) rwrecord.Record {
	return rwrecord.Record{Kind: kind, Name: name, Schema: 1}
}

// Guards against old revisions in a listing, a watch that returns records up to
// the requested revision, and lost deletions.
func TestRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t)
		b.server.Publish([]rwrecord.Record{record("kind", "k"), record("account", "a"), record("kind", "k")})
		require.Equal(t, "account/a@2 kind/k@3", b.mustGet(b.main+"/v1/records"))
		require.Equal(t, "kind/k@3", b.mustGet(b.main+"/v1/watch?after=2&wait=5"))
		b.admin("records", `[{"kind":"kind","name":"k","schema":1,"gone":true}]`)
		require.Equal(t, "account/a@2 -kind/k@4", b.mustGet(b.main+"/v1/records"))
		begin := time.Now()
		require.Empty(t, b.mustGet(b.main+"/v1/watch?after=4&wait=1"))
		require.Equal(t, time.Second, time.Since(begin))
	})
}

// Guards against a watch that misses a change while it waits.
func TestWatchIsNotified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t)
		time.AfterFunc(50*time.Millisecond, func() { b.server.Publish([]rwrecord.Record{record("kind", "k")}) })
		begin := time.Now()
		require.Equal(t, "kind/k@1", b.mustGet(b.main+"/v1/watch?after=0&wait=20"))
		require.Equal(t, 50*time.Millisecond, time.Since(begin))
	})
}

// Guards against an outage that doesn't affect watches that already wait.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t)
		begin := time.Now()
		ended := make(chan error)
		go func() {
			_, _, err := b.get(b.client, b.main+"/v1/watch?after=0&wait=20")
			ended <- err
		}()
		time.Sleep(50 * time.Millisecond)
		b.admin("outage", `{"mode":"refuse"}`)
		require.Error(t, <-ended)
		require.Equal(t, 50*time.Millisecond, time.Since(begin))
		_, _, err := b.get(b.client, b.main+"/v1/records")
		require.Error(t, err)

		b.admin("outage", `{"mode":"hang"}`)
		_, _, err = b.get(&http.Client{Transport: b.client.Transport, Timeout: 200 * time.Millisecond}, b.main+"/v1/records")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		b.admin("outage", `{"mode":""}`)
		require.Empty(t, b.mustGet(b.main+"/v1/records"))
	})
}

// Guards against a stale replica that returns new records from a read or a watch,
// and against a main address that is stale although its fraction is 0.
func TestStaleReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t)
		b.server.Publish([]rwrecord.Record{record("kind", "k"), record("account", "a"), record("kind", "k")})
		b.admin("stale", `{"rev":2}`)
		require.Equal(t, "kind/k@1 account/a@2", b.mustGet(b.replica+"/v1/records"))
		require.Empty(t, b.mustGet(b.replica+"/v1/watch?after=2&wait=1"))
		require.Equal(t, "account/a@2 kind/k@3", b.mustGet(b.main+"/v1/records"))
		b.admin("stale", `{}`)
		require.Equal(t, "account/a@2 kind/k@3", b.mustGet(b.replica+"/v1/records"))
	})
}

// Guards against staleness that affects all connections to the main address, or
// none, although a fraction is set.
func TestStaleFraction(t *testing.T) {
	// The part that is stale is chosen by the port of the client.
	b := startOn(t, func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }, nil)
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
	synctest.Test(t, func(t *testing.T) {
		b := start(t)
		b.admin("lag", `{"ms":200}`)
		b.server.Publish([]rwrecord.Record{record("vm", "r1"), record("kind", "k")})
		begin := time.Now()
		require.Equal(t, "kind/k@1", b.mustGet(b.main+"/v1/records"))
		require.Equal(t, "vm/r1@2", b.mustGet(b.main+"/v1/watch?after=1&wait=20"))
		require.Equal(t, 200*time.Millisecond, time.Since(begin))
	})
}

// Guards against calls that are not counted, or counted as another kind.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t)
		b.mustGet(b.main + "/v1/records")
		b.mustGet(b.main + "/v1/watch?after=0&wait=0")
		b.mustGet(b.main + "/v1/watch?after=0&wait=0")
		resp, err := b.client.Get(b.main + "/admin/calls")
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		var calls map[string]int
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&calls))
		require.Equal(t, map[string]int{"records": 1, "watch": 2}, calls)
	})
}
