package rwbroker

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrouteconfig"
)

// newVersionedSnapshot returns a snapshot with engines that run the given
// versions.
func newVersionedSnapshot(software ...string) *rwconfigsnapshot.Snapshot {
	var list []rwinstance.Instance
	for i, s := range software {
		list = append(list, rwinstance.Instance{
			ID: "e" + strconv.Itoa(i), Service: "model", Addr: "10.0.0.1:" + strconv.Itoa(100+i), Zone: "z", Software: s,
		})
	}
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{{Name: "model", Engine: &rwrouteconfig.Engine{Slots: 64, KVCapacity: 1e6}}}, nil)
	return rwconfigsnapshot.New(config, 1, time.Now(), list)
}

// observe lets routers see upstreams for longer than streams last.
func (f *fleet) observe(routers []string, software ...string) {
	now := time.Now()
	for _, name := range routers {
		table := f.nodes[name].Origins
		for _, s := range software {
			for _, at := range []time.Time{now.Add(-2 * testStreamWindow), now} {
				table.Observe(at, []rwinstance.Instance{{Service: "model", Software: s}})
			}
		}
	}
}

// requireFound requires that a resumption is told a version.
func (n *node) requireFound(t *testing.T, stream, software string) {
	t.Helper()
	o, fault := n.FindOrigin(t.Context(), "model", newRequest("y"), stream)
	require.Nil(t, fault, "%s at %s", stream, n.id.Name)
	require.Equal(t, rworigin.Origin{Service: "model", Software: software}, rworigin.Origin{Service: o.Service, Software: o.Software})
}

// beginStream has the owner of the cell grant a stream once and learn that it has
// begun, and returns the version of its engine.
func (f *fleet) beginStream(t *testing.T, owner rwidentity.Identity, id string) string {
	k, r := cellKey{Service: "model"}, newRequest(id)
	r.ID, r.Stream = id, id
	n := f.nodes[owner.Name]
	d := n.decide(k, r, f.nodes["r0"].id)
	require.Equal(t, rwplacement.Granted, d.Verdict)
	begun := originRecord{ID: id, Origin: rworigin.Origin{Service: k.Service, Software: d.Software, Upstream: d.Engine}, Begun: true}
	n.applyReport(progressMessage{cellKey: k, ID: id, Begun: &begun}, func(p *rwplacement.Placer, m progressMessage) {
		p.FirstEvent(time.Now(), m.ID)
	})
	return d.Software
}

// Guards against an origin that only the router or the owner of a stream knows:
// its caller takes it up anywhere, also after both have ended.
func TestOriginOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, newVersionedSnapshot("v1", "v2", "v2"))
		f.observe([]string{"r0", "r1", "r2", "r3", "r4"}, "v1", "v2")
		owner := f.nodes["r0"].owner(cellKey{Service: "model"})
		want := map[string]string{}
		for i := range 3 {
			id := "s" + strconv.Itoa(i)
			want[id] = f.beginStream(t, owner, id)
		}
		for id, software := range want {
			for _, n := range f.nodes {
				n.requireFound(t, id, software)
			}
		}
		// The owner ends once it has copied the origins.
		var left []rwidentity.Identity
		for name, n := range f.nodes {
			if name != owner.Name && name != "r0" {
				left = append(left, n.id)
			}
		}
		time.Sleep(4 * originFlushInterval)
		for id := range want {
			require.True(t, slices.ContainsFunc(left, func(i rwidentity.Identity) bool {
				_, ok := f.nodes[i.Name].Origins.Find(time.Now(), id)
				return ok
			}))
		}
		f.mu.Lock()
		f.live = left
		f.mu.Unlock()
		f.nodes[owner.Name].stop()
		time.Sleep(2 * ownerCacheTTL)
		for id, software := range want {
			for _, n := range left {
				f.nodes[n.Name].requireFound(t, id, software)
			}
		}
	})
}

// Guards against origins that are lost when all routers but one are killed at
// once.
func TestOriginOutlivesMostRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, newVersionedSnapshot("v1", "v2"))
		for name := range f.nodes {
			f.observe([]string{name}, "v1", "v2")
		}
		software := f.beginStream(t, f.nodes["r0"].owner(cellKey{Service: "model"}), "s")
		time.Sleep(4 * originFlushInterval)
		for _, n := range f.nodes {
			f.setLive(n.id)
			n.requireFound(t, "s", software)
		}
	})
}

