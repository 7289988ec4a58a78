package rwnode

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwschedview"
	"redwingworks.example/internal/rwview"
)

func (n *Node) serveView(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.view())
}

func (n *Node) view() rwview.View {
	snapshot := n.configSync.Snapshot()
	v := rwview.View{
		Router: n.self.Name, Zone: n.self.Zone, Region: n.self.Region, Inc: n.self.Inc,
		Policy: n.settings.Policy, Ready: n.ready(), Draining: n.draining.Load(),
		Rev: snapshot.Rev(), InvalidRecords: n.configSync.InvalidRecords(), PlatformUp: n.configSync.PlatformUp(),
		Members: n.viewMembers(),
	}
	v.Waiting, v.Running = n.policy.Counts()
	scheds := n.owner.Views()
	live := n.liveInRegion()
	windows := map[string]rwschedview.Upstream{}
	cells := n.cells()
	owners := rwcell.AssignOwners(cells, live)
	for _, c := range cells {
		owner := owners[c.Name]
		v.Cells = append(v.Cells, rwview.Cell{Name: c.Name, Pool: c.Group, Zone: c.Zone, Owner: owner.Name})
		s, mine := scheds[c.Name]
		if !mine {
			continue
		}
		for _, u := range s.Upstreams {
			windows[u.Name] = u
		}
		for _, a := range s.Accounts {
			v.Accounts = addAccount(v.Accounts, c.Group, a)
		}
	}
	for _, u := range snapshot.Upstreams() {
		state := "live"
		if u.Leaving {
			state = "leaving"
		}
		w := windows[u.Name]
		v.Upstreams = append(v.Upstreams, rwview.Upstream{
			Name: u.Name, Pool: rwcell.GroupName(u.Pools), Zone: u.Zone, State: state, Window: w.Window, Running: w.Running,
		})
	}
	slices.SortFunc(v.Accounts, func(a, b rwview.Account) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Pool, b.Pool))
	})
	return v
}

// addAccount adds an account's state in one cell to its state in the pool: sums
// over the cells that this router owns, and the highest of their virtual times.
func addAccount(list []rwview.Account, pool string, a rwschedview.Account) []rwview.Account {
	if a.Virtual == 0 && a.Backlog == 0 && a.Running == 0 {
		return list
	}
	i := slices.IndexFunc(list, func(x rwview.Account) bool { return x.Name == a.Name && x.Pool == pool })
	if i < 0 {
		list = append(list, rwview.Account{Name: a.Name, Pool: pool, Weight: a.Weight})
		i = len(list) - 1
	}
	x := &list[i]
	x.Service += a.Total
	x.VirtualTime = max(x.VirtualTime, a.Virtual)
	x.Backlog += a.Backlog
	x.Running += a.Running
	return list
}

// viewMembers returns the live routers and the published VMs that are not live.
func (n *Node) viewMembers() []rwview.Member {
	var out []rwview.Member
	known := map[string]bool{}
	for _, r := range n.gossip.Live("") {
		known[r.Name] = true
		out = append(out, rwview.Member{Name: r.Name, Zone: r.Zone, State: "alive", Inc: r.Inc})
	}
	for _, m := range n.configSync.Snapshot().VMs() {
		if known[m.Name] {
			continue
		}
		state := "dead"
		r, reachable := n.gossip.Find(m.Name)
		if reachable {
			state = "leaving"
		}
		out = append(out, rwview.Member{Name: m.Name, Zone: m.Zone, State: state, Inc: r.Inc})
	}
	slices.SortFunc(out, func(a, b rwview.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
