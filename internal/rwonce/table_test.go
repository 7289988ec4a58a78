package rwonce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcall"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdecision"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwintentquery"
	"redwingworks.example/internal/rwintentsync"
	"redwingworks.example/internal/rwonce"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwresult"
	"redwingworks.example/internal/rwvmlist"
)

var startTime = time.Unix(1_800_000_000, 0)

// singleRouter returns the machine of a fleet of one router. It executes opaque
// keys after the repeat window.
func singleRouter(c rwonce.Config) *rwonce.Machine {
	m := rwonce.New(rwidentity.Identity{Name: "a", Inc: 1}, c, startTime)
	m.SetList(startTime, rwvmlist.New(1, []string{"a"}, []string{"a"}), repeat)
	return m
}

func opaqueCall(key, digest string) rwcall.Call {
	return rwcall.Call{ID: key + digest, Key: key, Digest: digest, KeyRetention: repeat}
}

func ticketCall(issued time.Time) rwcall.Call {
	return rwcall.Call{ID: "1", Key: "k", Digest: "x", KeyRetention: repeat, Ticket: true, KeyCreated: issued}
}

func ranResult(body string) rwresult.Result {
	return rwresult.Result{Outcome: rwoutcome.Ran, Status: 200, Body: []byte(body)}
}

// Guards against a wrong decision for a call in each state of its key.
func TestVerdicts(t *testing.T) {
	now := startTime.Add(repeat)
	begin := func(m *rwonce.Machine, c rwcall.Call) { m.Begin(now, c) }
	leave := func(m *rwonce.Machine) { m.Leave(now) }
	closeRouter := func(m *rwonce.Machine) {
		m.Leave(now)
		m.Close()
	}
	for _, c := range []struct {
		name   string
		before func(*rwonce.Machine)
		call   rwcall.Call
		want   rwdecision.Action
		code   rwcode.Code
		out    rwoutcome.Outcome
	}{
		{"a fresh key runs", nil, opaqueCall("k", "x"), rwdecision.Run, 0, 0},
		{"a retry joins the call in progress", func(m *rwonce.Machine) { begin(m, opaqueCall("k", "x")) },
			opaqueCall("k", "x"), rwdecision.Wait, 0, 0},
		{"another body is refused during the call", func(m *rwonce.Machine) { begin(m, opaqueCall("k", "x")) },
			opaqueCall("k", "y"), rwdecision.Answer, rwcode.BadRequest, rwoutcome.NotRun},
		{"a retry gets the response", func(m *rwonce.Machine) {
			begin(m, opaqueCall("k", "x"))
			m.Finish(now, "k", ranResult("answer"))
		}, opaqueCall("k", "x"), rwdecision.Answer, rwcode.None, rwoutcome.Ran},
		{"another body is refused after the call", func(m *rwonce.Machine) {
			begin(m, opaqueCall("k", "x"))
			m.Finish(now, "k", ranResult("answer"))
		}, opaqueCall("k", "y"), rwdecision.Answer, rwcode.BadRequest, rwoutcome.NotRun},
		{"a call that didn't run may run again", func(m *rwonce.Machine) {
			begin(m, opaqueCall("k", "x"))
			m.Finish(now, "k", rwresult.Fault(rwcode.QueueFull, rwoutcome.NotRun, ""))
		}, rwcall.Call{ID: "next", Key: "k", Digest: "x", KeyRetention: repeat}, rwdecision.Run, 0, 0},
		{"a late copy of a refused attempt doesn't run", func(m *rwonce.Machine) {
			begin(m, opaqueCall("k", "x"))
			m.Finish(now, "k", rwresult.Fault(rwcode.QueueFull, rwoutcome.NotRun, ""))
		}, opaqueCall("k", "x"), rwdecision.Answer, rwcode.QueueFull, rwoutcome.NotRun},
		{"an unknown outcome stays unknown", func(m *rwonce.Machine) {
			begin(m, opaqueCall("k", "x"))
			m.Finish(now, "k", rwresult.Unknown(""))
		}, opaqueCall("k", "x"), rwdecision.Answer, rwcode.OutcomeUnknown, rwoutcome.Unknown},
		{"a response that was dropped is unknown", func(m *rwonce.Machine) {
			begin(m, opaqueCall("k", "x"))
			m.Finish(now, "k", ranResult("0123456789"))
			begin(m, opaqueCall("l", "x"))
			m.Finish(now, "l", ranResult("0123456789"))
		}, opaqueCall("k", "x"), rwdecision.Answer, rwcode.OutcomeUnknown, rwoutcome.Unknown},
		{"a key beyond the limit is refused", func(m *rwonce.Machine) {
			for _, k := range []string{"1", "2", "3", "4"} {
				begin(m, opaqueCall(k, "x"))
			}
		}, opaqueCall("k", "x"), rwdecision.Answer, rwcode.QueueFull, rwoutcome.Unknown},
		{"a call by a newer list is held", nil,
			rwcall.Call{ID: "1", Key: "k", Digest: "x", KeyRetention: repeat, Version: rwvmlist.Version{Rev: 9}},
			rwdecision.Answer, rwcode.KeyHeld, rwoutcome.Unknown},
		{"a fresh ticket runs", nil,
			rwcall.Call{ID: "1", Key: "k", Digest: "x", KeyRetention: repeat, Ticket: true, KeyCreated: now}, rwdecision.Run, 0, 0},
		{"an expired ticket doesn't run", nil,
			rwcall.Call{ID: "1", Key: "k", Digest: "x", KeyRetention: repeat, Ticket: true, KeyCreated: now.Add(-repeat - 1)},
			rwdecision.Answer, rwcode.OutcomeUnknown, rwoutcome.Unknown},
		{"a leaving router runs a ticket", leave, ticketCall(now), rwdecision.Run, 0, 0},
		{"a closed router refuses a fresh ticket", closeRouter,
			ticketCall(now), rwdecision.Answer, rwcode.Draining, rwoutcome.NotRun},
		{"a closed router doesn't call an expired ticket not run", closeRouter,
			ticketCall(now.Add(-repeat - 1)), rwdecision.Answer, rwcode.OutcomeUnknown, rwoutcome.Unknown},
		{"a retry at a closed router joins the call in progress", func(m *rwonce.Machine) {
			begin(m, ticketCall(now))
			closeRouter(m)
		}, ticketCall(now), rwdecision.Wait, 0, 0},
		{"a retry at a closed router gets the response", func(m *rwonce.Machine) {
			begin(m, ticketCall(now))
			closeRouter(m)
			m.Finish(now, "k", ranResult("answer"))
		}, ticketCall(now), rwdecision.Answer, rwcode.None, rwoutcome.Ran},
		{"a closed router passes an opaque key on", closeRouter, opaqueCall("k", "x"), rwdecision.Forward, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := singleRouter(rwonce.Config{MaxKeys: 4, MaxBytes: 15})
			m.Tick(now)
			if c.before != nil {
				c.before(m)
			}
			v := m.Begin(now, c.call)
			require.Equal(t, c.want, v.Action)
			if v.Action == rwdecision.Answer && c.code != rwcode.None {
				require.Equal(t, c.code.String(), v.Result.Code)
			}
			require.Equal(t, c.out, v.Result.Outcome)
		})
	}
}

