package rwcell_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwupstream"
	"redwingworks.example/internal/rwvm"
)

func snapshotOf(upstreams int) *rwsnapshot.Snapshot {
	var list []rwupstream.Upstream
	for i := range upstreams {
		list = append(list, rwupstream.Upstream{
			Name: fmt.Sprintf("u%d", i), Pools: []string{"m"}, Zone: fmt.Sprintf("z%d", i%2), Window: 4, Engine: true,
		})
	}
	list = append(list, rwupstream.Upstream{Name: "leaving", Pools: []string{"m"}, Zone: "z0", Leaving: true})
	return rwsnapshot.Empty().WithUpstreams(list)
}

// Guards against an upstream in no cell or in two, and against leaving upstreams
// in a cell.
func TestEachUpstreamIsInOneCell(t *testing.T) {
	seen := map[string]int{}
	for _, c := range rwcell.Partition(snapshotOf(40), 4) {
		for _, u := range c.Upstreams {
			seen[u.Name]++
			require.Equal(t, c.Zone, u.Zone)
			require.False(t, u.Leaving)
		}
	}
	require.Len(t, seen, 40)
	for name, n := range seen {
		require.Equal(t, 1, n, name)
	}
}

// Guards against an owner in another zone while the cell's zone has a live
// router, against a cell without an owner, and against owners that depend on the
// order of the list.
func TestOwner(t *testing.T) {
	router := func(name, zone string) rwidentity.Identity { return rwidentity.Identity{Name: name, Zone: zone} }
	live := []rwidentity.Identity{router("a", "z0"), router("b", "z1"), router("c", "z1"), router("d", "z2")}
	cells := rwcell.Partition(snapshotOf(8), 4)
	reversed := []rwidentity.Identity{live[3], live[2], live[1], live[0]}
	owners, again := rwcell.AssignOwners(cells, live), rwcell.AssignOwners(cells, reversed)
	far, none := rwcell.AssignOwners(cells, live[3:]), rwcell.AssignOwners(cells, nil)
	for _, c := range cells {
		owner, ok := owners[c.Name]
		require.True(t, ok)
		require.Equal(t, c.Zone, owner.Zone)
		require.Equal(t, owner, again[c.Name])
		require.Equal(t, "d", far[c.Name].Name)
		_, ok = none[c.Name]
		require.False(t, ok)
	}
}

// Guards against routers that use upstreams of another region although their own
// has some, or use none although another region has some.
func TestInRegion(t *testing.T) {
	v := snapshotOf(8).WithVMs([]rwvm.VM{{Name: "a", Zone: "z0", Region: "east"}, {Name: "b", Zone: "z1", Region: "west"}})
	all := rwcell.Partition(v, 4)
	for _, c := range rwcell.InRegion(all, v, "east") {
		require.Equal(t, "z0", c.Zone)
	}
	require.Len(t, rwcell.InRegion(all, v, "east"), 1)
	require.Len(t, rwcell.InRegion(all, v, "north"), 2)
}
