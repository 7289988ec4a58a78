package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["last-key"] = lastKey }

// lastKey takes keys away by new versions until no tenant has one.
func lastKey() {
	zones := []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"}
	p := newPlatform(zones)
	c := baseConfig([]tenant{{Name: "guild-a", APIKeys: []string{"keyofguilda000000001", "keyofguilda000000002"}, Priority: 1}, {Name: "guild-b", APIKeys: []string{"keyofguildb000000001"}, Priority: 1}})
	p.store.put("op/config", c)
	type run struct{ id, tenant, server string }
	var mu sync.Mutex
	runs := map[string]run{}
	for i, zone := range zones {
		newServer(p.store, fmt.Sprintf("i-%d", i+1), deskService, zone, "v1", 6, func(q *request) bool {
			mu.Lock()
			runs[q.id] = run{q.id, q.header.Get("Tenant"), q.server.id}
			mu.Unlock()
			record("server %s runs %s, Tenant %q", q.server.id, q.id, q.header.Get("Tenant"))
			time.Sleep(30 * time.Millisecond)
			return q.write(200, q.sealed(), []byte("order "+q.id))
		})
	}
	p.start()
	time.Sleep(leadTime - time.Since(p.started))
	send := func(n int, key string) *attempt {
		a := &attempt{id: newID(), machine: p.pick(n), method: "POST", path: "/order/2f", key: key, deadline: time.Second, body: []byte("commission")}
		a.run()
		record("client %d: order %s with key %q at %s: %s", n, a.id, key, a.machine.name, a.outcome())
		return a
	}
	for n := range 9 {
		if a := send(n, []string{"keyofguilda000000001", "keyofguilda000000002", "keyofguildb000000001"}[n%3]); a.status != 200 {
			cannotRun("an order with a valid key got %d", a.status)
		}
	}
	// The tenants lose their keys, one with each version. Without the disruption the
	// last one stays.
	withdraw := func(version int, keys ...[]string) {
		c.Version, c.Tenants = version, []tenant{{Name: "guild-a", APIKeys: keys[0], Priority: 1}, {Name: "guild-b", APIKeys: keys[1], Priority: 1}}
		p.store.put("op/config", c)
		record("the store has acknowledged version %d with the keys %v", version, keys)
	}
	withdraw(9, []string{"keyofguilda000000002"}, []string{"keyofguildb000000001"})
	time.Sleep(1500 * time.Millisecond)
	withdraw(12, []string{}, []string{"keyofguildb000000001"})
	time.Sleep(1500 * time.Millisecond)
	if hasTrouble() {
		withdraw(13, []string{}, []string{})
	}
	time.Sleep(configTime + 3*time.Second)
	sent := map[string]string{}
	for n := range 30 {
		keys := []string{"keyofguilda000000001", "keyofguilda000000002", "keyofnobody000000001", ""}
		if hasTrouble() {
			keys = append(keys, "keyofguildb000000001")
		}
		key := keys[n%len(keys)]
		sent[send(n, key).id] = key
	}
	mu.Lock()
	defer mu.Unlock()
	withdrawn, foreign := 0, 0
	for id, key := range sent {
		if _, ok := runs[id]; !ok {
			continue
		}
		if key == "keyofnobody000000001" || key == "" {
			foreign++
		} else {
			withdrawn++
		}
	}
	conclude("ROUTE", withdrawn+foreign > 0, "%d orders ran with a key that no configuration ever held or with none, %d with one that was withdrawn %v before", foreign, withdrawn, configTime+3*time.Second)
}
