package rwlog

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

const root = "../.."

// row is a table row of docs/events.md.
type row struct {
	name, level, meaning, action string
}

func catalogue(t *testing.T) map[Event]row {
	data, err := os.ReadFile(filepath.Join(root, "docs", "events.md"))
	require.NoError(t, err)
	rows := map[Event]row{}
	last := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		if !strings.HasPrefix(line, "| ") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		n, err := strconv.Atoi(cells[0])
		if err != nil {
			require.Equal(t, "event", cells[0], "a row without a number")
			continue
		}
		require.Len(t, cells, 5, line)
		require.Greater(t, n, last, "rows must be in order and unique")
		last = n
		rows[Event(n)] = row{cells[1], cells[2], cells[3], cells[4]}
	}
	return rows
}

// Guards against events that are missing from docs/events.md, against rows whose
// event no longer exists, and against rows without an explanation.
func TestCatalogueIsComplete(t *testing.T) {
	rows := catalogue(t)
	const maxEvent = 10000
	for e := Event(0); e < maxEvent; e++ {
		r, listed := rows[e]
		defined := !strings.HasPrefix(e.String(), "Event(")
		require.Equal(t, defined, listed, "event %d %s", int(e), e)
		if !listed {
			continue
		}
		require.Equal(t, e.String(), r.name)
		require.Contains(t, []string{"info", "warn"}, r.level, r.name)
		require.Greater(t, len(r.meaning), 20, r.name)
		require.GreaterOrEqual(t, len(r.action), len("Nothing."), r.name)
		if r.level == "warn" {
			require.False(t, strings.HasPrefix(r.action, "Nothing.") && len(r.action) < 20, "warning %s needs an action", r.name)
		}
	}
}

// constants returns the event numbers by the names of their constants.
func constants(t *testing.T) map[string]Event {
	file, err := parser.ParseFile(token.NewFileSet(), "rwlog.go", nil, 0)
	require.NoError(t, err)
	out := map[string]Event{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if v, ok := spec.Values[0].(*ast.BasicLit); ok {
			number, err := strconv.Atoi(v.Value)
			require.NoError(t, err)
			out[spec.Names[0].Name] = Event(number)
		}
		return true
	})
	return out
}

// Guards against a level in docs/events.md that differs from the one in the code,
// in any call in any module.
func TestLevelsAreThoseOfTheCode(t *testing.T) {
	rows, numbers := catalogue(t), constants(t)
	require.Len(t, numbers, len(rows))
	calls := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			level, event := logCall(n)
			if event == "" {
				return true
			}
			calls++
			number, ok := numbers[event]
			require.True(t, ok, "%s: %s", path, event)
			require.Equal(t, rows[number].level, level, "%s: %s", path, event)
			return true
		})
		return nil
	})
	require.NoError(t, err)
	require.Positive(t, calls)
}

// logCall returns the level and the constant's name of a call like
// rwlog.Info(&log, rwlog.Started), or "".
func logCall(n ast.Node) (level, event string) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) < 2 {
		return "", ""
	}
	f, ok := selector(call.Fun)
	if !ok || (f != "Info" && f != "Warn") {
		return "", ""
	}
	event, _ = selector(call.Args[1])
	return strings.ToLower(f), event
}

func selector(e ast.Expr) (string, bool) {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	x, ok := s.X.(*ast.Ident)
	return s.Sel.Name, ok && x.Name == "rwlog"
}

// Guards against log lines without the fields that alerts match.
func TestFields(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, "rwrouter")
	Info(&log, Started).Send()
	Warn(&log, PlatformLost, rwfault.New(rwcode.PlatformDown, "x")).Send()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	var got struct {
		Level, Process, Name, Code, Detail, Time string
		Event                                    int
	}
	require.NoError(t, json.Unmarshal([]byte(lines[1]), &got))
	require.NotEmpty(t, got.Time)
	require.Equal(t, "warn rwrouter platform lost platform_down platform_down: x", strings.Join(
		[]string{got.Level, got.Process, got.Name, got.Code, got.Detail}, " "))
	require.Equal(t, 203, got.Event)
}
