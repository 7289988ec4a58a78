package rwbroker

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrouteconfig"
)

// newCellsFleet returns a router of a pool of two cells, whose engines have one slot
// each and can copy prompt parts, and the engines of each cell.
func newCellsFleet(t *testing.T) (n *node, cells map[int]int) {
	const engines = 30
	var list []rwinstance.Instance
	cells = map[int]int{}
	for i := range engines {
		id := "e" + strconv.Itoa(i)
		list = append(list, rwinstance.Instance{ID: id, Service: "model", Addr: "10.0.0.1:" + strconv.Itoa(100+i), Zone: "z"})
		cells[cellIndex(id, 2)]++
	}
	require.Len(t, cells, 2)
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{{
		Name: "model", Engine: &rwrouteconfig.Engine{Slots: 1, KVCapacity: 1e6, TokenBytes: 1000, LinkBitsPerSecond: 1e12},
	}}, nil)
	return newFleet(t, 1, rwconfigsnapshot.New(config, 1, time.Now(), list)).nodes["r0"], cells
}

// sharedPrompt returns a request on a shared prompt part that maps to a cell.
func sharedPrompt(t *testing.T, n *node, cell int) rwplacement.Request {
	for i := range 100 {
		r := newRequest("own")
		r.Parts = []rwprompt.Part{{ID: "shared" + strconv.Itoa(i), Tokens: 5000}, {ID: "own", Tokens: 500}}
		if k, ok := n.cellOf("model", r); ok && k.Cell == cell {
			return r
		}
	}
	require.Fail(t, "no prompt part maps to the cell")
	return rwplacement.Request{}
}

// slowDown serves requests in a cell as slow engines do, until its owner has measured
// that they are slow.
func slowDown(t *testing.T, n *node, cell int) {
	const speed = 40_000.0
	r := sharedPrompt(t, n, cell)
	r.Target, r.UniqueTokens = time.Second, 4000
	for i := range 80 {
		r.Parts[1] = rwprompt.Part{ID: "own" + strconv.Itoa(i), Tokens: r.UniqueTokens}
		g, fault := n.Acquire(t.Context(), "model", r)
		require.Nil(t, fault)
		time.Sleep(40*time.Millisecond + time.Duration(float64(g.UncachedTokens)/speed*1e9))
		g.FirstEvent()
		g.End(rwplacement.Served)
	}
}

// Guards against moving requests in a pool whose engines aren't slow, which is served
// as before.
func TestNoRequestMovesBetweenFastCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, cells := newCellsFleet(t)
		hot := sharedPrompt(t, n, 0)
		g, fault := n.Acquire(t.Context(), "model", sharedPrompt(t, n, 1))
		require.Nil(t, fault)
		g.End(rwplacement.Served)
		for range cells[0] {
			g, fault := n.Acquire(t.Context(), "model", hot)
			require.Nil(t, fault)
			g.FirstEvent()
			time.Sleep(20 * time.Millisecond)
		}
		_, fault = n.Acquire(t.Context(), "model", hot)
		require.NotNil(t, fault)
	})
}

// Guards against refusing a request because the engines of its cell are busy while
// those of another one are idle, against prefilling its shared parts again where they
// can be copied, and against a request that waits for its target before it moves.
func TestRequestMovesToACellWithRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, cells := newCellsFleet(t)
		hot, other := sharedPrompt(t, n, 0), sharedPrompt(t, n, 1)
		hot.Target = 2 * time.Second
		slowDown(t, n, 0)
		slowDown(t, n, 1)
		for range cells[0] {
			g, fault := n.Acquire(t.Context(), "model", hot)
			require.Nil(t, fault)
			require.Equal(t, 0, cellIndex(g.Engine, 2))
			g.FirstEvent()
			time.Sleep(20 * time.Millisecond)
		}
		g, fault := n.Acquire(t.Context(), "model", other)
		require.Nil(t, fault)
		g.End(rwplacement.Served)
		start := time.Now()
		g, fault = n.Acquire(t.Context(), "model", hot)
		require.Nil(t, fault)
		require.Less(t, time.Since(start), 50*time.Millisecond)
		require.Equal(t, 1, cellIndex(g.Engine, 2))
		require.NotEmpty(t, g.Source, "its parts are copied")
		require.Less(t, g.UncachedTokens, 5000)
		require.Equal(t, "1", n.metrics.Counters.Get("requests_moved_to_other_cells").String())
	})
}

// Guards against a second message for each request while all cells are full.
func TestNoRequestMovesBetweenFullCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, cells := newCellsFleet(t)
		slowDown(t, n, 0)
		slowDown(t, n, 1)
		for cell, engines := range cells {
			r := sharedPrompt(t, n, cell)
			r.Target = 2 * time.Second
			for range engines {
				_, fault := n.Acquire(t.Context(), "model", r)
				require.Nil(t, fault)
				time.Sleep(20 * time.Millisecond)
			}
		}
		for cell := range cells {
			_, fault := n.Acquire(t.Context(), "model", sharedPrompt(t, n, cell))
			require.NotNil(t, fault)
			require.Equal(t, rwcode.DeadlineUnreachable, fault.Code)
			require.Positive(t, fault.RetryAfter)
		}
		for _, name := range []string{"requests_moved_to_other_cells", "requests_refused_by_other_cells"} {
			require.Nil(t, n.metrics.Counters.Get(name), name)
		}
	})
}
