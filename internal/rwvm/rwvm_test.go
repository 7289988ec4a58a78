package rwvm

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

const good = `{"addr":"10.0.0.1:7001","http":"10.0.0.1:80","zone":"za","region":"main","state":"leaving"}`

var bad = []string{
	``,
	`{}`,
	`{"addr":1}`,
	strings.Replace(good, "10.0.0.1:7001", "", 1),
	strings.Replace(good, "10.0.0.1:7001", "vm.example:7001", 1),
	strings.Replace(good, "10.0.0.1:80", "10.0.0.1", 1),
	strings.Replace(good, "za", "", 1),
	strings.Replace(good, "main", "", 1),
	strings.Replace(good, "leaving", "", 1),
	strings.Replace(good, "leaving", "away", 1),
}

// Guards against a schema version that can't be decoded.
func TestBothSchemas(t *testing.T) {
	want := VM{Name: "v", Addr: "10.0.0.1:7001", HTTP: "10.0.0.1:80", Zone: "za", Region: "main", Leaving: true}
	for _, schema := range []int{1, 2} {
		m, err := Decode(rwrecord.Record{Name: "v", Schema: schema, Value: []byte(good)})
		require.NoError(t, err)
		require.Equal(t, want, m)
	}
}

// Guards against invalid records that are accepted, above all with a state other
// than live and leaving, which would count as live.
func TestInvalid(t *testing.T) {
	for _, v := range bad {
		_, err := Decode(rwrecord.Record{Name: "v", Schema: 1, Value: []byte(v)})
		require.True(t, rwfault.Is(err, rwcode.RecordInvalid), v)
	}
	_, err := Decode(rwrecord.Record{Name: "v", Schema: 3, Value: []byte(good)})
	require.True(t, rwfault.Is(err, rwcode.RecordSchema))
}

// Guards against input that causes a panic or a VM that violates its invariants.
func FuzzDecode(f *testing.F) {
	f.Add("v", 1, []byte(good))
	for _, v := range bad {
		f.Add("v", 2, []byte(v))
	}
	f.Fuzz(func(t *testing.T, name string, schema int, value []byte) {
		m, err := Decode(rwrecord.Record{Name: name, Schema: schema, Value: value})
		if err != nil {
			code := rwfault.From(err).Code
			require.Contains(t, []rwcode.Code{rwcode.RecordInvalid, rwcode.RecordSchema}, code)
			return
		}
		require.NotEmpty(t, m.Name)
		require.NotEmpty(t, m.Addr)
		require.NotEmpty(t, m.HTTP)
		require.NotEmpty(t, m.Zone)
	})
}
