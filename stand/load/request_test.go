package load

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks/core/deploy"
	"magnoliaworks/stand"
)

// BenchmarkRequest sends searches over all shards to the callers' ports over loopback TCP.
// It reports processor time and allocations for each sub-request; they include stand-ins and callers.
func BenchmarkRequest(b *testing.B) {
	p, err := deploy.Embedded("valparaiso")
	if err != nil {
		b.Fatal(err)
	}
	platform, err := stand.NewPlatform(p, stand.NewTCP(deploy.Delays{}), 1)
	if err != nil {
		b.Fatal(err)
	}
	defer platform.Stop()
	fleet, err := NewFleet(context.Background(), platform, 8, "full", hclog.NewNullLogger())
	if err != nil {
		b.Fatal(err)
	}
	r := &runner{
		config: Config{
			Deployment: p,
		},
		platform: platform,
		fleet:    fleet,
		tally:    newTally(platform),
	}
	r.client = newClient(r)
	r.client.refresh(fleet.members())
	runSearches(b, r, p)
	b.StopTimer()
	r.client.close()
	if err := fleet.Stop(); err != nil {
		b.Fatal(err)
	}
}

func runSearches(b *testing.B, r *runner, p deploy.Spec) {
	c := p.Collections[0]
	shards := float64(c.Services)
	var number atomic.Int64
	var before, after runtime.MemStats
	b.SetParallelism(8)
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := arrival{
				number:     int(number.Add(1)),
				collection: c.Name,
				kind:       c.Kinds[0],
			}
			text, key := r.client.textAndKey(a)
			if reply := r.client.send(a, text, key); reply.err != nil || reply.status != statusOK {
				b.Errorf("status %d: %v", reply.status, reply.err)
			}
		}
	})
	cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	subs := float64(b.N) * shards
	b.ReportMetric(float64(cpu.Microseconds())/subs, "us/sub")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/subs, "allocs/sub")
}
