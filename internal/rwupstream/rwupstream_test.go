package rwupstream

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

const rest = `"zone":"za","addr":"10.0.0.1:80","type":"engine","window":4,"fence":true,"state":"leaving","inc":7`

func record(schema int, value string) rwrecord.Record {
	return rwrecord.Record{Name: "u", Schema: schema, Value: []byte("{" + value + "}")}
}

var good = []rwrecord.Record{
	record(1, `"pool":"p",`+rest),
	record(2, `"pools":["p"],`+rest),
	record(2, `"pool":"p","pools":["p"],"new":{},`+rest),
}

var bad = []rwrecord.Record{
	{Name: "", Schema: 1, Value: good[0].Value},
	{Name: "u", Schema: 1},
	record(1, rest),
	record(1, `"pools":["p"],`+rest),
	record(2, `"pool":"p",`+rest),
	record(2, `"pools":[],`+rest),
	record(2, `"pools":["p",""],`+rest),
	record(2, `"pools":["p","p"],`+rest),
	record(2, `"pool":"p","pools":["q"],`+rest),
	record(1, `"pool":"p",`+strings.Replace(rest, "10.0.0.1:80", "engine.example:80", 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, ":80", ":http", 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, ":80", ":0", 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, "engine", "model", 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, "leaving", "gone", 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, `"window":4`, `"window":0`, 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, `"window":4`, `"window":100000`, 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, `"inc":7`, `"inc":-7`, 1)),
	record(1, `"pool":"p",`+strings.Replace(rest, `"za"`, `""`, 1)),
}

// Guards against a schema version that is decoded like the other.
func TestBothSchemas(t *testing.T) {
	want := Upstream{
		Name: "u", Pools: []string{"p"}, Zone: "za", Addr: "10.0.0.1:80",
		Engine: true, Window: 4, ChecksFence: true, Leaving: true, Inc: 7,
	}
	for _, r := range good {
		u, err := Decode(r)
		require.NoError(t, err, string(r.Value))
		require.Equal(t, want, u)
	}
}

// Guards against invalid or contradictory records that are accepted.
func TestInvalid(t *testing.T) {
	for _, r := range bad {
		_, err := Decode(r)
		require.True(t, rwfault.Is(err, rwcode.RecordInvalid), string(r.Value))
	}
	_, err := Decode(record(3, rest))
	require.True(t, rwfault.Is(err, rwcode.RecordSchema))
}

// Guards against input that causes a panic or an upstream that violates its
// invariants.
func FuzzDecode(f *testing.F) {
	for _, r := range append(good, bad...) {
		f.Add(r.Name, r.Schema, []byte(r.Value))
	}
	f.Fuzz(func(t *testing.T, name string, schema int, value []byte) {
		u, err := Decode(rwrecord.Record{Name: name, Schema: schema, Value: value})
		if err != nil {
			code := rwfault.From(err).Code
			require.Contains(t, []rwcode.Code{rwcode.RecordInvalid, rwcode.RecordSchema}, code)
			return
		}
		require.NotEmpty(t, u.Name)
		require.NotEmpty(t, u.Pools)
		require.NotContains(t, u.Pools, "")
		require.Positive(t, u.Window)
		_, _, err = net.SplitHostPort(u.Addr)
		require.NoError(t, err)
	})
}