// Guards against a stream that goes on at a guessed version: while several serve,
// shortly after a start, and at a router that is cut off from the store and from
// most others.
func TestUnknownOriginIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		seen      []string
		young     bool
		live      int
		current   bool
		wantFault bool
	}{
		"several versions":         {[]string{"v1", "v2"}, false, 3, true, true},
		"one version":              {[]string{"v1"}, false, 3, true, false},
		"store away":               {[]string{"v1"}, false, 3, false, false},
		"just started":             {[]string{"v1"}, true, 3, true, true},
		"cut off":                  {[]string{"v1"}, false, 1, false, true},
		"cut off from routers":     {[]string{"v1"}, false, 1, true, false},
		"cut off, several before":  {[]string{"v1", "v2"}, false, 1, true, true},
		"started while all others": {nil, true, 3, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, newVersionedSnapshot("v1"))
				if c.young {
					for _, n := range f.nodes {
						for _, s := range c.seen {
							n.Origins.Observe(time.Now(), []rwinstance.Instance{{Service: "model", Software: s}})
						}
					}
				} else {
					f.observe([]string{"r0", "r1", "r2"}, c.seen...)
				}
				if c.current {
					f.nodes["r0"].Origins.MarkCurrent(time.Now())
				}
				f.mu.Lock()
				f.live = f.live[:c.live]
				f.mu.Unlock()
				start := time.Now()
				o, fault := f.nodes["r0"].FindOrigin(t.Context(), "model", newRequest("x"), "unknown")
				require.Less(t, time.Since(start), time.Second)
				if c.wantFault {
					require.NotNil(t, fault)
					require.Equal(t, rwcode.OriginUnknown, fault.Code)
					require.Positive(t, fault.RetryAfter)
					return
				}
				require.Nil(t, fault)
				require.Equal(t, rworigin.Origin{Service: "model", Software: "v1"}, o)
			})
		})
	}
}

// Guards against a stream that goes on at another version at a router which was out of
// step while upstreams of that version joined: it was cut off from the others, or
// stood still, and its table was current until just before.
func TestRouterOutOfStepReadsTheStoreFirst(t *testing.T) {
	for name, c := range map[string]struct {
		// listed are the versions that the store lists, or none if it is away too.
		listed    []string
		wantFault bool
	}{
		"another version joined": {[]string{"v1", "v2"}, true},
		"none joined":            {[]string{"v1"}, false},
		"cut off from the store": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, newVersionedSnapshot("v1"))
				f.observe([]string{"r0", "r1", "r2"}, "v1")
				n := f.nodes["r0"]
				n.Origins.MarkCurrent(time.Now())
				f.observe([]string{"r1", "r2"}, "v2")
				f.setLive(n.id)
				time.Sleep(time.Second)
				n.Refresh = func() {
					for _, s := range c.listed {
						n.Origins.Observe(time.Now(), []rwinstance.Instance{{Service: "model", Software: s}})
						n.Origins.MarkCurrent(time.Now())
					}
				}
				o, fault := n.FindOrigin(t.Context(), "model", newRequest("x"), "unknown")
				if c.wantFault {
					require.NotNil(t, fault)
					require.Equal(t, rwcode.OriginUnknown, fault.Code)
					return
				}
				require.Nil(t, fault)
				require.Equal(t, "v1", o.Software)
			})
		})
	}
}

// Guards against a resumption in a large fleet that is refused because too many
// searches are in progress, although the readers of the zone know that only one
// version served.
func TestReadersKnowTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 16, newVersionedSnapshot("v1"))
		n, key := f.nodes["r1"], cellKey{Service: "model"}
		near := append(n.successors(key, originCopies+1), n.owner(key), n.id)
		reader := f.nodes["r0"]
		for _, candidate := range f.nodes {
			if !slices.Contains(near, candidate.id) {
				reader = candidate
			}
		}
		require.NotContains(t, near, reader.id)
		f.observe([]string{reader.id.Name, n.id.Name}, "v1")
		reader.Origins.MarkCurrent(time.Now())
		n.originSearches = maxOriginSearches
		_, fault := n.FindOrigin(t.Context(), "model", newRequest("x"), "unknown")
		require.NotNil(t, fault)
		f.mu.Lock()
		f.readers = []rwidentity.Identity{reader.id, n.id}
		f.mu.Unlock()
		o, fault := n.FindOrigin(t.Context(), "model", newRequest("x"), "unknown")
		require.Nil(t, fault)
		require.Equal(t, "v1", o.Software)
	})
}

