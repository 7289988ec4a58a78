package rwkind

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

var good = []rwrecord.Record{
	{Name: "k", Schema: 1, Value: []byte(`{"urgency":2,"pool":"p","idempotent":true,"repeat":60}`)},
	{Name: "k", Schema: 2, Value: []byte(`{"class":"later","pool":"p","idempotent":true,"repeat":60}`)},
	{Name: "k", Schema: 2, Value: []byte(`{"class":"later","urgency":2,"pool":"p","idempotent":true,"repeat":60,"new":[]}`)},
}

var bad = []rwrecord.Record{
	{Name: "", Schema: 1, Value: []byte(`{"urgency":2,"pool":"p"}`)},
	{Name: "k", Schema: 1},
	{Name: "k", Schema: 1, Value: []byte(`[]`)},
	{Name: "k", Schema: 1, Value: []byte(`{"pool":"p"}`)},
	{Name: "k", Schema: 1, Value: []byte(`{"urgency":2}`)},
	{Name: "k", Schema: 1, Value: []byte(`{"urgency":4,"pool":"p"}`)},
	{Name: "k", Schema: 1, Value: []byte(`{"urgency":-1,"pool":"p"}`)},
	{Name: "k", Schema: 1, Value: []byte(`{"class":"now","pool":"p"}`)},
	{Name: "k", Schema: 1, Value: []byte(`{"urgency":0,"pool":"p","repeat":-1}`)},
	{Name: "k", Schema: 1, Value: []byte(`{"urgency":0,"pool":"p","repeat":9223372036854775807}`)},
	{Name: "k", Schema: 2, Value: []byte(`{"class":"never","pool":"p"}`)},
	{Name: "k", Schema: 2, Value: []byte(`{"urgency":0,"pool":"p"}`)},
	{Name: "k", Schema: 2, Value: []byte(`{"class":"now","urgency":3,"pool":"p"}`)},
}

// Guards against a schema version that is decoded like the other.
func TestBothSchemas(t *testing.T) {
	for _, r := range good {
		k, err := Decode(r)
		require.NoError(t, err, string(r.Value))
		require.Equal(t, Kind{Name: "k", Urgency: 2, Pool: "p", Idempotent: true, RepeatWindow: time.Minute}, k)
	}
	k, err := Decode(rwrecord.Record{Name: "k", Schema: 1, Value: []byte(`{"urgency":0,"pool":"p"}`)})
	require.NoError(t, err)
	require.Equal(t, DefaultRepeatWindow, k.RepeatWindow)
	require.False(t, k.Idempotent, "a kind is not idempotent unless its record says so")
}

// Guards against invalid or contradictory records that are accepted.
func TestInvalid(t *testing.T) {
	for _, r := range bad {
		_, err := Decode(r)
		require.True(t, rwfault.Is(err, rwcode.RecordInvalid), string(r.Value))
	}
	_, err := Decode(rwrecord.Record{Name: "k", Schema: 0, Value: good[0].Value})
	require.True(t, rwfault.Is(err, rwcode.RecordSchema))
}

// Guards against input that causes a panic or a kind that violates its
// invariants.
func FuzzDecode(f *testing.F) {
	for _, r := range append(good, bad...) {
		f.Add(r.Name, r.Schema, []byte(r.Value))
	}
	f.Fuzz(func(t *testing.T, name string, schema int, value []byte) {
		k, err := Decode(rwrecord.Record{Name: name, Schema: schema, Value: value})
		if err != nil {
			code := rwfault.From(err).Code
			require.Contains(t, []rwcode.Code{rwcode.RecordInvalid, rwcode.RecordSchema}, code)
			return
		}
		require.NotEmpty(t, k.Name)
		require.NotEmpty(t, k.Pool)
		require.GreaterOrEqual(t, k.Urgency, 0)
		require.LessOrEqual(t, k.Urgency, MaxUrgency)
		require.Positive(t, k.RepeatWindow)
	})
}
