package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["large-config"] = largeConfig }

// largeConfig lets the configuration grow by many routes and then withdraws a key, in a
// fleet of 15 machines in calm.
func largeConfig() {
	// routes is the number before it grows by added.
	const routes, added = 3500, 350
	zones := []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"}
	var all []string
	for n := range 15 {
		all = append(all, zones[n%3])
	}
	p := newPlatform(all)
	const kept, withdrawn = "keyofguilda000000001", "keyofguildb000000001"
	c := baseConfig([]tenant{{Name: "guild-a", APIKeys: []string{kept}, Priority: 1}, {Name: "guild-b", APIKeys: []string{withdrawn}, Priority: 1}})
	grow := func(n int) {
		for range n {
			r, i := c.Routes[3], len(c.Routes)
			r.Name, r.Prefix, r.Host = fmt.Sprintf("r-%07x", i), fmt.Sprintf("/w%d/orders/", i), fmt.Sprintf("workshop-%d.orders.example", i)
			c.Routes = append(c.Routes, r)
		}
		data, _ := json.Marshal(c)
		p.store.put("op/config", c)
		record("the store has acknowledged version %d with %d routes, %d bytes (valueBytes 1048576)", c.Version, len(c.Routes), len(data))
	}
	grow(routes)
	var mu sync.Mutex
	runs := map[string]bool{}
	for i, zone := range zones {
		newServer(p.store, fmt.Sprintf("i-%d", i+1), deskService, zone, "v1", 6, func(q *request) bool {
			mu.Lock()
			runs[q.id] = true
			mu.Unlock()
			record("server %s runs %s, Tenant %q", q.server.id, q.id, q.header.Get("Tenant"))
			time.Sleep(30 * time.Millisecond)
			return q.write(200, q.sealed(), []byte("order "+q.id))
		})
	}
	p.start()
	time.Sleep(leadTime - time.Since(p.started))
	send := func(n int, m *machine, key string) *attempt {
		a := &attempt{id: newID(), machine: m, method: "POST", path: "/order/2f", key: key, deadline: time.Second, body: []byte("commission")}
		a.run()
		record("client %d: order %s with key %q at %s: %s", n, a.id, key, a.machine.name, a.outcome())
		return a
	}
	for n, m := range p.machines {
		for _, key := range []string{kept, withdrawn} {
			if a := send(n, m, key); a.status != 200 {
				cannotRun("an order with a valid key got %d", a.status)
			}
		}
	}
	if hasTrouble() {
		c.Version = 8
		grow(added)
	}
	time.Sleep(21500*time.Millisecond - time.Since(p.started))
	c.Version, c.Tenants = 11, c.Tenants[:1]
	p.store.put("op/config", c)
	acked := time.Now()
	record("the store has acknowledged version %d without the key %s", c.Version, withdrawn)
	late := map[string]string{}
	time.Sleep(configTime)
	for n := 0; time.Since(acked) < configTime+5*time.Second; n++ {
		m := p.machines[n%len(p.machines)]
		a := send(n, m, withdrawn)
		late[a.id] = m.name
		time.Sleep(10 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	ran := map[string]int{}
	n := 0
	for id, m := range late {
		if runs[id] {
			ran[m]++
			n++
		}
	}
	conclude("CONFIG", n > 0, "%d of %d orders ran that were sent with the withdrawn key over %v after the acknowledgement: %v", n, len(late), configTime, ran)
}
