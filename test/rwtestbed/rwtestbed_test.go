package rwtestbed_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/test/rwbalancer"
	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwreport"
	"redwingworks.example/test/rwtestbed"
	"redwingworks.example/test/rwverdict"
	"redwingworks.example/test/rwworkload"
)

// bin is the directory in which make build puts the programs.
const bin = "../../bin"

func start(t *testing.T, set func(*rwtestbed.Testbed)) *rwtestbed.Testbed {
	fleet := rwtestbed.New(bin, t.TempDir())
	fleet.Policy = "local"
	fleet.Step = 5 * time.Millisecond
	if set != nil {
		set(fleet)
	}
	t.Cleanup(fleet.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, fleet.Start(ctx))
	return fleet
}

// Guards against a fleet in which a router, account or kind doesn't work, and
// against a checker that reports faults of a healthy fleet.
func TestEveryAccountAndKindIsServed(t *testing.T) {
	fleet := start(t, nil)
	require.Len(t, fleet.Routers, 8)
	require.Len(t, fleet.Engines, 10)
	require.Len(t, fleet.Services, 3)
	require.Len(t, fleet.Accounts, 16)
	var flows []rwflow.Flow
	for i, c := range fleet.Accounts {
		flows = append(flows,
			rwflow.Flow{Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[i%4], Pool: rwtestbed.ModelPool, Engine: true, Concurrency: 1, MinTokens: 1, MaxTokens: 20},
			rwflow.Flow{Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Order, Pool: rwtestbed.OrderPool, Concurrency: 1, Keyed: true},
			rwflow.Flow{Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Lookup, Pool: rwtestbed.OrderPool, Rate: 5},
		)
	}
	balancer := rwbalancer.New(fleet.Addrs(), false, time.Second)
	caller := rwcaller.New(balancer.Pick, 0)
	defer caller.Close()
	report := rwreport.New()
	w := &rwworkload.Workload{Seed: 1, Name: "today", Flows: flows}
	w.Send = func(ctx context.Context, j rwjob.Job) bool {
		a := caller.Send(ctx, j)
		report.Add(j, a)
		return a.Verdict == rwverdict.Complete
	}
	w.Run(t.Context(), time.Second)
	require.Empty(t, report.WrongAnswers())
	require.Empty(t, report.Refusals())
	require.Greater(t, report.Count(rwverdict.Complete), 100)
}

// Guards against a partition between zones that doesn't separate routers from
// upstreams, affects the other direction or other zones, or doesn't heal. The
// test opens its own connections under the name of the first router, since the
// router itself would retry elsewhere.
func TestPartitionSeparatesZones(t *testing.T) {
	fleet := start(t, func(f *rwtestbed.Testbed) { f.ProxyUpstreams = true })
	router := fleet.Routers[0]
	require.Equal(t, "za", router.Zone)
	reached := func() []string {
		var zones []string
		for _, e := range fleet.Engines {
			if responds(t, e.PublishedPeer, router.Name) {
				zones = append(zones, e.Zone)
			}
		}
		slices.Sort(zones)
		return slices.Compact(zones)
	}
	all := []string{"za", "zb", "zc"}
	require.Equal(t, all, reached())
	fleet.Partition("zb", "zc")
	require.Equal(t, all, reached())
	fleet.Partition("za", "zb")
	require.Equal(t, []string{"za", "zc"}, reached())
	fleet.Partition("zc", "za")
	require.Equal(t, []string{"za"}, reached())
	fleet.Heal()
	require.Equal(t, all, reached())
}

// responds reports whether an upstream responds on a new connection of a router.
func responds(t *testing.T, addr, router string) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/load", nil)
	require.NoError(t, err)
	req.Header.Set("Redwing-Request", router+"-probe")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode == http.StatusOK
}

// Guards against UseReplica not connecting a router to the stale replica.
func TestReplicaIsStale(t *testing.T) {
	fleet := start(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, rwfleet.PostAdmin(ctx, fleet.Platform.Addr, "stale", map[string]any{"rev": 3}))
	var before, after struct{ Rev int64 }
	addr := fleet.PlatformAddr(fleet.Routers[0].Name)
	require.NoError(t, rwfleet.Get(ctx, addr, "/v1/records", &before))
	fleet.UseReplica(fleet.Routers[0].Name, true)
	err := rwfleet.Get(ctx, addr, "/v1/records", &after)
	if rwfault.Is(err, rwcode.UpstreamUnreachable) {
		// UseReplica reset the kept-alive connection.
		err = rwfleet.Get(ctx, addr, "/v1/records", &after)
	}
	require.NoError(t, err)
	require.Greater(t, before.Rev, int64(3))
	require.Equal(t, int64(3), after.Rev)
}

// Guards against CPU time and memory being read from the wrong field.
func TestProcessFigures(t *testing.T) {
	fleet := start(t, nil)
	p := fleet.Routers[0]
	cpu, err := p.CPU()
	require.NoError(t, err)
	require.Less(t, cpu, 10*time.Second)
	memory, err := p.PeakMemory()
	require.NoError(t, err)
	require.Greater(t, memory, int64(1<<20))
	require.Less(t, memory, int64(1<<30))
}

// Guards against peer links that bypass the proxies or whose source the proxies
// don't recognise. Partitions between zones would not affect them.
func TestPeerLinksAreRecognised(t *testing.T) {
	fleet := start(t, func(f *rwtestbed.Testbed) { f.Policy = "fleet" })
	for _, target := range fleet.Routers {
		require.Eventually(t, func() bool {
			links := fleet.PeerLinks(target.Name)
			for _, source := range fleet.Routers {
				if source != target && links[source.Name] == 0 {
					return false
				}
			}
			return links[""] == 0
		}, 20*time.Second, 100*time.Millisecond, "%s: %v", target.Name, fleet.PeerLinks(target.Name))
	}
}