// Guards against routers that restart one after the other until none knows any
// more that only one version served.
func TestVersionsAreInherited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newVersionedSnapshot("v1"))
		f.observe([]string{"r0"}, "v1")
		for _, name := range []string{"r1", "r2"} {
			f.nodes[name].Origins.Observe(time.Now(), []rwinstance.Instance{{Service: "model", Software: "v1"}})
		}
		require.Eventually(t, func() bool {
			f.nodes["r0"].Origins.MarkCurrent(time.Now())
			return !f.nodes["r1"].Origins.Mixed(time.Now(), "model", testStreamWindow) && !f.nodes["r2"].Origins.Mixed(time.Now(), "model", testStreamWindow)
		}, 10*time.Second, 50*time.Millisecond)
	})
}

// Guards against a resumption that is refused because the cell of its prompt has
// no engine of its version, although another cell has one.
func TestResumptionFindsTheCellOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		software := make([]string, 2*maxSingleCellPool)
		for i := range software {
			software[i] = "v2"
		}
		software[3] = "v1"
		f := newFleet(t, 2, newVersionedSnapshot(software...))
		for i := range 20 {
			r := newRequest("x" + strconv.Itoa(i))
			r.Software, r.Resumed = "v1", true
			g, fault := f.nodes["r0"].Acquire(t.Context(), "model", r)
			require.Nil(t, fault)
			require.Equal(t, "e3", g.Instance.ID)
			g.End(rwplacement.Served)
		}
		r := newRequest("y")
		r.Software = "v3"
		_, fault := f.nodes["r0"].Acquire(t.Context(), "model", r)
		require.NotNil(t, fault)
		require.Equal(t, rwcode.NoUpstream, fault.Code)
	})
}

// Guards against an owner that was paused and grants a request late, which another
// owner had granted meanwhile: the origin of the stream that began is kept.
func TestLateGrantKeepsTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newVersionedSnapshot("v1", "v2"))
		f.observe([]string{"r0", "r1", "r2"}, "v1", "v2")
		r := newRequest("x")
		r.Stream = "s"
		g, fault := f.nodes["r0"].Acquire(t.Context(), "model", r)
		require.Nil(t, fault)
		g.FirstEvent()
		time.Sleep(4 * originFlushInterval)
		other := map[string]string{"e0": "e1", "e1": "e0"}[g.Instance.ID]
		for name, n := range f.nodes {
			if name == g.Owner {
				continue
			}
			late := newRequest("x")
			late.ID, late.Stream, late.Avoid = "late", "s", []string{g.Instance.ID}
			d := n.decide(cellKey{Service: "model"}, late, n.id)
			require.Equal(t, rwplacement.Granted, d.Verdict)
			require.Equal(t, other, d.Engine)
			break
		}
		time.Sleep(4 * originFlushInterval)
		for name, n := range f.nodes {
			o, fault := n.FindOrigin(t.Context(), "model", newRequest("y"), "s")
			require.Nil(t, fault, name)
			require.Equal(t, g.Instance.Software, o.Software, name)
		}
	})
}

// Guards against a stream at a guessed version when two owners granted it at
// different ones and nobody knows which of them it began at.
func TestContradictingGrantsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, newVersionedSnapshot("v1", "v2"))
		f.observe([]string{"r0", "r1"}, "v1", "v2")
		for name, engine := range map[string]string{"r0": "e0", "r1": "e1"} {
			r := newRequest("x")
			r.ID, r.Stream, r.Avoid = name, "s", []string{engine}
			require.Equal(t, rwplacement.Granted, f.nodes[name].decide(cellKey{Service: "model"}, r, f.nodes[name].id).Verdict)
		}
		for _, wait := range []time.Duration{0, 4 * originFlushInterval} {
			time.Sleep(wait)
			for name, n := range f.nodes {
				_, fault := n.FindOrigin(t.Context(), "model", newRequest("y"), "s")
				require.NotNil(t, fault, "%s after %s", name, wait)
				require.Equal(t, rwcode.OriginUnknown, fault.Code)
			}
		}
	})
}

