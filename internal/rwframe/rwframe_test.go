package rwframe_test

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwframe"
)

const limit = 64 << 10

// Guards against compression histories of the two ends that diverge, for
// messages of any size up to the limit.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out, in := rwframe.New(limit), rwframe.New(limit)
		var wire bytes.Buffer
		reader := bufio.NewReaderSize(&wire, 16)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			size := rapid.SampledFrom([]int{1, 20, 100, 4095, 4096, 5000, 60000}).Draw(t, "size")
			want := rapid.StringOfN(rapid.RuneFrom([]rune("ab{}\n\"\x00")), 1, 30, -1).Draw(t, "text")
			want = strings.Repeat(want, 1+size/len(want)/6)
			require.NoError(t, out.WriteObject(&wire, want))
			var got string
			require.NoError(t, in.ReadObject(reader, &got))
			require.Equal(t, want, got)
		}
	})
}

// Guards against ineffective compression: after some messages, a grant must take
// less than half of its uncompressed size.
func TestRepeatedMessagesAreSmall(t *testing.T) {
	out := rwframe.New(limit)
	var wire bytes.Buffer
	plain := 0
	for i := range 50 {
		m := map[string]any{
			"jsonrpc": "2.0", "method": "grant",
			"params": map[string]any{"cell": "drafter/za/0", "grants": [][]any{
				{fmt.Sprintf("account-%02d", i%16), "draft", fmt.Sprintf("engine-%d", i%4), 946684800000902 + i, 90 + i},
			}},
		}
		before := wire.Len()
		require.NoError(t, out.WriteObject(&wire, m))
		if i >= 20 {
			plain += 130
			require.Less(t, wire.Len()-before, 65)
		}
	}
}

// Guards against memory exhaustion by a small message that decompresses to a
// large one, or by a length field without the data.
func TestHostileFrames(t *testing.T) {
	big := rwframe.New(1 << 20)
	var wire bytes.Buffer
	require.NoError(t, big.WriteObject(&wire, "x"))
	require.NoError(t, big.WriteObject(&wire, strings.Repeat("y", 500<<10)))
	in, reader := rwframe.New(limit), bufio.NewReader(&wire)
	var s string
	require.NoError(t, in.ReadObject(reader, &s))
	require.True(t, rwfault.Is(in.ReadObject(reader, &s), rwcode.PeerSize))

	for _, frame := range []string{"\x00\xff\xff\xff\xff\x0f", "\x00\x03abc", "\x00", "\x00\x02"} {
		err := rwframe.New(limit).ReadObject(bufio.NewReader(strings.NewReader(frame)), &s)
		require.Error(t, err, "%q", frame)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("{}\n"))
	f.Add([]byte("\x00\x05\x03\x00\x00\x00\x00"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		in, r := rwframe.New(1<<10), bufio.NewReader(bytes.NewReader(data))
		var v any
		for in.ReadObject(r, &v) == nil {
			continue
		}
	})
}

func BenchmarkGrant(b *testing.B) {
	out, in := rwframe.New(limit), rwframe.New(limit)
	var wire bytes.Buffer
	r := bufio.NewReader(&wire)
	m := map[string]any{"method": "grant", "params": []any{"drafter/za/0", "account-03", "draft", "engine-2", 946684800000902, 95}}
	b.ReportAllocs()
	for b.Loop() {
		_ = out.WriteObject(&wire, m)
		var v any
		_ = in.ReadObject(r, &v)
	}
}
