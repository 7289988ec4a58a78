package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attempt is one client attempt and what came of it.
type attempt struct {
	id, tag       string
	machine       *machine
	method, path  string
	key           string
	deadline      time.Duration
	extra         []string
	body          []byte
	sentAt, endAt time.Time
	// connect is the error of opening a connection.
	connect error
	status  int
	header  http.Header
	data    []byte
	// complete is whether the whole answer has arrived.
	complete bool
	err      error
	// events and lastEvent are what has arrived of a stream.
	events    []string
	lastEvent int
	// onEvent, if set, is called for each event; it returns false to leave.
	onEvent func(n int) bool
	left    bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

const hostName = "orders.example"

// head returns the head of the request.
func (a *attempt) head() string {
	lines := []string{
		a.method + " " + a.path + " HTTP/1.1", "Host: " + hostName, "Attempt-Id: " + a.id,
		"Deadline-Ms: " + strconv.FormatInt(a.deadline.Milliseconds(), 10),
	}
	if a.key != "" {
		lines = append(lines, "Api-Key: "+a.key)
	}
	lines = append(lines, a.extra...)
	if a.body != nil {
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(a.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// dial opens a connection to a machine in a client's time for that.
func dial(m *machine) (net.Conn, error) { return net.DialTimeout("tcp", m.addr(), time.Second) }

// run sends the attempt on a new connection and reads the answer.
func (a *attempt) run() {
	c, err := dial(a.machine)
	if err != nil {
		a.sentAt, a.endAt, a.connect = time.Now(), time.Now(), err
		return
	}
	defer func() { _ = c.Close() }()
	a.runOn(c, bufio.NewReader(c))
}

// runOn sends the attempt on a connection and reads the answer.
func (a *attempt) runOn(c net.Conn, in *bufio.Reader) {
	a.sentAt = time.Now()
	defer func() { a.endAt = time.Now() }()
	_ = c.SetDeadline(a.sentAt.Add(a.deadline + 2*time.Second))
	if _, a.err = c.Write(append([]byte(a.head()), a.body...)); a.err != nil {
		return
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return
	}
	a.status, a.header = resp.StatusCode, resp.Header
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body)
		return
	}
	a.data, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
}

func (a *attempt) readStream(body io.Reader) {
	lines := bufio.NewReader(body)
	var event strings.Builder
	for {
		line, err := lines.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			a.err = err
			a.complete = errors.Is(err, io.EOF) && event.Len() == 0
			return
		}
		if line != "\n" {
			continue
		}
		text := event.String()
		event.Reset()
		a.events = append(a.events, text)
		if id, ok := strings.CutPrefix(strings.SplitN(text, "\n", 2)[0], "id: "); ok {
			a.lastEvent, _ = strconv.Atoi(id)
		}
		if a.onEvent != nil && !a.onEvent(a.lastEvent) {
			a.left = true
			return
		}
	}
}

// outcome describes the end of the attempt for the record.
func (a *attempt) outcome() string {
	switch {
	case a.connect != nil:
		return "no connection"
	case a.complete:
		return fmt.Sprintf("%d complete, %d events, %d bytes", a.status, len(a.events), len(a.data))
	case a.left:
		return fmt.Sprintf("%d left after event %d", a.status, a.lastEvent)
	case a.status != 0:
		return fmt.Sprintf("%d broke off after event %d (%v)", a.status, a.lastEvent, a.err)
	default:
		return fmt.Sprintf("no answer (%v)", a.err)
	}
}

// retryAfter returns the time that the answer asks to wait.
func (a *attempt) retryAfter() time.Duration {
	s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