// Guards against a stream that goes on where it was granted and not used, by an owner
// that was paused: the router and the owner of the grant that was used have ended.
func TestUnusedGrantIsNoOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newVersionedSnapshot("v1", "v2"))
		f.observe([]string{"r0", "r1", "r2"}, "v1", "v2")
		r := newRequest("x")
		r.Stream = "s"
		d := f.nodes["r1"].decide(cellKey{Service: "model"}, r, f.nodes["r0"].id)
		require.Equal(t, rwplacement.Granted, d.Verdict)
		for _, wait := range []time.Duration{0, 4 * originFlushInterval} {
			time.Sleep(wait)
			for name, n := range f.nodes {
				_, fault := n.FindOrigin(t.Context(), "model", newRequest("y"), "s")
				require.NotNil(t, fault, "%s after %s", name, wait)
				require.Equal(t, rwcode.OriginUnknown, fault.Code)
				require.Positive(t, fault.RetryAfter)
			}
		}
	})
}

// Guards against trusting a router of an older release, which also sends grants and
// answers with them.
func TestGrantsOfOlderRoutersAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, newVersionedSnapshot("v1", "v2"))
		f.observe([]string{"r0", "r1"}, "v1", "v2")
		grant := rworigin.Origin{Service: "model", Software: "v1", Upstream: "e0"}
		old := f.nodes["r1"]
		require.NoError(t, old.peers.Call(t.Context(), f.nodes["r0"].id.Addr, "origins", originsMessage{[]originRecord{{ID: "s", Origin: grant}}}, nil))
		old.peers.Handle("origin", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) {
			return originAnswer{Found: true, Origin: grant}, nil
		})
		_, fault := f.nodes["r0"].FindOrigin(t.Context(), "model", newRequest("y"), "s")
		require.NotNil(t, fault)
		require.Equal(t, rwcode.OriginUnknown, fault.Code)
	})
}

// Guards against a stream that goes on at the only version that other routers saw,
// although a router of an older release says, in its answer or in a copy, that it was
// granted at another one.
func TestGrantShowsItsVersion(t *testing.T) {
	for _, by := range []string{"answer", "copy", "answer with several versions"} {
		t.Run(by, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, newVersionedSnapshot("v1"))
				f.observe([]string{"r0", "r2"}, "v1")
				f.nodes["r0"].Origins.MarkCurrent(time.Now())
				grant := rworigin.Origin{Service: "model", Software: "v2", Upstream: "e9"}
				if by == "answer with several versions" {
					grant = rworigin.Origin{Service: "model"}
				}
				old := f.nodes["r1"]
				if by == "copy" {
					require.NoError(t, old.peers.Call(t.Context(), f.nodes["r0"].id.Addr, "origins", originsMessage{[]originRecord{{ID: "s", Origin: grant}}}, nil))
					old.stop()
				} else {
					old.peers.Handle("origin", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) {
						return originAnswer{Found: true, Origin: grant}, nil
					})
				}
				_, fault := f.nodes["r0"].FindOrigin(t.Context(), "model", newRequest("y"), "s")
				require.NotNil(t, fault)
				require.Equal(t, rwcode.OriginUnknown, fault.Code)
			})
		})
	}
}

// Guards against a refusal of a stream of a service with one version because the
// answer of a router of an older release isn't counted.
func TestGrantOfAnOlderRouterIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newVersionedSnapshot("v1"))
		f.observe([]string{"r0", "r1", "r2"}, "v1")
		f.nodes["r1"].peers.Handle("origin", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) {
			return originAnswer{Found: true, Origin: rworigin.Origin{Service: "model", Software: "v1", Upstream: "e0"}}, nil
		})
		f.nodes["r2"].stop()
		o, fault := f.nodes["r0"].FindOrigin(t.Context(), "model", newRequest("y"), "s")
		require.Nil(t, fault)
		require.Equal(t, "v1", o.Software)
	})
}

// Guards against a stream that goes on at the former only version because its owner,
// the only router that had heard of the new one, ended right after the first event.
func TestNewVersionOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, newVersionedSnapshot("v2"))
		f.observe([]string{"r0", "r1", "r2", "r3", "r4"}, "v1")
		for _, n := range f.nodes {
			n.Origins.MarkCurrent(time.Now())
		}
		owner := f.nodes[f.nodes["r0"].owner(cellKey{Service: "model"}).Name]
		owner.Origins.Observe(time.Now(), []rwinstance.Instance{{Service: "model", Software: "v2"}})
		r := newRequest("s")
		r.ID, r.Stream = "s", "s"
		require.Equal(t, rwplacement.Granted, owner.decide(cellKey{Service: "model"}, r, f.nodes["r0"].id).Verdict)
		time.Sleep(4 * originFlushInterval)
		var left []rwidentity.Identity
		for _, n := range f.nodes {
			if n != owner {
				left = append(left, n.id)
			}
		}
		f.setLive(left...)
		owner.stop()
		for _, id := range left {
			_, fault := f.nodes[id.Name].FindOrigin(t.Context(), "model", newRequest("y"), "s")
			require.NotNil(t, fault, id.Name)
			require.Equal(t, rwcode.OriginUnknown, fault.Code)
		}
	})
}

