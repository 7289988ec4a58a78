package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

// largeBodies lets one tenant send 7.5 times its usual requests for 6.5 s, each with a
// body of the published limit. Its client reaches one machine.
func largeBodies() {
	const (
		bodyBytes = 4194304
		// usual is the pause between two requests of the tenant; a 7.5th of it is used
		// for hotS.
		usual = 500 * time.Millisecond
		hotS  = 6500 * time.Millisecond
		// workTime is the longest time of an order at its server.
		workTime = 220 * time.Millisecond
	)
	zones := []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"}
	p := newPlatform(zones)
	p.store.put("op/config", baseConfig([]tenant{{Name: "guild-a", APIKeys: []string{"k1"}, Priority: 1}, {Name: "guild-b", APIKeys: []string{"k2"}, Priority: 1}}))
	for i := range 9 {
		newServer(p.store, fmt.Sprintf("i-%d", i+1), modelService, zones[i%3], "v1", 128, func(q *request) bool {
			record("server %s runs stream %s, %d bytes", q.server.id, q.id, len(q.body))
			return q.stream(34, 230*time.Millisecond)
		})
	}
	k := &kept{arrived: map[string]time.Time{}}
	for i, zone := range zones {
		newServer(p.store, fmt.Sprintf("d-%d", i+1), deskService, zone, "v1", 40, func(q *request) bool {
			k.arrive(q.id)
			time.Sleep(workTime)
			return q.write(200, q.sealed(), []byte("order "+q.id))
		})
	}
	p.start()
	time.Sleep(leadTime - time.Since(p.started))
	var wg, streams sync.WaitGroup
	for n := range 90 {
		wg.Go(func() { k.run(p, n, "k1", 20*time.Millisecond) })
	}
	body := bytes.Repeat([]byte("psalter "), bodyBytes/8)
	var mu sync.Mutex
	complete, broke, refused := 0, 0, 0
	traffic := time.Now()
	for n := 0; time.Since(traffic) < 20*time.Second; n++ {
		streams.Go(func() {
			a := &attempt{id: newID(), machine: p.pick(0), method: "POST", path: "/reply/2f", key: "k2", deadline: 10 * time.Second,
				extra: []string{"Model: m", "Token-Usage: 1460,170", fmt.Sprintf("Prompt-Prefix: a0000%d:210,b1%04x:140,%s:1110", n%8, n%229, newID()[:8])}, body: body}
			a.run()
			record("stream %s at %s: %s", a.id, a.machine.name, a.outcome())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.complete && a.status == 200:
				complete++
			case a.status == 503 || a.status == 429:
				refused++
			default:
				broke++
			}
		})
		pause := usual
		if at := time.Since(traffic); hasTrouble() && at > 8*time.Second && at < 8*time.Second+hotS {
			pause = usual * 2 / 15
		}
		time.Sleep(pause)
	}
	streams.Wait()
	k.stop.Store(true)
	wg.Wait()
	ends, peak := 0, 0
	for _, m := range p.machines {
		ends += m.ends
		peak = max(peak, m.peakKB>>10)
	}
	conclude("LOST", len(k.lost) > 3, "%d orders from kept connections were passed on to sound servers and not answered (%d sent, %d served, %d refused); streams with large bodies: %d complete, %d broke off, %d refused; processes ended %d times; peak %d MB", len(k.lost), k.sent, k.served, k.refused, complete, broke, refused, ends, peak)
}
