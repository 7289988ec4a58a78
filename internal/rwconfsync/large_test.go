package rwconfsync_test

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbundle"
	"redwingworks.example/internal/rwfakeplatform"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwrevision"
)

// messageBytes is more than a message between routers may have.
const messageBytes = 1300 << 10

// largeAccount returns the record of an account that has about a number of bytes and
// can't be compressed much.
func largeAccount(name string, share, bytes int) rwrecord.Record {
	r := rand.New(rand.NewPCG(uint64(share), 1))
	note := make([]byte, bytes*3/4)
	for i := range note {
		note[i] = byte(r.Uint32())
	}
	return record("account", name, 1, map[string]any{"share": share, "note": base64.StdEncoding.EncodeToString(note)})
}

// Guards against a record that fits no message between routers, so that only routers
// which read the platform get it and those behind it in the order of revisions.
func TestRecordBeyondAMessageReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		f.startAll()
		time.Sleep(1500 * time.Millisecond)
		f.replicas.Publish(largeAccount("x", 1, messageBytes))
		f.replicas.Publish(account("behind", 1))
		f.eventually(configBound, "the record is not active", f.isActive("x", 1))
		f.eventually(configBound, "the record behind it is not active", f.isActive("behind", 1))
		// A router that starts gets them from others.
		f.routers["r5"].stop()
		f.replicas.Set("r5", rwfakeplatform.Down)
		f.start("r5", f.addrs["r0"], f.addrs["r1"])
		f.eventually(startBound, "not there after a start", f.isActive("x", 1))
		f.eventually(startBound, "not ready", func(r *router) bool { return r.sync.Ready() })
		require.Equal(t, f.routers["r0"].sync.Snapshot().Rev(), f.routers["r5"].sync.Snapshot().Rev())
	})
}

// Guards against records of one revision that fit no message together, or that are
// applied in part.
func TestRevisionBeyondAMessageIsAppliedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		var hold atomic.Bool
		f.prepare = func(r *router) {
			compare := r.gossip.OnMessage
			r.gossip.OnMessage = func(from rwidentity.Identity, rev rwrevision.Revision, digest uint64) {
				if !hold.Load() {
					compare(from, rev, digest)
				}
			}
		}
		f.startAll()
		f.replicas.Set("r0", rwfakeplatform.Down)
		f.replicas.Set("r1", rwfakeplatform.Down)
		hold.Store(true)
		const records, rev = 16, 1000
		active := func(r *router) (n int) {
			for i := range records {
				if f.isActive(fmt.Sprint("x", i), 7)(r) {
					n++
				}
			}
			return n
		}
		for half := range 2 {
			var b rwbundle.Bundle
			for i := range records / 2 {
				r := largeAccount(fmt.Sprint("x", half*records/2+i), 7, messageBytes/records)
				r.Rev = rev
				b.Items = append(b.Items, r)
			}
			f.routers["r1"].peers.Notify(f.addrs["r0"], "push", b)
		}
		time.Sleep(time.Second)
		require.Equal(t, records, active(f.routers["r0"]))
		require.Zero(t, active(f.routers["r1"]))
		hold.Store(false)
		f.eventually(configBound, "the records are not there", func(r *router) bool {
			n := active(r)
			require.True(t, n == 0 || n == records, "%d records", n)
			return n == records
		})
	})
}

// logLines keeps the lines of a log.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

func (l *logLines) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.lines, func(line string) bool { return strings.Contains(line, text) })
}

// Guards against a record beyond the bounds that is dropped without a word, or that
// keeps those behind it from other routers.
func TestRecordBeyondTheBoundsIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		var log logLines
		f.log = zerolog.New(&log)
		f.startAll()
		time.Sleep(1500 * time.Millisecond)
		f.replicas.Publish(largeAccount("x", 1, 3<<20))
		f.replicas.Publish(account("behind", 1))
		f.eventually(configBound, "the record behind it is not active", f.isActive("behind", 1))
		f.eventually(configBound, "not logged", func(*router) bool { return log.contains("\"event\":502") })
		// A lost push of a later record is repaired nevertheless.
		for _, name := range f.names {
			f.replicas.Set(name, rwfakeplatform.Down)
		}
		lost := account("lost", 1)
		lost.Rev = 1000
		f.routers["r0"].peers.Notify(f.addrs["r1"], "push", rwbundle.Bundle{Items: []rwrecord.Record{lost}})
		f.eventually(2*configBound, "not repaired", f.isActive("lost", 1))
	})
}
