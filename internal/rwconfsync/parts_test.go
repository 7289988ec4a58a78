package rwconfsync

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwassembly"
	"redwingworks.example/internal/rwbundle"
	"redwingworks.example/internal/rwgossip"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpart"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwpull"
	"redwingworks.example/internal/rwrecord"
)

func newSyncer() *Syncer {
	metrics := rwmetric.New()
	peers := rwpeer.New(rwidentity.Identity{Name: "r", Zone: "a", Addr: "127.0.0.1:1", Inc: 1}, "0123456789abcdef", nil, zerolog.Nop(), metrics)
	return New(peers, rwgossip.New(peers, nil, zerolog.Nop(), metrics), "http://127.0.0.1:1/", nil, zerolog.Nop(), metrics)
}

// digits returns a JSON string of random digits, which flate halves at most.
func digits(n int) json.RawMessage {
	r := rand.New(rand.NewPCG(1, 2))
	out := make([]byte, 0, n+2)
	out = append(out, '"')
	for range n {
		out = append(out, byte('!'+2+r.IntN(50)))
	}
	for i, c := range out[1:] {
		if c == '\\' {
			out[i+1] = 'x'
		}
	}
	return append(out, '"')
}

func (f *Syncer) askPart(t *testing.T, from rwpart.Position) (partMessage, func()) {
	params, err := json.Marshal(partRequest{Pull: rwpull.Pull{Parts: true}, From: from})
	require.NoError(t, err)
	answer, err := f.handlePart(t.Context(), rwidentity.Identity{}, params)
	require.NoError(t, err)
	reply := answer.(rwpeer.Reply)
	return reply.Result.(partMessage), reply.Written
}

// Guards against parts that grow with what is sent, and against records that are
// changed, lost or added on their way.
func TestPartsAreBounded(t *testing.T) {
	f := newSyncer()
	var want []rwrecord.Record
	for i := range 20 {
		r := rwrecord.Record{Kind: "a/kind", Name: "n/" + strconv.Itoa(i), Rev: 7, Schema: 2, Value: digits(100 << 10)}
		if i%5 == 0 {
			r.Deleted, r.Value = true, nil
		}
		want = append(want, r)
	}
	items := itemsOf(want)
	records, err := recordsOf(items)
	require.NoError(t, err)
	require.ElementsMatch(t, want, records)
	f.apply(want, nil)
	var assembly rwassembly.Assembly
	var from rwpart.Position
	for n := 0; ; n++ {
		m, written := f.askPart(t, from)
		written()
		size := 0
		for _, p := range m.Parts {
			size += len(p.Value)
		}
		require.LessOrEqual(t, size, partBytes)
		require.NoError(t, assembly.Add(m.Parts))
		require.EqualValues(t, 7, m.Last)
		if m.Done {
			require.Greater(t, n, 5)
			break
		}
		from = m.Next
	}
	records, err = recordsOf(assembly.Items())
	require.NoError(t, err)
	require.ElementsMatch(t, want, records)
	require.Empty(t, f.sending, "a slot is kept")
}

// Guards against parts of two states of a router that are taken for one bundle.
func TestDigestTellsStatesApart(t *testing.T) {
	f := newSyncer()
	f.apply([]rwrecord.Record{{Kind: "k", Name: "a", Rev: 1, Schema: 1, Value: digits(300 << 10)}}, nil)
	before, written := f.askPart(t, rwpart.Position{})
	written()
	f.apply([]rwrecord.Record{{Kind: "k", Name: "a", Rev: 2, Schema: 1, Value: digits(300 << 10)}}, nil)
	after, written := f.askPart(t, before.Next)
	written()
	require.NotEqual(t, before.Digest, after.Digest)
}

// Guards against many routers that ask at one time and make this one hold a part for
// each of them.
func TestPartsBeingSentAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncer()
		f.apply([]rwrecord.Record{{Kind: "k", Name: "a", Rev: 1, Schema: 1, Value: digits(300 << 10)}}, nil)
		var held atomic.Int64
		for range 3 * maxSending {
			go func() {
				if _, err := f.handlePart(t.Context(), rwidentity.Identity{}, json.RawMessage(`{}`)); err == nil {
					held.Add(1)
				}
			}()
		}
		synctest.Wait()
		require.EqualValues(t, maxSending, held.Load())
		time.Sleep(2 * partTimeout)
		synctest.Wait()
		require.EqualValues(t, maxSending, held.Load(), "the others have given up")
	})
}

// Guards against a router of an older release, which knows no parts, that gets no
// records of more than 256 KiB any more.
func TestOlderReleaseGetsLargeRecords(t *testing.T) {
	f := newSyncer()
	record := rwrecord.Record{Kind: "k", Name: "a", Rev: 1, Schema: 1, Value: digits(300 << 10)}
	f.apply([]rwrecord.Record{record}, nil)
	for text, inParts := range map[string]bool{`{"after":0}`: false, `{"after":0,"parts":true}`: true} {
		answer, err := f.handlePull(t.Context(), rwidentity.Identity{}, json.RawMessage(text))
		require.NoError(t, err)
		b := answer.(rwbundle.Bundle)
		require.Equal(t, inParts, b.InParts)
		require.Equal(t, inParts, len(b.Items) == 0)
	}
}
