package rwcell_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwidentity"
)

func fleet(routers, cells int) (live []rwidentity.Identity, list []rwcell.Cell) {
	for i := range routers {
		live = append(live, rwidentity.Identity{Name: fmt.Sprintf("router-%03d", i), Zone: fmt.Sprint("z", i%3)})
	}
	for i := range cells {
		list = append(list, rwcell.Cell{Name: fmt.Sprintf("cell-%03d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return live, list
}

// Guards against a router that owns more than its even share of a zone's cells,
// and against an owner in another zone while the cell's zone has routers.
func TestOwnersAreEven(t *testing.T) {
	for _, c := range []struct{ routers, cells, most int }{{190, 107, 1}, {9, 30, 4}, {3, 7, 3}} {
		live, cells := fleet(c.routers, c.cells)
		count := map[string]int{}
		owners := rwcell.AssignOwners(cells, live)
		for _, x := range cells {
			require.Equal(t, x.Zone, owners[x.Name].Zone)
			count[owners[x.Name].Name]++
		}
		for name, n := range count {
			require.LessOrEqual(t, n, c.most, name)
		}
	}
}

// Guards against a change of one router that moves many cells. By score alone it
// moves only the cells of that router; the limit on cells per router displaces
// others.
func TestChangeMovesFewCells(t *testing.T) {
	live, cells := fleet(190, 107)
	before := rwcell.AssignOwners(cells, live)
	moved, most := 0, 0
	for i := range live {
		rest := append(append([]rwidentity.Identity{}, live[:i]...), live[i+1:]...)
		n := 0
		for name, r := range rwcell.AssignOwners(cells, rest) {
			if r != before[name] {
				n++
			}
		}
		moved, most = moved+n, max(most, n)
	}
	t.Logf("a change moves %.2f cells, at most %d", float64(moved)/float64(len(live)), most)
	require.Less(t, moved, 2*len(live))
	require.LessOrEqual(t, most, 8)
}

// Guards against cells without an owner because their zone has no live router.
func TestOwnersOutsideTheZone(t *testing.T) {
	live, cells := fleet(9, 6)
	var rest []rwidentity.Identity
	for _, r := range live {
		if r.Zone != "z0" {
			rest = append(rest, r)
		}
	}
	require.Len(t, rwcell.AssignOwners(cells, rest), len(cells))
	require.Empty(t, rwcell.AssignOwners(cells, nil))
}
