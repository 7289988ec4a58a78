package rwaccount

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

var hash = strings.Repeat("ab", 32)

var good = []rwrecord.Record{
	{Name: "a", Schema: 1, Value: []byte(`{"share":2,"keys":["` + hash + `"]}`)},
	{Name: "a", Schema: 2, Value: []byte(`{"weight":2000,"keys":[{"hash":"` + hash + `"}]}`)},
	{Name: "a", Schema: 2, Value: []byte(`{"weight":2000,"share":2,"keys":[{"hash":"` + hash + `"}],"new":1}`)},
}

var bad = []rwrecord.Record{
	{Name: "", Schema: 1, Value: []byte(`{"share":2}`)},
	{Name: "a", Schema: 1},
	{Name: "a", Schema: 1, Value: []byte(`{}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":0}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":-1}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":9223372036854775807}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"weight":1000}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":1,"keys":[{"hash":"` + hash + `"}]}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":1,"keys":["` + hash[2:] + `"]}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":1,"keys":["` + strings.ToUpper(hash) + `"]}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":1,"keys":["` + hash + `","` + hash + `"]}`)},
	{Name: "a", Schema: 1, Value: []byte(`{"share":1,"keys":[null]}`)},
	{Name: "a", Schema: 2, Value: []byte(`{"weight":1500,"share":2}`)},
	{Name: "a", Schema: 2, Value: []byte(`{"share":2}`)},
	{Name: "a", Schema: 2, Value: []byte(`{"weight":1000,"keys":["` + hash + `"]}`)},
}

// Guards against a schema version that is decoded like the other.
func TestBothSchemas(t *testing.T) {
	for _, r := range good {
		a, err := Decode(r)
		require.NoError(t, err, string(r.Value))
		require.Equal(t, Account{Name: "a", Weight: 2 * WeightUnit, Keys: []string{hash}}, a)
	}
}

// Guards against invalid or contradictory records that are accepted.
func TestInvalid(t *testing.T) {
	for _, r := range bad {
		_, err := Decode(r)
		require.True(t, rwfault.Is(err, rwcode.RecordInvalid), string(r.Value))
	}
	_, err := Decode(rwrecord.Record{Name: "a", Schema: 3, Value: good[0].Value})
	require.True(t, rwfault.Is(err, rwcode.RecordSchema))
}

// Guards against input that causes a panic or an account that violates its
// invariants.
func FuzzDecode(f *testing.F) {
	for _, r := range append(good, bad...) {
		f.Add(r.Name, r.Schema, []byte(r.Value))
	}
	f.Fuzz(func(t *testing.T, name string, schema int, value []byte) {
		a, err := Decode(rwrecord.Record{Name: name, Schema: schema, Value: value})
		if err != nil {
			code := rwfault.From(err).Code
			require.Contains(t, []rwcode.Code{rwcode.RecordInvalid, rwcode.RecordSchema}, code)
			return
		}
		require.NotEmpty(t, a.Name)
		require.Positive(t, a.Weight)
		require.LessOrEqual(t, a.Weight, MaxWeight)
		for _, k := range a.Keys {
			require.Len(t, k, 64)
		}
	})
}
