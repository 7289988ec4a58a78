// Package rwtimeline makes a timeline of one request from the logs of routers:
// the decisions on it with their inputs, and the state changes of the routers
// around that time.
package rwtimeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwlog"
)

const (
	// maxLine is the largest log line in bytes.
	maxLine = 1 << 20
	// lookback is the time before a request from which on state changes are
	// shown.
	lookback = 5 * time.Second
)

// stateEvents are the events that change a router's configuration, membership or
// ability to work.
var stateEvents = map[rwlog.Event]bool{
	rwlog.Started: true, rwlog.Stopped: true, rwlog.StopRequested: true, rwlog.DrainFinished: true,
	rwlog.PauseDetected: true, rwlog.LinesDropped: true, rwlog.RecordSetAside: true, rwlog.PlatformLost: true,
	rwlog.PlatformRestored: true, rwlog.ConfigurationAdopted: true, rwlog.UpstreamsChanged: true, rwlog.MemberChanged: true,
	rwlog.PeerLost: true, rwlog.RotationChanged: true, rwlog.ConnectionsClosed: true, rwlog.DrainRefusing: true,
	rwlog.ZoneEvacuated: true, rwlog.ZoneTakenBack: true, rwlog.PeerMessageTooLarge: true,
}

// Timeline collects the log lines of one request. It is not safe for concurrent
// use.
type Timeline struct {
	id    string
	lines []line
}

type line struct {
	at        time.Time
	router    string
	event     rwlog.Event
	name      string
	fields    map[string]any
	ofRequest bool
}

// New returns an empty timeline of the request with an ID.
func New(id string) *Timeline { return &Timeline{id: id} }

// Read adds the log of one or more routers. Lines that are not log events are
// skipped, since other output may be mixed in. It fails with Internal if reading
// fails.
func (s *Timeline) Read(r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		text := scan.Bytes()
		if i := slices.Index(text, '{'); i > 0 {
			// Log collectors prepend the time and the host to each line.
			text = text[i:]
		}
		s.addLine(text)
	}
	if err := scan.Err(); err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	return nil
}

func (s *Timeline) addLine(text []byte) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return
	}
	number, _ := fields["event"].(float64)
	name, _ := fields["name"].(string)
	router, _ := fields["router"].(string)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || number == 0 {
		return
	}
	own := fields["id"] == s.id
	if !own && !stateEvents[rwlog.Event(number)] {
		return
	}
	for _, k := range []string{"event", "name", "router", "time", "process", "level", "id"} {
		delete(fields, k)
	}
	s.lines = append(s.lines, line{at, router, rwlog.Event(number), name, fields, own})
}

// Write writes the lines of the request, sorted by time and marked with "*",
// together with the state changes of the involved routers from lookback before
// the request until its end. It fails with UnknownPath if no line names the
// request.
func (s *Timeline) Write(w io.Writer) error {
	var first, last time.Time
	routers := map[string]bool{}
	for _, l := range s.lines {
		if !l.ofRequest {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		routers[l.router] = true
		if owner, ok := l.fields["owner"].(string); ok {
			routers[owner] = true
		}
	}
	if first.IsZero() {
		return rwfault.New(rwcode.UnknownPath, "no log line of request "+s.id+"; it may have been dropped (event 107)")
	}
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range s.lines {
		near := !l.at.Before(first.Add(-lookback)) && !l.at.After(last)
		if !l.ofRequest && (!near || !routers[l.router]) {
			continue
		}
		mark := "  "
		if l.ofRequest {
			mark = "* "
		}
		if _, err := fmt.Fprintf(w, "%s%s %s %s%s\n", mark, l.at.Format("15:04:05.000"), l.router, l.name, l.text()); err != nil {
			return rwfault.Wrap(rwcode.Internal, err)
		}
	}
	return nil
}

func (l line) text() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.fields)) {
		if v := l.fields[k]; v != "" && v != float64(0) {
			fmt.Fprintf(&b, " %s=%v", k, v)
		}
	}
	return b.String()
}