// Guards against keys that are executed before the hold ends, and against a
// proven creation time that is accepted although it is too early or in the
// future.
func TestHold(t *testing.T) {
	for _, c := range []struct {
		name    string
		hold    time.Duration
		after   time.Duration
		created time.Duration
		want    rwdecision.Action
	}{
		{"an opaque key is held", 0, repeat - 1, -1, rwdecision.Answer},
		{"an opaque key runs after the repeat window", 0, repeat, -1, rwdecision.Run},
		{"the setting shortens a first start", time.Second, time.Second, -1, rwdecision.Run},
		{"the setting doesn't end it earlier", time.Second, time.Second - 1, -1, rwdecision.Answer},
		{"a key created after the start and the skew runs", 0, 6 * time.Second, 5 * time.Second, rwdecision.Run},
		{"a key created within the skew is held", 0, 6 * time.Second, 5*time.Second - 1, rwdecision.Answer},
		{"a key from the future proves nothing", 0, 0, 6 * time.Second, rwdecision.Answer},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := singleRouter(rwonce.Config{Hold: c.hold})
			now := startTime.Add(c.after)
			m.Tick(now)
			call := opaqueCall("k", "x")
			if c.created >= 0 {
				call.KeyCreated = startTime.Add(c.created)
			}
			require.Equal(t, c.want, m.Begin(now, call).Action)
		})
	}
}

