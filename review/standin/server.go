package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// request is a request as a server has read it.
type request struct {
	method, target, id string
	header             http.Header
	body               []byte
	server             *server
	// closed is closed when the connection has ended.
	closed chan struct{}
	conn   net.Conn
	out    *bufio.Writer
	// reused is whether the connection carried a request before.
	reused bool
	at     time.Time
}

// server is a stand-in for a server behind the system.
type server struct {
	id, service, zone, version, addr string
	slots                            int
	born                             int64
	store                            *store
	listener                         net.Listener
	// serve answers a request and reports whether the connection may be used again.
	serve func(*request) bool
	// special, if set, is asked first; it reports whether it has answered.
	special func(*request) bool

	seq     atomic.Int64
	state   atomic.Value
	stopped chan struct{}
	once    sync.Once
}

func newServer(st *store, id, service, zone, version string, slots int, serve func(*request) bool) *server {
	l := listen("127.0.0.1")
	s := &server{
		id: id, service: service, zone: zone, version: version, addr: l.Addr().String(), slots: slots,
		born: time.Now().UnixMilli(), store: st, listener: l, serve: serve, stopped: make(chan struct{}),
	}
	s.state.Store("ready")
	go s.accept()
	s.beat()
	go func() {
		for {
			select {
			case <-s.stopped:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	return s
}

func (s *server) beat() {
	s.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state.Load(), "coldRemainingMs": 0, "sequence": s.seq.Add(1), "born": s.born,
		"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *server) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in, out := bufio.NewReader(c), bufio.NewWriter(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := &request{
			method: r.Method, target: r.RequestURI, id: r.Header.Get("Attempt-Id"), header: r.Header, body: body,
			server: s, closed: make(chan struct{}), conn: c, out: out, reused: n > 0, at: time.Now(),
		}
		stop := make(chan struct{})
		gone := make(chan struct{})
		go q.watch(in, stop, gone)
		keep := s.answer(q)
		close(stop)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-gone
		_ = c.SetReadDeadline(time.Time{})
		if !keep || out.Flush() != nil {
			return
		}
		select {
		case <-q.closed:
			return
		default:
		}
	}
}

// watch closes q.closed when the caller closes the connection.
func (q *request) watch(in *bufio.Reader, stop, gone chan struct{}) {
	defer close(gone)
	_, err := in.Peek(1)
	if err == nil {
		return
	}
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return
	}
	select {
	case <-stop:
	default:
	}
	close(q.closed)
}

func (s *server) answer(q *request) bool {
	path, _, _ := strings.Cut(q.target, "?")
	if s.special != nil && s.special(q) {
		return false
	}
	switch {
	case q.method == "GET" && path == "/health":
		return q.write(200, "Instance-Id: "+s.id+"\r\n", nil)
	case q.method == "GET" && path == "/api/report":
		return q.write(200, "Content-Type: application/json\r\n", []byte(fmt.Sprintf(
			`{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":1364233,"handles":0,"born":%d}`, s.born)))
	case q.method == "GET" && path == "/api/kv-list":
		return q.write(200, "Content-Type: application/json\r\n", []byte(fmt.Sprintf(`{"epoch":"%d","nextPageToken":0,"held":[],"born":%d}`, s.born, s.born)))
	}
	if want := q.header.Get("Expect-Instance"); want != "" && want != s.id {
		return q.write(421, "Instance-Id: "+s.id+"\r\nNot-Executed: 1\r\nAttempt-Id: "+q.id+"\r\n", nil)
	}
	return s.serve(q)
}

// seal is the signature of an answer of this server.
func (q *request) seal() string {
	sum := sha256.Sum256([]byte(q.server.id + "/" + q.id))
	return hex.EncodeToString(sum[:8])
}

func (q *request) write(status int, head string, body []byte) bool {
	_, _ = fmt.Fprintf(q.out, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), head, len(body))
	_, _ = q.out.Write(body)
	return q.out.Flush() == nil
}

// sealed is the head of an answer to a request that was run.
func (q *request) sealed() string {
	return "Attempt-Id: " + q.id + "\r\nServer-Seal: " + q.seal() + "\r\n"
}

// refuse answers that the request was not run.
func (q *request) refuse() bool {
	return q.write(503, "Attempt-Id: "+q.id+"\r\nNot-Executed: 1\r\n", nil)
}

// wait works for a time and reports false if the caller left or the deadline passed.
func (q *request) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-q.closed:
		return false
	}
	ms, err := strconv.Atoi(q.header.Get("Deadline-Ms"))
	return err != nil || time.Since(q.at) < time.Duration(ms)*time.Millisecond
}

// stream answers with events after the one that the client has, at an interval. It
// names server and version in each event.
func (q *request) stream(last int, gap time.Duration) bool {
	first := 1
	if n, err := strconv.Atoi(q.header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	_, _ = fmt.Fprintf(q.out, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.sealed())
	for i := first; i <= last; i++ {
		if !q.wait(gap) {
			return false
		}
		e := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i, q.server.version, q.server.id)
		_, _ = fmt.Fprintf(q.out, "%x\r\n%s\r\n", len(e), e)
		if q.out.Flush() != nil {
			return false
		}
	}
	_, _ = io.WriteString(q.out, "0\r\n\r\n")
	return q.out.Flush() == nil
}
