// Package rwcellload decides to which other cell of a pool a request goes that its
// own cell has no room for. It answers a load that the affinity of prompts makes
// uneven: a popular prompt part fills the engines of one cell, whose owner refuses
// requests while engines of other cells are idle. A router learns the load of a cell
// from the owner's decisions on its own requests, so that nothing is sent for it. The
// package reads no clock and does no I/O.
package rwcellload

import (
	"time"
)

const (
	// minRoom is the room from which on a cell takes requests of others. A cell that is
	// nearly full would refuse its own requests for them.
	minRoom = 0.4
	// freshFor is how long a statement counts. Demand moves between cells within a
	// second.
	freshFor = 700 * time.Millisecond
	// sentRoom is what each request sent to another cell takes of its room until the
	// owner's next decision, so that a router doesn't send a burst to one cell.
	sentRoom = 0.05
	// maxServices bounds the services that are remembered.
	maxServices = 64
)

// Table holds the room of cells as one router knows it. It is not safe for
// concurrent use.
type Table struct {
	cells map[string]map[int]report
}

type report struct {
	room float64
	at   time.Time
}

// New returns an empty table.
func New() *Table { return &Table{cells: map[string]map[int]report{}} }

// Note records the room that the owner of a cell stated: the fraction of its engines
// that can start a request at once, less the requests that wait for each engine. It is 0
// if the owner stated none, as one of an earlier release does.
func (t *Table) Note(now time.Time, service string, cell int, room float64) {
	if t.cells[service] == nil {
		if len(t.cells) >= maxServices {
			clear(t.cells)
		}
		t.cells[service] = map[int]report{}
	}
	t.cells[service][cell] = report{room, now}
}

// HasRoom reports whether Pick would find a cell.
func (t *Table) HasRoom(now time.Time, service string, cells, home int) bool {
	_, ok := t.find(now, service, cells, home, 0)
	return ok
}

// Pick returns a cell other than home, of the given number of cells, that has room
// for a request, and counts the request there. The choice among several depends on
// spread, so that routers which know the same don't all pick the same one. It returns
// false if no cell is known to have room.
func (t *Table) Pick(now time.Time, service string, cells, home int, spread uint64) (int, bool) {
	cell, ok := t.find(now, service, cells, home, spread)
	if ok {
		r := t.cells[service][cell]
		r.room -= sentRoom
		t.cells[service][cell] = r
	}
	return cell, ok
}

func (t *Table) find(now time.Time, service string, cells, home int, spread uint64) (int, bool) {
	if cells <= 1 {
		return 0, false
	}
	first := int(spread % uint64(cells))
	for i := range cells {
		cell := (first + i) % cells
		r, ok := t.cells[service][cell]
		if ok && cell != home && r.room >= minRoom && now.Sub(r.at) <= freshFor {
			return cell, true
		}
	}
	return 0, false
}
