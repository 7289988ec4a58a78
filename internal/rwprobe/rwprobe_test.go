package rwprobe_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwprobe"
	"redwingworks.example/internal/rwupdate"
)

var full = rwprobe.Probe{
	Name: "a", Inc: 5, Refutations: 2, Leaving: true, Rev: 9, Digest: 1 << 52, Target: "b", Addr: "10.0.0.2:1", WantMembers: true,
	WantIdentity: true, Acked: true, Updates: []rwupdate.Update{
		{State: rwupdate.Alive, Identity: rwidentity.Identity{Name: "b", Zone: "z", Region: "r", Addr: "10.0.0.2:1", Inc: 6}, Refutations: 3, Leaving: true},
		{State: rwupdate.Alive, Identity: rwidentity.Identity{Name: "b2", Addr: "10.0.0.3:1", Inc: 6, Capacity: 400}},
		{State: rwupdate.Suspect, Identity: rwidentity.Identity{Name: "c", Inc: 7}, Refutations: 1},
		{State: rwupdate.Dead, Identity: rwidentity.Identity{Name: "d", Inc: 8}},
		{State: rwupdate.Upstream, Identity: rwidentity.Identity{Name: "engine", Inc: 0}},
	},
}

// Guards against fields that are lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	data, err := json.Marshal(full)
	require.NoError(t, err)
	got, err := rwprobe.Decode(data)
	require.NoError(t, err)
	require.Equal(t, full, got)
}

// Guards against malformed messages that are accepted.
func TestMalformed(t *testing.T) {
	for _, s := range []string{
		``, `{}`, `null`, `[]`, `{"n":"a"}`, `{"n":"a","i":-1}`,
		`{"n":"a","i":1,"u":[["x","b",1]]}`,
		`{"n":"a","i":1,"u":[["a","b",1,0,0]]}`,
		`{"n":"a","i":1,"u":[["a","b",1,0,0,"z","r",""]]}`,
		`{"n":"a","i":1,"u":[["a","b",1,0,0,"z","r","10.0.0.2:1",-1]]}`,
		`{"n":"a","i":1,"u":[["a","b",1,0,0,"z","r","10.0.0.2:1",1,1]]}`,
		`{"n":"a","i":1,"u":[["s","b",1,0]]}`,
		`{"n":"a","i":1,"u":[["s","",1,0,0]]}`,
		`{"n":"a","i":1,"u":[["u","e",-1]]}`,
		`{"n":"a","i":1,"u":[["u","e","1"]]}`,
		`{"n":"a","i":1,"u":[["s","b",1,-1,0]]}`,
		`{"n":"a","i":1,"u":[{}]}`,
	} {
		_, err := rwprobe.Decode([]byte(s))
		require.True(t, rwfault.Is(err, rwcode.PeerMalformed), "%s: %v", s, err)
	}
}

// FuzzDecode guards against messages that crash the decoder or that change when
// they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	data, err := json.Marshal(full)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"n":"a","i":1,"u":[["u","e",3]]}`))
	f.Add([]byte(`{"n":"a","i":1,"u":[["s","b",1,0]]}`))
	f.Add([]byte(`{"n":"a","i":1,"u":[[]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := rwprobe.Decode(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(p)
		require.NoError(t, err)
		q, err := rwprobe.Decode(again)
		require.NoError(t, err)
		twice, err := json.Marshal(q)
		require.NoError(t, err)
		require.Equal(t, string(again), string(twice))
	})
}
