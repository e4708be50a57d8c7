package site

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks"
)

// benchShards is the number of shards of one search.
const benchShards = 10

// BenchmarkSubRequest measures one sub-request over loopback, from the caller's socket to the backend server's and back,
// including the work of the fake caller and server. The host's log is discarded.
func BenchmarkSubRequest(b *testing.B) {
	s, err := NewTCP()
	if err != nil {
		b.Fatal(err)
	}
	var shards []string
	for i := range benchShards {
		shards = append(shards, fmt.Sprintf("sh-%d", i))
		if err := s.AddService(shards[i], 3, 0); err != nil {
			b.Fatal(err)
		}
	}
	s.ChangeConfig(func(c *Config) {
		c.Routes = []Route{{Name: "search", Host: searchHost, Prefix: "/", Type: "idempotent", MaxAttempts: 2, Shards: shards, TopK: topK, MinCoverage: 0.5}}
	})
	settings, err := s.Settings("host", DataCentres[0])
	if err != nil {
		b.Fatal(err)
	}
	host, err := magnoliaworks.New(magnoliaworks.WithSettings(settings), magnoliaworks.WithLogger(hclog.NewNullLogger()))
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	time.Sleep(settleTime)
	c, err := s.Dial(settings.Platform.CallerAddress)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i := range b.N {
		a := Request{ID: fmt.Sprintf("%016x", i), Host: searchHost, Path: "/x", Timeout: time.Second}
		if answer, err := c.Do(a); err != nil || answer.Status != 200 {
			b.Fatal(answer.Status, err)
		}
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	subs := float64(b.N * benchShards)
	b.ReportMetric(float64(b.Elapsed().Microseconds())/subs, "us/sub")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/subs, "allocs/sub")
	stop()
	if err := <-ended; err != nil {
		b.Error(err)
	}
}
