package rwstore_test

import (
	"fmt"
	"testing"

	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwstore"
)

// BenchmarkApply measures one change among the number of records that is planned
// for in two years.
func BenchmarkApply(b *testing.B) {
	s := rwstore.New()
	var records []rwrecord.Record
	for i := range 3100 {
		records = append(records, account(fmt.Sprint("account", i), int64(i+1), 1, fmt.Sprintf("%064x", i)))
	}
	for i := range 600 {
		records = append(records, record("upstream", fmt.Sprint("upstream", i), int64(4000+i), 1, map[string]any{
			"pool": fmt.Sprint("pool", i%22), "zone": "za", "addr": fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), "type": "engine", "window": 4, "state": "live", "inc": 1,
		}))
	}
	s.Apply(records)
	rev := int64(10_000)
	for b.Loop() {
		rev++
		s.Apply([]rwrecord.Record{account("account7", rev, 2)})
	}
}