// Guards against a stream that its router alone knows for as long as it lasts,
// because the owner of its cell ended between the grant and the first event.
func TestOriginIsCopiedAfterItsOwnerEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, newVersionedSnapshot("v1", "v2"))
		f.observe([]string{"r0", "r1", "r2", "r3", "r4"}, "v1", "v2")
		owner := f.nodes[f.nodes["r0"].owner(cellKey{Service: "model"}).Name]
		router := f.nodes["r0"]
		if router == owner {
			router = f.nodes["r1"]
		}
		r := newRequest("s")
		r.ID, r.Stream = "s", "s"
		g, fault := router.Acquire(t.Context(), "model", r)
		require.Nil(t, fault)
		require.Equal(t, owner.id.Name, g.Owner)
		var others []rwidentity.Identity
		for _, n := range f.nodes {
			if n != owner && n != router {
				others = append(others, n.id)
			}
		}
		f.setLive(append([]rwidentity.Identity{router.id}, others...)...)
		owner.stop()
		g.FirstEvent()
		time.Sleep(4 * originFlushInterval)
		f.setLive(others...)
		router.stop()
		time.Sleep(2 * ownerCacheTTL)
		for _, id := range others {
			o, fault := f.nodes[id.Name].FindOrigin(t.Context(), "model", newRequest("y"), "s")
			require.Nil(t, fault, id.Name)
			require.Equal(t, g.Instance.Software, o.Software)
		}
	})
}

// Guards against a stream whose owner and router know different versions of its
// engine, which has started again under its id.
func TestGrantAtAnotherVersionIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, newVersionedSnapshot("v1"))
		owner := f.nodes["r0"].owner(cellKey{Service: "model"}).Name
		router := map[string]string{"r0": "r1", "r1": "r0"}[owner]
		stale := newVersionedSnapshot("v2")
		f.nodes[router].Published = func() *rwconfigsnapshot.Snapshot { return stale }
		_, fault := f.nodes[router].Acquire(t.Context(), "model", newRequest("x"))
		require.NotNil(t, fault)
		require.Equal(t, rwcode.UpstreamLeaving, fault.Code)
	})
}

// Guards against refusing a request because its owner doesn't know yet that an engine
// leaves, while others serve.
func TestGrantOfALeavingEngineIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, newVersionedSnapshot("v1", "v1"))
		owner := f.nodes["r0"].owner(cellKey{Service: "model"}).Name
		router := map[string]string{"r0": "r1", "r1": "r0"}[owner]
		for i := range 10 {
			r := newRequest("x" + strconv.Itoa(i))
			r.Parts[0].ID = strconv.Itoa(i)
			known := newVersionedSnapshot("v1")
			f.nodes[router].Published = func() *rwconfigsnapshot.Snapshot { return known }
			g, fault := f.nodes[router].Acquire(t.Context(), "model", r)
			require.Nil(t, fault)
			require.Equal(t, known.Usable("model")[0].ID, g.Instance.ID)
			g.FirstEvent()
			g.End(rwplacement.Served)
			time.Sleep(time.Second)
		}
	})
}

// Guards against a router's resumption that is sent to the cell of the engine that
// broke its stream off, although another cell has an engine of its version.
func TestResumptionLeavesTheCellOfItsFailedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		software := make([]string, 2*maxSingleCellPool)
		for i := range software {
			software[i] = "v2"
		}
		n := cellCount(len(software))
		other := 1
		for cellIndex("e"+strconv.Itoa(other), n) == cellIndex("e0", n) {
			other++
		}
		software[0], software[other] = "v1", "v1"
		f := newFleet(t, 2, newVersionedSnapshot(software...))
		for i := range 10 {
			r := newRequest("x" + strconv.Itoa(i))
			r.Parts[0].ID = strconv.Itoa(i)
			r.Software, r.Resumed, r.Avoid = "v1", true, []string{"e0"}
			g, fault := f.nodes["r0"].Acquire(t.Context(), "model", r)
			require.Nil(t, fault)
			require.Equal(t, "e"+strconv.Itoa(other), g.Instance.ID)
			g.End(rwplacement.Served)
		}
	})
}