// Guards against sending a call after a pause of the process, after the end of
// the call, or when a newer list is known.
func TestCommit(t *testing.T) {
	now := startTime.Add(repeat)
	for _, c := range []struct {
		name   string
		before func(*rwonce.Machine)
		after  time.Duration
		want   rwcode.Code
	}{
		{"a call may be sent", func(*rwonce.Machine) {}, time.Second, rwcode.None},
		{"not after a pause", func(*rwonce.Machine) {}, time.Second + 1, rwcode.Paused},
		{"not twice", func(m *rwonce.Machine) { m.Finish(now, "k", ranResult("")) }, 0, rwcode.KeyHeld},
		{"not by an old list", func(m *rwonce.Machine) {
			m.Begin(now, rwcall.Call{ID: "2", Key: "l", Version: rwvmlist.Version{Rev: 2}})
		}, 0, rwcode.KeyHeld},
		{"not when the key has moved", func(m *rwonce.Machine) {
			m.SetList(now, rwvmlist.New(2, []string{"b"}, []string{"b"}), repeat)
		}, 0, rwcode.KeyHeld},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := singleRouter(rwonce.Config{})
			m.Tick(now)
			require.Equal(t, rwdecision.Run, m.Begin(now, opaqueCall("k", "x")).Action)
			c.before(m)
			require.Equal(t, c.want, m.Commit(now.Add(c.after), opaqueCall("k", "x")))
		})
	}
}

// Guards against a list that is replaced by an older one.
func TestOlderListIsIgnored(t *testing.T) {
	m := singleRouter(rwonce.Config{})
	m.SetList(startTime, rwvmlist.New(5, []string{"b"}, []string{"b"}), repeat)
	m.SetList(startTime, rwvmlist.New(4, []string{"a"}, []string{"a"}), repeat)
	require.Equal(t, int64(5), m.Version().Rev)
}

// Guards against keys that are lost between the pages of a large table.
func TestPages(t *testing.T) {
	now := startTime.Add(repeat)
	m := singleRouter(rwonce.Config{})
	m.Tick(now)
	const keys = 2*rwonce.PageSize + 100
	for i := range keys {
		require.Equal(t, rwdecision.Run, m.Begin(now, opaqueCall(fmt.Sprintf("k%d", i), "x")).Action)
	}
	b := rwidentity.Identity{Name: "b", Inc: 2}
	q := rwintentquery.Query{Version: rwvmlist.New(2, []string{"a", "b"}, []string{"a", "b"}).Version}
	got := map[string]bool{}
	pages := 0
	for more := true; more; pages++ {
		r := m.HandleQuery(now, b, q)
		require.True(t, r.OK)
		require.LessOrEqual(t, len(r.Intents), rwonce.PageSize)
		for _, intent := range r.Intents {
			got[intent.Key] = true
		}
		q.After, more = r.Intents[len(r.Intents)-1].Key, r.More
	}
	require.Len(t, got, keys)
	require.Equal(t, 3, pages)
}

// Guards against counting a part of a complete sync as a complete one.
func TestPartOfSyncCoversNothing(t *testing.T) {
	m := singleRouter(rwonce.Config{})
	b := rwidentity.Identity{Name: "b", Inc: 2}
	n := rwintentsync.Sync{Version: m.Version(), Complete: true, Intents: []rwintent.Intent{{Key: "k"}, {Key: "l"}, {Key: "m"}}}
	covers := func() map[string]int64 {
		return m.HandleQuery(startTime, b, rwintentquery.Query{Version: m.Version(), WantCovers: true}).Covers
	}
	parts := n.Split(2)
	require.Len(t, parts, 2)
	require.True(t, m.HandleSync(startTime, b, parts[0]).OK)
	require.NotContains(t, covers(), "b")
	require.True(t, m.HandleSync(startTime, b, parts[1]).OK)
	require.Contains(t, covers(), "b")
}
