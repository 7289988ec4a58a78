package main

import (
	"bufio"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kept is a client that sends orders on kept connections and counts those that were
// passed on to a server and not answered before the connection closed.
type kept struct {
	mu      sync.Mutex
	arrived map[string]time.Time
	sent    int
	served  int
	refused int
	lost    []string
	stop    atomic.Bool
}

func (k *kept) arrive(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.arrived[id] = time.Now()
	record("a server runs order %s", id)
}

// run sends orders one after the other until it is told to stop.
func (k *kept) run(p *platform, n int, key string, pause time.Duration) {
	for !k.stop.Load() {
		m := p.pick(n)
		c, err := dial(m)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(c)
		for first := true; !k.stop.Load(); first = false {
			a := &attempt{id: newID(), machine: m, method: "POST", path: "/order/2f", key: key, deadline: time.Second, body: []byte("commission")}
			a.runOn(c, in)
			k.mu.Lock()
			k.sent++
			_, arrived := k.arrived[a.id]
			switch {
			case a.status == 200 && a.complete:
				k.served++
				record("client %d: order %s at %s: %s", n, a.id, m.name, a.outcome())
			case a.status != 0:
				k.refused++
				record("client %d: order %s at %s: %s", n, a.id, m.name, a.outcome())
			case arrived && !first:
				k.lost = append(k.lost, a.id)
				record("client %d: order %s on a kept connection to %s reached a server, and the connection ended without an answer (%v)", n, a.id, m.name, a.err)
			default:
				record("client %d: order %s to %s: %s", n, a.id, m.name, a.outcome())
			}
			k.mu.Unlock()
			if a.err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
				break
			}
			time.Sleep(pause)
		}
		_ = c.Close()
	}
}
