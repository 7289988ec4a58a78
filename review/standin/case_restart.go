package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["fleet-restart"] = fleetRestart }

// fleetRestart kills all processes at the same moment. The streams that this breaks
// are taken up again by their clients once the machines are in touch.
func fleetRestart() {
	zones := []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"}
	p := newPlatform([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2], zones[2]})
	p.store.put("op/config", baseConfig([]tenant{{Name: "guild-a", APIKeys: []string{"k1"}, Priority: 1}, {Name: "guild-b", APIKeys: []string{"k2"}, Priority: 1}}))
	const last, gap = 34, 250 * time.Millisecond
	for i := range 9 {
		newServer(p.store, fmt.Sprintf("i-%d", i+1), modelService, zones[i%3], "v1", 128, func(q *request) bool {
			record("server %s runs %s from event %q", q.server.id, q.id, q.header.Get("Last-Event-Id"))
			return q.stream(last, gap)
		})
	}
	p.start()
	time.Sleep(leadTime - time.Since(p.started))

	const (
		disruptAt = 15 * time.Second
		// takeUpAfter is how long after the break the client comes back.
		takeUpAfter = 4200 * time.Millisecond
		downTime    = 500 * time.Millisecond
		clientLimit = 10 * time.Second
	)
	traffic := time.Now()
	disrupted := traffic.Add(disruptAt)
	var mu sync.Mutex
	var taken, goneOn, fresh, begun int
	var wg sync.WaitGroup
	send := func(n int, resumes string, after int, limit time.Duration) *attempt {
		a := &attempt{
			id: newID(), machine: p.pick(n), method: "POST", path: "/reply/2f", key: []string{"k1", "k2"}[n%2], deadline: limit,
			extra: []string{"Model: m", "Token-Usage: 1460,170", fmt.Sprintf("Prompt-Prefix: a0000%d:210,b1%04x:140,%s:1110", n%8, n%229, newID()[:8])},
			body:  []byte(strings.Repeat("x", 1460)),
		}
		if resumes != "" {
			a.extra = append(a.extra, "Resumes: "+resumes, fmt.Sprintf("Last-Event-Id: %d", after))
		}
		return a
	}
	client := func(n int) {
		begin := time.Now()
		a := send(n, "", 0, clientLimit)
		lost := make(chan struct{})
		a.onEvent = func(int) bool {
			select {
			case <-lost:
				return false
			default:
				return hasTrouble() || time.Now().Before(disrupted)
			}
		}
		a.run()
		record("client %d: %s at %s: %s", n, a.id, a.machine.name, a.outcome())
		if begin.After(disrupted.Add(downTime + stabilityWindow)) {
			mu.Lock()
			fresh++
			if len(a.events) > 0 {
				begun++
			}
			mu.Unlock()
			return
		}
		if a.complete || len(a.events) == 0 || a.lastEvent >= last || a.endAt.Before(disrupted) {
			return
		}
		time.Sleep(time.Until(disrupted.Add(takeUpAfter)))
		counted, ok := false, false
		for range 3 {
			left := clientLimit - time.Since(begin)
			if left < 500*time.Millisecond {
				break
			}
			b := send(n+3, a.id, a.lastEvent, left)
			if !b.machine.inTouch(time.Now()) {
				record("client %d: %s isn't in touch yet", n, b.machine.name)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			counted = true
			b.run()
			record("client %d: takes up %s after event %d as %s at %s: %s, Retry-After %v", n, a.id, a.lastEvent, b.id, b.machine.name, b.outcome(), b.retryAfter())
			if len(b.events) > 0 {
				ok = true
				break
			}
			pause := b.retryAfter()
			if pause > (clientLimit-time.Since(begin))/3 {
				break
			}
			time.Sleep(pause)
		}
		mu.Lock()
		defer mu.Unlock()
		if counted {
			taken++
		}
		if ok {
			goneOn++
		}
	}
	for n := 0; time.Since(traffic) < disruptAt+8*time.Second; n++ {
		wg.Go(func() { client(n) })
		if hasTrouble() && time.Now().After(disrupted) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if hasTrouble() {
		record("all processes are killed at the same moment")
		var kills sync.WaitGroup
		for _, m := range p.machines {
			kills.Go(func() { m.signal(syscall.SIGKILL) })
		}
		kills.Wait()
		time.Sleep(time.Until(disrupted.Add(downTime)))
		for _, m := range p.machines {
			p.startOne(m)
		}
		record("all processes are started again")
		for n := 1000; time.Since(traffic) < disruptAt+8*time.Second; n++ {
			wg.Go(func() { client(n) })
			time.Sleep(100 * time.Millisecond)
		}
	}
	wg.Wait()
	record("streams taken up at machines in touch: %d, gone on: %d; new streams: %d, begun: %d", taken, goneOn, fresh, begun)
	if taken < 12 || fresh == 0 {
		cannotRun("only %d streams were taken up, %d new ones", taken, fresh)
	}
	share, newShare := float64(goneOn)/float64(taken), float64(begun)/float64(fresh)
	conclude("LOST", share < newShare/2, "%d of %d streams that were taken up went on, %d of %d new ones began", goneOn, taken, begun, fresh)
}
