package rwpropertyrunner_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwdrill/internal/rwpropertyrunner"
	"redwingworks.example/cmd/rwdrill/internal/rwpropertytest"
)

// Guards against a property that is printed as held although its test failed, was
// skipped, doesn't exist, did not end or was not built.
func TestVerdicts(t *testing.T) {
	run := `{"Action":"run","Test":"TestX"}` + "\n"
	cases := map[string]struct{ output, want string }{
		"pass":           {run + `{"Action":"pass","Test":"TestX"}` + "\n" + `{"Action":"pass"}`, "held"},
		"fail":           {run + `{"Action":"fail","Test":"TestX"}` + "\n" + `{"Action":"fail"}`, "broken"},
		"skip":           {run + `{"Action":"skip","Test":"TestX"}` + "\n" + `{"Action":"pass"}`, "not proved"},
		"no such test":   {`{"Action":"output","Output":"no tests to run"}` + "\n" + `{"Action":"pass"}`, "not proved"},
		"other test":     {`{"Action":"pass","Test":"TestXY"}` + "\n" + `{"Action":"pass"}`, "not proved"},
		"panic at exit":  {run + `{"Action":"pass","Test":"TestX"}` + "\n" + `{"Action":"fail"}`, "broken"},
		"did not end":    {run + "\nsignal: killed\n", "not proved"},
		"was not built":  {"x.go:1:1: syntax error\n" + `{"Action":"fail"}`, "not proved"},
		"failed subtest": {run + `{"Action":"fail","Test":"TestX/a"}` + "\n" + `{"Action":"fail","Test":"TestX"}`, "broken"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := rwpropertyrunner.New(7)
			p.Table = []rwpropertytest.Entry{{Property: "P0", Package: "p", Test: "TestX", Seeded: true}}
			p.RunTest = func(_ context.Context, _ rwpropertytest.Entry, seed uint64) []byte {
				require.EqualValues(t, 7, seed)
				return []byte(c.output)
			}
			var w strings.Builder
			err := p.Run(t.Context(), &w)
			require.Equal(t, c.want == "broken", err != nil)
			require.True(t, strings.HasPrefix(w.String(), "P0: "+c.want+" p TestX seed=7\n"), w.String())
		})
	}
}

// Guards against a property of the design without an entry in the table.
func TestTableIsComplete(t *testing.T) {
	seen := map[string]bool{}
	for _, p := range rwpropertyrunner.Table {
		seen[p.Property] = true
	}
	for _, name := range []string{"P1 fair", "P2 live", "P3 whole", "P4 notrun", "P5 once", "P6 leaving", "P7 drain", "P8 config"} {
		require.True(t, seen[name], name)
	}
}
