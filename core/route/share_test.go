package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/query"
	"magnoliaworks/core/trace"
)

// TestEqualServersShareLightLoad sends 50 requests a second to local servers. A server that is slower by a hair, or looks so, must not
// lose every comparison: what isn't called is never estimated anew, and is cold when load or a failure comes.
func TestEqualServersShareLightLoad(t *testing.T) {
	const (
		gap      = 20 * time.Millisecond
		duration = 16 * time.Second
		// leastShare is the least share of an equal server, as a multiple of an equal one.
		leastShare = 0.5
	)
	cases := []struct {
		name    string
		servers int
		// factor is that of the first server's mean latency, and most bounds its share, as a multiple of an equal one; 0 if it counts
		// as an equal server.
		factor, most float64
	}{
		{name: "three", servers: 3, factor: 1},
		{name: "four", servers: 4, factor: 1},
		{name: "twenty", servers: 20, factor: 1},
		{name: "four, one a little slower", servers: 4, factor: 1.1},
		{name: "four, one slow", servers: 4, factor: 6, most: 0.1},
		{name: "three, one very slow", servers: 3, factor: 20, most: 0.1},
	}
	for _, c := range cases {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				calls := make([]int, c.servers)
				synctest.Test(t, func(*testing.T) {
					random := rand.New(rand.NewPCG(seed, 35))
					p := NewPicker(PolicyFull, "east", limit.NewBudget(1, 20), trace.NewJournal(hclog.NewNullLogger()))
					candidates := Candidates{
						Kind:     testKind,
						Eligible: func(string) bool { return true },
					}
					indexes := make(map[string]int)
					for i := range c.servers {
						id := fmt.Sprintf("server-%d", i)
						indexes[id] = i
						candidates.Servers = append(candidates.Servers, candidate(id, "east"))
					}
					for range int(duration / gap) {
						s, _ := p.Pick(candidates)
						i := indexes[s.ID]
						calls[i]++
						took := time.Duration((0.7 + 0.6*random.Float64()) * float64(2*testMedian))
						if i == 0 {
							took = time.Duration(c.factor * float64(took))
						}
						p.Started(s.ID, testKind)
						p.Finished(s.ID, testKind, took, query.Done{})
						time.Sleep(gap)
					}
				})
				Convey("Equal servers get half of an equal share at least, and slow ones little", t, func() {
					equal := float64(duration/gap) / float64(c.servers)
					for i, n := range calls {
						if i == 0 && c.most > 0 {
							So(float64(n), ShouldBeBetweenOrEqual, 1, c.most*equal)
						} else {
							So(float64(n), ShouldBeGreaterThanOrEqualTo, leastShare*equal)
						}
					}
				})
			})
		}
	}
}
