package rwplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusals that don't tell whether the request was too long or had to wait
// for others, and against a load that leaves out who asks and who gets.
func TestLoadTellsWhatKeepsRequestsBack(t *testing.T) {
	p := New(Spec{Slots: 1, KVCapacity: 1_000_000, Window: 2 * time.Second})
	p.SetEngines([]Engine{{ID: "e"}})
	request := func(id, account string, tokens int) Request {
		return Request{ID: id, Account: account, UniqueTokens: tokens, Target: 500 * time.Millisecond}
	}
	require.Equal(t, Granted, p.Submit(at(0), request("1", "big", 20_000)).Verdict)
	require.Equal(t, Queued, p.Submit(at(0), request("2", "small", 1_000)).Verdict)
	p.FirstEvent(at(200), "1")
	var decisions []Decision
	for ms := 200; len(decisions) == 0 && ms < 500; ms += 5 {
		decisions = p.Tick(at(ms))
	}
	require.Len(t, decisions, 1)
	require.Equal(t, Late, decisions[0].Verdict)
	require.Equal(t, SlotBound.String(), decisions[0].Bound)

	l := p.Load(at(500), 2)
	require.Equal(t, 1, l.Running)
	require.Equal(t, 1, l.Slots)
	require.Len(t, l.Accounts, 2)
	require.Equal(t, "big", l.Accounts[0].Name)
	require.Equal(t, l.Accounts[0].Demand, l.Accounts[0].Usage)
	require.Equal(t, "small", l.Accounts[1].Name)
	require.Zero(t, l.Accounts[1].Usage)
	require.Equal(t, map[string]int{SlotBound.String(): 1}, l.Accounts[1].Late)

	l = p.Load(at(500), 1)
	require.Len(t, l.Accounts, 1, "only the largest demand is asked for")
	require.Empty(t, p.Load(at(500), 2).Accounts[1].Late, "counts of the second before")
}
