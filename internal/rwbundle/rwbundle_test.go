package rwbundle_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbundle"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

func record(rev int64, size int) rwrecord.Record {
	return rwrecord.Record{
		Kind: "kind", Name: fmt.Sprint(rev), Rev: rev, Schema: 1,
		Value: json.RawMessage(`"` + strings.Repeat("x", size) + `"`),
	}
}

// Guards against bundles that exceed the links' message size, and against
// records that are lost between two bundles.
func TestSplit(t *testing.T) {
	require.Empty(t, rwbundle.Split(nil))
	var items []rwrecord.Record
	for rev := range int64(50) {
		items = append(items, record(rev+1, 20<<10))
	}
	items = append(items, record(51, 1<<20), record(52, 10))
	var got []rwrecord.Record
	parts := rwbundle.Split(items)
	for i, b := range parts {
		data, err := json.Marshal(b)
		require.NoError(t, err)
		require.Less(t, len(data), 1200<<10)
		require.True(t, len(b.Items) == 1 || len(data) < rwbundle.MaxBytes+(1<<10))
		require.Equal(t, i < len(parts)-1, b.More)
		got = append(got, b.Items...)
	}
	require.Equal(t, items, got)
}

// Guards against records that a receiver never gets because it requests only
// revisions after the last one that it has.
func TestSplitKeepsRevisionsTogether(t *testing.T) {
	a, b := record(7, 200<<10), record(7, 200<<10)
	b.Name = "other"
	require.Len(t, rwbundle.Split([]rwrecord.Record{a, b}), 1)
}

// FuzzDecode guards against messages that crash the decoder, and against records
// without kind, name or revision that are accepted.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"items":[{"kind":"vm","name":"a","rev":3,"schema":1,"value":{"addr":"x"}}],"more":true}`))
	f.Add([]byte(`{"leaving":[{"upstream":"e","inc":3}]}`))
	f.Add([]byte(`{"items":[{"kind":"vm","name":"a","rev":-3}]}`))
	f.Add([]byte(`{"leaving":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := rwbundle.Decode(data)
		if err != nil {
			require.True(t, rwfault.Is(err, rwcode.PeerMalformed))
			return
		}
		for _, r := range b.Items {
			require.NotEmpty(t, r.Kind)
			require.NotEmpty(t, r.Name)
			require.Positive(t, r.Rev)
		}
	})
}
