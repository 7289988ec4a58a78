//go:build capacity

package rwcapacity_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwcapacity"
)

// The size of the fleet in two years, from docs/design.md, section 1, and the
// budgets.
const (
	nodes                 = 380
	zones                 = 6
	regions               = 2
	upstreams             = 600
	models                = 22
	accounts              = 3100
	backlogged            = accounts / 10
	requestRate           = 5100.0
	nodeRate              = requestRate / nodes
	streams               = 255
	configIntervalSeconds = 86400.0 / 2000
	memberIntervalSeconds = 86400.0 / (9 + 160)
	cellSize              = 4
	records               = accounts + upstreams + nodes + models
	serverRate            = requestRate / upstreams
	bytesBudget           = 5000.0
	corePercentBudget     = 1.6
	memoryBudgetMB        = 256.0
)

const capacityPage = "../../docs/CAPACITY.md"

// pageTable is a table of capacityPage between two marker comments.
type pageTable struct {
	name string
	rows [][]string
}

func newTable(name string, head ...string) *pageTable {
	line := make([]string, len(head))
	for i := range line {
		line[i] = "---"
	}
	return &pageTable{name: name, rows: [][]string{head, line}}
}

func (tb *pageTable) addRow(cells ...any) {
	var row []string
	for _, c := range cells {
		if v, ok := c.(float64); ok {
			row = append(row, formatNumber(v))
			continue
		}
		row = append(row, fmt.Sprint(c))
	}
	tb.rows = append(tb.rows, row)
}

func formatNumber(v float64) string {
	switch {
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1 || v <= -1:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// write prints the table and replaces it in capacityPage.
func (tb *pageTable) write(t *testing.T) {
	t.Helper()
	var text strings.Builder
	for _, r := range tb.rows {
		text.WriteString("| " + strings.Join(r, " | ") + " |\n")
	}
	fmt.Printf("\n%s\n%s", tb.name, text.String())
	data, err := os.ReadFile(capacityPage)
	require.NoError(t, err)
	begin, end := "<!-- begin "+tb.name+" -->\n", "<!-- end "+tb.name+" -->"
	before, rest, found := strings.Cut(string(data), begin)
	require.True(t, found, "no marker for %s", tb.name)
	_, after, found := strings.Cut(rest, end)
	require.True(t, found, "no end marker for %s", tb.name)
	require.NoError(t, os.WriteFile(capacityPage, []byte(before+begin+text.String()+end+after), 0o644))
}

// addFit fits a line, adds a row with the fit and its points, and returns the
// fit.
func (tb *pageTable) addFit(what string, x, y []float64) rwcapacity.Fit {
	f := rwcapacity.New(x, y)
	var points []string
	for i := range x {
		points = append(points, formatNumber(x[i])+": "+formatNumber(y[i]))
	}
	tb.addRow(what, strings.Join(points, ", "), f.Slope, f.Intercept, fmt.Sprintf("%.1f%%", 100*f.Residual))
	return f
}

var fitColumns = []string{"measured", "points", "slope", "intercept", "residual"}
