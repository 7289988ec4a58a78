package rwrecordcheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwrecord"
)

func findings(c *Checker) string {
	var b strings.Builder
	for _, f := range c.Findings() {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

func check(t *testing.T, names ...string) string {
	c := New()
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		require.NoError(t, err)
		c.AddFile(name, data)
	}
	return findings(c)
}

// Guards against a missed fault, a rejected valid record, and a check that stops
// at the first fault. The files contain both schema versions.
func TestGolden(t *testing.T) {
	g := goldie.New(t)
	g.Assert(t, "good", []byte(check(t, "good.json")))
	g.Assert(t, "bad", []byte(check(t, "bad.json", "broken.json", "one.json")))
}

// Guards against findings about files that are valid together with the published
// records, and against a revision that routers would ignore.
func TestPublished(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "good.json"))
	require.NoError(t, err)
	items, err := parse(data)
	require.NoError(t, err)
	for i := range items {
		items[i].Rev = 10
	}
	c := New()
	c.AddPublished(items)
	c.AddFile("kind.json", []byte(`{"kind":"kind","name":"draft","rev":11,"schema":1,"value":{"urgency":3,"pool":"drafter","idempotent":true}}`))
	require.Empty(t, findings(c))
	require.Equal(t, 1, c.Records())

	c = New()
	c.AddPublished(items)
	c.AddFile("gone.json", []byte(`[{"kind":"upstream","name":"engine-1","rev":10,"schema":1,"gone":true},{"kind":"upstream","name":"engine-2","schema":1,"gone":true}]`))
	text := findings(c)
	require.Contains(t, text, "upstream engine-1: revision 10 is not above the published 10")
	require.Contains(t, text, "kind draft: no upstream serves its pool drafter")
}

// Guards against a file that causes a panic.
func FuzzFile(f *testing.F) {
	for _, name := range []string{"good.json", "bad.json", "broken.json", "one.json"} {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := New()
		c.AddPublished([]rwrecord.Record{{Kind: "kind", Name: "k", Rev: 3}})
		c.AddFile("a", data)
		c.AddFile("b", data)
		c.Findings()
	})
}
