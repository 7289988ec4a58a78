package rwconfigdiff

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigdraft"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/platform/rwstoreclient"
)

func read(t *testing.T, name string) *rwconfigdraft.Draft {
	data, err := os.ReadFile("testdata/" + name + ".json")
	require.NoError(t, err)
	d, err := rwstoreclient.DecodeDraft(data)
	require.NoError(t, err)
	return d
}

func text(changes []Change) []byte {
	var out bytes.Buffer
	for _, c := range changes {
		_, _ = fmt.Fprintln(&out, c)
	}
	return out.Bytes()
}

// Guards against a change that operators publish unseen, in either direction, and
// against keys in the output.
func TestChanges(t *testing.T) {
	from, to := read(t, "from"), read(t, "to")
	forth, back := text(New(from, to)), text(New(to, from))
	require.NotContains(t, string(forth)+string(back), "secret-key")
	goldie.New(t).Assert(t, "forth", forth)
	goldie.New(t).Assert(t, "back", back)
}

// Guards against differences between equal configurations, also if entries are listed
// in another order, which matters only for routes with equal host and prefix.
func TestEqualConfigurationsDoNotDiffer(t *testing.T) {
	from := read(t, "from")
	require.Empty(t, New(from, read(t, "from")))
	require.Empty(t, New(&rwconfigdraft.Draft{}, &rwconfigdraft.Draft{}))
	turned := read(t, "from")
	turned.Services[0], turned.Services[1] = turned.Services[1], turned.Services[0]
	turned.Accounts[0].Keys[0], turned.Accounts[0].Keys[1] = turned.Accounts[0].Keys[1], turned.Accounts[0].Keys[0]
	require.Empty(t, New(from, turned))
}

// Guards against a change of an entry that is hidden by another one of its name.
func TestEntriesWithOneName(t *testing.T) {
	config := func(prefixes ...string) *rwconfigdraft.Draft {
		d := &rwconfigdraft.Draft{}
		for _, p := range prefixes {
			d.Routes = append(d.Routes, rwrouteconfig.Route{Name: "r", Prefix: p})
		}
		return d
	}
	require.Equal(t, []Change{{`route "r"`, `prefix "/a/" -> "/c/"`}}, New(config("/a/", "/b/"), config("/c/", "/b/")))
	require.Equal(t, []Change{{`route "r" (2)`, "removed"}}, New(config("/a/", "/b/"), config("/a/")))
}
