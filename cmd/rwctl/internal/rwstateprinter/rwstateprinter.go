// Package rwstateprinter writes the state of a router as tables.
package rwstateprinter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"redwingworks.example/cmd/rwctl/internal/rwstate"
	"redwingworks.example/internal/rwview"
)

// Printer writes states. The zero value is ready to use. From the second state
// on, it also writes by how much each counter has changed since the last one.
type Printer struct {
	last *rwstate.State
}

// Write writes one state.
func (p *Printer) Write(w io.Writer, state rwstate.State) error {
	v := state.View
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "router %s, zone %s, region %s, policy %s, started %s\n",
		v.Router, v.Zone, v.Region, v.Policy, time.UnixMicro(v.Inc).UTC().Format(time.RFC3339))
	_, _ = fmt.Fprintf(t, "%s, %d waiting, %d running\n", readiness(v), v.Waiting, v.Running)
	_, _ = fmt.Fprintf(t, "configuration revision %d, %d records set aside, platform %s\n", v.Rev, v.InvalidRecords, platformStatus(v))
	printMembers(t, v.Members)
	printCells(t, v.Cells)
	printUpstreams(t, v.Upstreams)
	printAccounts(t, v.Accounts)
	last := rwstate.State{}
	if p.last != nil {
		last = *p.last
	}
	p.printCounts(t, "refusals", state.Refusals, last.Refusals)
	p.printCounts(t, "retries", state.Retries, last.Retries)
	p.printCounts(t, "retries denied by the budget", state.Denied, last.Denied)
	p.last = &state
	return t.Flush()
}

func readiness(v rwview.View) string {
	switch {
	case v.Draining:
		return "draining"
	case v.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func platformStatus(v rwview.View) string {
	if v.PlatformUp {
		return "answers"
	}
	return "does not answer"
}

// printTable writes a title, a header and a row for each element, or only that
// there is none.
func printTable[T any](w io.Writer, title string, list []T, header string, row func(T) string) {
	if len(list) == 0 {
		_, _ = fmt.Fprintf(w, "\n%s: none\n", title)
		return
	}
	_, _ = fmt.Fprintf(w, "\n%s (%d)\n%s\n", title, len(list), header)
	for _, v := range list {
		_, _ = fmt.Fprintln(w, row(v))
	}
}

func printMembers(w io.Writer, list []rwview.Member) {
	printTable(w, "members", list, "name\tzone\tstate\tstarted", func(m rwview.Member) string {
		return strings.Join([]string{m.Name, m.Zone, m.State, time.UnixMicro(m.Inc).UTC().Format(time.RFC3339)}, "\t")
	})
}

func printCells(w io.Writer, list []rwview.Cell) {
	printTable(w, "cells", list, "name\tpool\tzone\towner", func(c rwview.Cell) string {
		return strings.Join([]string{c.Name, c.Pool, c.Zone, c.Owner}, "\t")
	})
}

func printUpstreams(w io.Writer, list []rwview.Upstream) {
	printTable(w, "upstreams", list, "name\tpool\tzone\tstate\tbusy", func(u rwview.Upstream) string {
		busy := "-"
		if u.Window > 0 {
			busy = fmt.Sprintf("%d/%d", u.Running, u.Window)
		}
		return strings.Join([]string{u.Name, u.Pool, u.Zone, u.State, busy}, "\t")
	})
}

func printAccounts(w io.Writer, list []rwview.Account) {
	printTable(w, "accounts", list, "name\tpool\tshare\tservice\tvirtual\tbacklog\trunning", func(a rwview.Account) string {
		const weightPerShare = 1000
		return fmt.Sprintf("%s\t%s\t%g\t%.0f\t%.0f\t%d\t%d", a.Name, a.Pool, float64(a.Weight)/weightPerShare, a.Service, a.VirtualTime, a.Backlog, a.Running)
	})
}

func (p *Printer) printCounts(w io.Writer, title string, now, before map[string]int64) {
	header := "reason\tcount"
	if p.last != nil {
		header += "\tsince last"
	}
	printTable(w, title, slices.Sorted(maps.Keys(now)), header, func(code string) string {
		row := fmt.Sprintf("%s\t%d", code, now[code])
		if p.last != nil {
			row += fmt.Sprintf("\t%+d", now[code]-before[code])
		}
		return row
	})
}