// Guards against a stream that can't be resumed because it began while one version
// served, and its owner and its router ended after another had appeared.
func TestOriginsAreCopiedWhenAVersionAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routers := []string{"r0", "r1", "r2", "r3", "r4"}
		f := newFleet(t, len(routers), newVersionedSnapshot("v1", "v1"))
		f.observe(routers, "v1")
		g, fault := f.nodes["r0"].Acquire(t.Context(), "model", rwplacement.Request{
			Account: "acc", UniqueTokens: 500, ExpectedOutput: 10, Target: 400 * time.Millisecond, Stream: "s",
		})
		require.Nil(t, fault)
		g.FirstEvent()
		time.Sleep(4 * originFlushInterval)
		f.observe(routers, "v2")
		time.Sleep(4 * originFlushInterval)
		f.mu.Lock()
		f.live = slices.DeleteFunc(f.live, func(id rwidentity.Identity) bool { return id.Name == g.Owner || id.Name == "r0" })
		f.mu.Unlock()
		f.nodes[g.Owner].stop()
		f.nodes["r0"].stop()
		time.Sleep(2 * ownerCacheTTL)
		for _, id := range f.members() {
			o, fault := f.nodes[id.Name].FindOrigin(t.Context(), "model", newRequest("y"), "s")
			require.Nil(t, fault, id.Name)
			require.Equal(t, "v1", o.Software)
		}
	})
}

// Guards against a router that knows only shorter timeouts than another one and
// leaves out a version at which streams of that time may have begun.
func TestVersionsAreAskedForTheLongerWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, newVersionedSnapshot("v2"))
		f.mu.Lock()
		f.windows = map[string]time.Duration{"r1": testStreamWindow / 10}
		f.mu.Unlock()
		f.observe([]string{"r0", "r1"}, "v2")
		f.nodes["r0"].Origins.MarkCurrent(time.Now())
		f.nodes["r1"].Origins.Observe(time.Now().Add(-testStreamWindow/2), []rwinstance.Instance{{Service: "model", Software: "v1"}})
		_, fault := f.nodes["r0"].FindOrigin(t.Context(), "model", newRequest("x"), "unknown")
		require.NotNil(t, fault)
		require.Equal(t, rwcode.OriginUnknown, fault.Code)
	})
}

// restartFleet is a fleet in which a stream was granted at e0, the only engine,
// which runs v1. All routers know a second version.
type restartFleet struct {
	*fleet
	grant Grant
	// stranger is a router that has no record of the stream.
	stranger *node
}

func newRestartFleet(t *testing.T, begun bool) restartFleet {
	f := restartFleet{fleet: newFleet(t, 8, newVersionedSnapshot("v1"))}
	for name := range f.nodes {
		f.observe([]string{name}, "v1", "v2")
	}
	f.tell("v1", 0)
	f.grant = f.begin(t, "s", begun)
	copies := f.nodes[f.grant.Owner].successors(cellKey{Service: "model"}, originCopies)
	for _, n := range f.nodes {
		if _, ok := n.Origins.Find(time.Now(), "s"); !ok && !slices.Contains(copies, n.id) {
			f.stranger = n
		}
	}
	require.NotNil(t, f.stranger)
	return f
}

// begin has a stream granted, and reported if begun is set, and waits until its
// owner knows that and has had time to copy it.
func (f restartFleet) begin(t *testing.T, stream string, begun bool) Grant {
	r := newRequest("x" + stream)
	r.Stream = stream
	g, fault := f.nodes["r0"].Acquire(t.Context(), "model", r)
	require.Nil(t, fault)
	if begun {
		g.FirstEvent()
	}
	time.Sleep(4 * originFlushInterval)
	_, ok := f.nodes[g.Owner].Origins.Find(time.Now(), stream)
	require.Equal(t, begun, ok)
	return g
}

// uncertain returns how many resumptions a router refused because their version was
// uncertain.
func uncertain(n *node) string {
	if v := n.metrics.Counters.Get("origins_uncertain"); v != nil {
		return v.String()
	}
	return "0"
}

