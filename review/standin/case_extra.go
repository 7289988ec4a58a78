package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-extra"] = lateExtra }

// lateExtra lets one of three servers send additional bytes after some of its complete
// answers. They arrive where the next answer on the connection is expected.
func lateExtra() {
	const (
		share  = 0.03
		bytes  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		faulty = 5 * time.Second
		length = faulty + 2*time.Second
	)
	zones := []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"}
	p := newPlatform(zones)
	p.store.put("op/config", baseConfig([]tenant{{Name: "guild-a", APIKeys: []string{"k1"}, Priority: 1}}))
	var mu sync.Mutex
	runs := map[string]string{}
	owes := map[net.Conn]bool{}
	extras := 0
	inTrouble := false
	for i, zone := range zones {
		newServer(p.store, fmt.Sprintf("i-%d", i+1), deskService, zone, "v1", 6, func(q *request) bool {
			mu.Lock()
			due := owes[q.conn]
			delete(owes, q.conn)
			if i == 0 && inTrouble && rand.Float64() < share {
				owes[q.conn] = true
			}
			if due {
				extras++
			}
			runs[q.id] = q.server.id
			mu.Unlock()
			if due {
				record("server %s sends additional bytes that belong to no request before its answer to %s", q.server.id, q.id)
				_, _ = io.WriteString(q.out, bytes)
				_ = q.out.Flush()
			}
			record("server %s runs %s", q.server.id, q.id)
			time.Sleep(30 * time.Millisecond)
			return q.write(200, q.sealed(), []byte("order "+q.id))
		})
	}
	p.start()
	time.Sleep(leadTime - time.Since(p.started))
	if hasTrouble() {
		mu.Lock()
		inTrouble = true
		mu.Unlock()
		time.AfterFunc(faulty, func() {
			mu.Lock()
			inTrouble = false
			mu.Unlock()
		})
	}
	var wg sync.WaitGroup
	sent, served, other := 0, 0, 0
	var refusedRan []string
	begin := time.Now()
	for n := range 24 {
		wg.Go(func() {
			for time.Since(begin) < length {
				m := p.pick(n)
				c, err := dial(m)
				if err != nil {
					continue
				}
				in := bufio.NewReader(c)
				for time.Since(begin) < length {
					a := &attempt{id: newID(), machine: m, method: "POST", path: "/order/2f", key: "k1", deadline: time.Second, body: []byte("commission")}
					a.runOn(c, in)
					if a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421 {
						// It must not run later either.
						time.Sleep(200 * time.Millisecond)
					}
					mu.Lock()
					sent++
					server, ran := runs[a.id]
					switch {
					case a.status == 200 && a.complete && strings.TrimPrefix(string(a.data), "order ") == a.id:
						served++
						record("client %d: order %s at %s: %s", n, a.id, m.name, a.outcome())
					case ran && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421):
						refusedRan = append(refusedRan, a.id)
						record("client %d: order %s at %s was answered %d (signature %q), and server %s has run it", n, a.id, m.name, a.status, a.header.Get("Server-Seal"), server)
					default:
						other++
						record("client %d: order %s at %s: %s, ran: %v", n, a.id, m.name, a.outcome(), ran)
					}
					mu.Unlock()
					if a.err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	conclude("REFUSED", len(refusedRan) > 0, "%d orders were answered as not run and had run; %d sent, %d served, %d ended otherwise; additional bytes were sent %d times", len(refusedRan), sent, served, other, extras)
}
