package rwledger_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwledger"
	"redwingworks.example/internal/rwtotal"
)

// A fixed seed makes the result the same on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

type report struct {
	inc    int64
	totals []rwtotal.Total
}

// Guards against wrong totals at another owner after reports were lost, late,
// repeated or reordered, or after owners restarted.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inc := int64(10)
		from, to := rwledger.New(inc), rwledger.New(5)
		got, want := map[string]float64{}, map[string]float64{}
		high := map[string]float64{}
		apply := func(account string, cost float64) {
			require.Positive(t, cost)
			got[account] += cost
		}
		var sent []report
		deliver := func(r report) { to.Merge("other", r.inc, r.totals, apply) }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				for a, v := range high {
					want[a] += v
				}
				deliver(report{inc, completeReport(from)})
				inc++
				from, high = rwledger.New(inc), map[string]float64{}
			case 1, 2, 3:
				if len(sent) > 0 {
					deliver(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
				}
			case 4, 5:
				sent = append(sent, report{inc, from.Report(nil)})
			default:
				a := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "account"))
				i := from.AccountIndex(a)
				from.Charge(i, float64(rapid.IntRange(-20, 50).Draw(t, "cost")))
				high[a] = max(high[a], from.Net(i))
			}
		}
		deliver(report{inc, completeReport(from)})
		for a, v := range high {
			want[a] += v
		}
		for a := range want {
			require.InDelta(t, want[a], got[a], 1e-6, a)
		}
	})
}

func completeReport(l *rwledger.Ledger) []rwtotal.Total {
	l.MarkAll()
	return l.Report(nil)
}

// Guards against a change that no later report repeats after one was lost.
func TestChangesAreRepeated(t *testing.T) {
	l := rwledger.New(1)
	require.Empty(t, l.Report(nil))
	l.Charge(l.AccountIndex("a"), 5)
	want := []rwtotal.Total{{Account: "a", Cost: 5}}
	require.Equal(t, want, l.Report(nil))
	require.Equal(t, want, l.Report(nil))
	require.Empty(t, l.Report(nil), "an idle cell must not send reports")
}

// Guards against a total that no longer changes and never reaches an owner that
// missed all reports with its last change.
func TestUnchangedAccountsAreRepeatedInRotation(t *testing.T) {
	l := rwledger.New(1)
	const accounts = 100
	for i := range accounts {
		l.Charge(l.AccountIndex(fmt.Sprint(i)), 1)
	}
	l.Report(nil)
	l.Report(nil)
	seen := map[string]bool{}
	for range accounts / 4 {
		l.Charge(0, 1)
		for _, total := range l.Report(nil) {
			seen[total.Account] = true
		}
	}
	require.Len(t, seen, accounts)
}

// Guards against a new owner that counts hours of service at other cells as a
// lead, although it has no record of its own cell's service in that time.
func TestTotalsOfOlderOwnerSetTheBase(t *testing.T) {
	l := rwledger.New(100)
	got := 0.0
	apply := func(_ string, cost float64) { got += cost }
	l.Merge("other", 7, []rwtotal.Total{{Account: "a", Cost: 1e6}}, apply)
	require.Zero(t, got)
	l.Merge("other", 7, []rwtotal.Total{{Account: "a", Cost: 1e6 + 3}}, apply)
	require.Equal(t, 3.0, got)
	l.Merge("other", 200, []rwtotal.Total{{Account: "a", Cost: 4}}, apply)
	require.Equal(t, 7.0, got)
}

// Guards against the first charge of an account being mistaken for the base of
// its total. Accounts with small shares, which are charged seldom, would gain.
func TestZeroIsABase(t *testing.T) {
	from, to := rwledger.New(7), rwledger.New(100)
	got := 0.0
	apply := func(_ string, cost float64) { got += cost }
	i := from.AccountIndex("a")
	from.MarkChanged(i)
	to.Merge("other", 7, from.Report(nil), apply)
	from.Charge(i, 60)
	to.Merge("other", 7, from.Report(nil), apply)
	require.Equal(t, 60.0, got)
}
