package rwpull_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwpull"
)

// FuzzDecode guards against messages that crash the decoder or contain a
// negative revision.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"after":12}`))
	f.Add([]byte(`{"after":0,"sums":[1,2,3]}`))
	f.Add([]byte(`{"after":-1}`))
	f.Add([]byte(`{"sums":[-1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := rwpull.Decode(data)
		if err != nil {
			require.True(t, rwfault.Is(err, rwcode.PeerMalformed))
			return
		}
		require.GreaterOrEqual(t, p.After, int64(0))
	})
}
