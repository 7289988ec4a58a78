//go:build capacity

package rwcapacity_test

import (
	"fmt"
	"testing"

	"redwingworks.example/internal/rwcell"
)

const (
	// listChangesPerDay is the number of changes of the VM list. A VM that is
	// restarted or replaced changes it twice, by leaving and becoming live; so
	// does one that fails and returns.
	listChangesPerDay = 2 * (9 + 160)
	secondsPerDay     = 86400.0
	// watchBytes is the size of a call to the platform, which a reader makes
	// every 2 s.
	watchBytes = 200.0
	// keysPerNode assumes one call with a key per second and node, whose outcome
	// is kept for ten minutes.
	keysPerNode = 600.0
	// waitingPerNode assumes that as many requests wait as run.
	waitingPerNode = streams
	// gcFactor is the size to which Go's garbage collector lets the heap grow,
	// as a multiple of the live memory.
	gcFactor        = 2.0
	mega            = 1e6
	percentPerMicro = 100 / 1e6 // percent of a core for one microsecond per second
)

// ownedLoad is the number of cells that one router owns and of their upstreams.
type ownedLoad struct{ cells, upstreams int }

// ownerLoads returns the mean number of cells and the highest load of the routers
// of a region, from the real partition and assignment.
func ownerLoads(f *fullFleet) (mean float64, most ownedLoad) {
	list := map[string]ownedLoad{}
	all := rwcell.AssignOwners(f.cells, f.live)
	for _, c := range f.cells {
		r := all[c.Name]
		l := list[r.Name]
		l.cells++
		l.upstreams += len(c.Upstreams)
		list[r.Name] = l
		if l.upstreams > most.upstreams {
			most = l
		}
	}
	return float64(len(f.cells)) / float64(len(f.live)), most
}

// TestCapacity runs all measurements and writes their sums. It fails if a sum is
// over its budget.
func TestCapacity(t *testing.T) {
	slots, member, config, keys := measureSlots(t), measureMembers(t), measureConfig(t), measureKeys(t)
	cpu, mem, proc := measureCPU(t), measureMemory(t), measureProcess(t)
	f := newFullFleet(t, 10)
	mean, most := ownerLoads(f)
	perZone := nodes / zones
	reader := 2000 * config.push * float64(perZone-1+2*(zones-1)) / secondsPerDay
	starts := (2*config.copy + 8*config.sums) * 169 / secondsPerDay / nodes
	changes := keys.spread * listChangesPerDay / secondsPerDay
	members := member.quiet + (member.failure+member.start)*169/secondsPerDay/nodes
	ownerMean := slots.grant*nodeRate + slots.report*mean
	ownerMost := slots.grant*serverRate*float64(most.upstreams) + slots.report*float64(most.cells)
	entry := slots.entry * nodeRate

	sent := newTable("byte sums", "role", "mechanism", "B/s sent, mean node", "B/s sent, busiest node")
	rows := []struct {
		role, mechanism string
		mean, most      float64
	}{
		{"entry router", "backlogs, ends and usage in `want`, batched by cell; saturation at 8 and the delay of 50 ms", entry, entry},
		{"owner of a cell", "`grant`; `report` within 900 B/s a cell", ownerMean, ownerMost},
		{"member", "one probe in 500 ms, 8 updates in each", members, members},
		{"configuration reader", "two readers a zone push each change; watch of the platform", (reader + watchBytes/2) * 2 / float64(perZone), reader + watchBytes/2},
		{"other configuration receiver", "digests in probes (counted as member); copies for routers that start, from two peers", starts, starts},
		{"home of keys", "one query to each other router a list change; answers without covers", changes / 2, changes / 2},
		{"witness", "answers to queries and traces", changes / 2, changes / 2},
	}
	total, top := 0.0, 0.0
	for _, r := range rows {
		sent.addRow(r.role, r.mechanism, r.mean, r.most)
		total, top = total+r.mean, top+r.most
	}
	sent.addRow("all", "budget 5,000 B/s", total, top)
	sent.addRow("cells a node", fmt.Sprintf("%d cells of %d routers in a region; the busiest owns %d with %d upstreams", len(f.cells), len(f.live), most.cells, most.upstreams), mean, float64(most.cells))
	sent.write(t)

	core := newTable("processor sums", "role", "worked out from", "% of a core, mean node")
	sum := 0.0
	add := func(role, from string, micros float64) {
		core.addRow(role, from, micros*percentPerMicro)
		sum += micros * percentPerMicro
	}
	add("entry router and owner", fmt.Sprintf("%.1f messages a request over links, %.1f requests/s", slots.messages, nodeRate), nodeRate*slots.messages*cpu.link)
	add("entry router", "queue and backlogs", nodeRate*cpu.entry)
	add("owner", "decisions, ticks", nodeRate*cpu.owner+20*cpu.ownerTick)
	add("member", "messages, ticks", member.messages*cpu.probeLink+20*cpu.memberTick)
	add("configuration", "a change each 43 s: adoption, cells, entry router, owner", (cpu.adopt+cpu.cells+cpu.fair+cpu.ownerConfig+2*cpu.probeLink)/configIntervalSeconds)
	add("member change", "each 8.5 minutes: cells, entry router, owner", (cpu.cells+cpu.fair+cpu.ownerMember)/memberIntervalSeconds)
	add("home and witness", "ticks; after a list change the answers, 0.5 s of costly ticks and the messages", 10*cpu.onceTick+listChangesPerDay/secondsPerDay*(cpu.listChange+5*cpu.onceStart+2*nodes*cpu.probeLink))
	core.addRow("all", "budget 1.6%", sum)
	core.write(t)

	room := newTable("memory sums", "state", "number", "bytes each", "MB")
	megabytes := proc.full
	room.addRow("a real router with 255 streams and 3,100 accounts, peak resident", "1", "measured", proc.full)
	addHeap := func(what string, n, each float64) {
		v := n * each * gcFactor / mega
		room.addRow(what+", twice for the collector", n, each, v)
		megabytes += v
	}
	addHeap("links to and from a peer", nodes-1, mem.link)
	addHeap("members", nodes, mem.member)
	addHeap("further records", records-accounts, mem.record)
	addHeap("accounts in further schedulers, busiest node", float64(most.cells-1)*accounts, mem.account)
	addHeap("waiting requests (assumed)", waitingPerNode, mem.waiting)
	addHeap("keys (assumed)", keysPerNode, mem.key)
	room.addRow("all", "", "budget 256 MB", megabytes)
	room.write(t)
	for _, c := range []struct {
		what      string
		got, want float64
	}{{"bytes sent, mean", total, bytesBudget}, {"bytes sent, busiest node", top, bytesBudget}, {"processor", sum, corePercentBudget}, {"memory", megabytes, memoryBudgetMB}} {
		if c.got > c.want {
			t.Errorf("%s: %.1f is over the budget of %.1f", c.what, c.got, c.want)
		}
	}
}