// tell gives routers the store's news of e0, or all routers if none are named.
func (f restartFleet) tell(software string, startMillis int64, names ...string) {
	for name, n := range f.nodes {
		if len(names) == 0 || slices.Contains(names, name) {
			n.Origins.Observe(time.Now(), []rwinstance.Instance{{ID: "e0", Service: "model", Software: software, StartMillis: startMillis}})
		}
	}
}

// requireRefused requires that a resumption is refused, and if the stream is known
// to have begun, that it is refused for its version.
func (f restartFleet) requireRefused(t *testing.T, n *node, begun bool) {
	t.Helper()
	_, fault := n.FindOrigin(t.Context(), "model", newRequest("y"), "s")
	require.NotNil(t, fault, n.id.Name)
	require.Equal(t, rwcode.OriginUnknown, fault.Code)
	require.Positive(t, fault.RetryAfter)
	if begun {
		require.Equal(t, "1", uncertain(n), n.id.Name)
	}
}

// Guards against a stream that goes on at the version that its engine had before it
// started again with another one: the stream may have begun after the restart and
// before the store said so. The news may reach the router that is asked, or those
// that know the stream, first.
func TestOriginAtARestartedEngineIsUnknown(t *testing.T) {
	t.Run("all routers know", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, true)
			f.tell("v2", 2)
			for _, n := range f.nodes {
				f.requireRefused(t, n, true)
			}
		})
	})
	t.Run("granted only", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, false)
			f.tell("v2", 2)
			for _, n := range f.nodes {
				f.requireRefused(t, n, false)
			}
		})
	})
	t.Run("only the router that is asked knows", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, true)
			f.tell("v2", 2, f.stranger.id.Name)
			f.requireRefused(t, f.stranger, true)
		})
	})
	t.Run("only the others know", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, true)
			for name := range f.nodes {
				if name != f.stranger.id.Name {
					f.tell("v2", 2, name)
				}
			}
			f.requireRefused(t, f.stranger, true)
		})
	})
	t.Run("origin arrives late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, true)
			o, ok := f.nodes[f.grant.Owner].Origins.Find(time.Now(), "s")
			require.True(t, ok)
			f.tell("v2", 2, f.stranger.id.Name)
			late := originsMessage{[]originRecord{{ID: "s", Origin: o, Begun: true}}}
			require.NoError(t, f.nodes[f.grant.Owner].peers.Call(t.Context(), f.stranger.id.Addr, "origins", late, nil))
			_, ok = f.stranger.Origins.Find(time.Now(), "s")
			require.True(t, ok)
			f.requireRefused(t, f.stranger, true)
		})
	})
	t.Run("back at its first version", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, true)
			f.tell("v2", 2)
			f.tell("v1", 3)
			for _, n := range f.nodes {
				f.requireRefused(t, n, true)
			}
		})
	})
}

// Guards against refusals of streams whose engine started again at the same
// version, and of streams that began at the new version.
func TestOriginAtARestartedEngineIsKept(t *testing.T) {
	t.Run("same version", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, true)
			f.tell("v1", 2)
			for _, n := range f.nodes {
				n.requireFound(t, "s", "v1")
			}
		})
	})
	t.Run("began after the news", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFleet(t, true)
			restarted := newVersionedSnapshot("v2")
			for _, n := range f.nodes {
				n.mu.Lock()
				n.Published = func() *rwconfigsnapshot.Snapshot { return restarted }
				n.mu.Unlock()
			}
			f.tell("v2", 0)
			f.begin(t, "s2", true)
			for _, n := range f.nodes {
				n.requireFound(t, "s2", "v2")
			}
		})
	})
}

// Guards against messages of routers of an older release, which name no upstream:
// they must be understood, and must not replace a record that does name it.
func TestOriginsOfOlderRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFleet(t, true)
		f.tell("v2", 2)
		owner := f.nodes[f.grant.Owner]
		send := func(from, to *node, stream string) {
			old := map[string]any{"list": []any{map[string]any{"id": stream, "svc": "model", "sw": "v1", "beg": true}}}
			require.NoError(t, from.peers.Call(t.Context(), to.id.Addr, "origins", old, nil))
		}
		send(f.stranger, owner, "s")
		send(owner, f.stranger, "other")
		f.requireRefused(t, owner, true)
		f.stranger.requireFound(t, "other", "v1")
	})
}
