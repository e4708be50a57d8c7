package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
)

// pair is a fleet of this host and one in another data centre, which answers as reply says.
type pair struct {
	alone
	reply func(services []string) (GatherResult, error)
	asked int
}

func (p *pair) Available() []member.Member {
	return []member.Member{{ID: "h", DataCentre: "east"}, {ID: "other", DataCentre: "west"}}
}

func (p *pair) Gather(_ context.Context, _ member.Member, _ *query.Message, services []string, _ time.Duration) (GatherResult, error) {
	p.asked++
	return p.reply(services)
}

func proofsOf(services []string) []string {
	var proofs []string
	for _, s := range services {
		proofs = append(proofs, "proof of "+s)
	}
	return proofs
}

// newPair returns a relay whose four shards have replicas in the other data centre only. It has no connection to any of them.
func newPair(p *pair) *Relay {
	r, state := newRelay(p, p)
	shards := []string{"a", "b", "c", "d"}
	var services []topo.Service
	servers := make(map[string]topo.Server)
	for _, s := range shards {
		services = append(services, topo.Service{Name: s, MaxConnections: 1})
		servers["server-"+s] = topo.Server{ID: "server-" + s, Service: s, Address: "10.0.0.1:1", DataCentre: "west", Slots: 2}
	}
	route := &topo.Route{
		Name: "search", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond,
		Target: topo.ShardSet{Services: shards, TopK: 3, MinCoverage: 0.75},
	}
	plan := topo.NewConfig(1, []*topo.Route{route}, services, topo.Limits{})
	state.Update(func(s *topo.State) *topo.State { return s.WithConfig(plan).WithServers(servers) })
	r.Refresh()
	return r
}

// TestBundlesAreTakenWhole lets another host answer for all shards in each way.
func TestBundlesAreTakenWhole(t *testing.T) {
	cases := []struct {
		name    string
		reply   func(services []string) (GatherResult, error)
		proofs  int
		missing int
		err     error
	}{
		{name: "all parts", proofs: 4, reply: func(s []string) (GatherResult, error) { return GatherResult{Signatures: proofsOf(s)}, nil }},
		{name: "one left out", proofs: 3, missing: 1, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: proofsOf(s[1:]), Missing: s[:1]}, nil
		}},
		{name: "too few", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: proofsOf(s[2:]), Missing: s[:2]}, nil
		}},
		{name: "parts of more shards than were asked for", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: proofsOf(append([]string{"z"}, s...))}, nil
		}},
		{name: "some servers were not asked", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: proofsOf(s[2:]), Missing: s[:2], NotExecuted: s[:2]}, nil
		}},
		{name: "failed", err: query.Partial{}, reply: func([]string) (GatherResult, error) { return GatherResult{}, errors.New("reset") }},
		{name: "nothing asked", err: query.NotRun{}, reply: func([]string) (GatherResult, error) {
			return GatherResult{}, errors.Wrap(ErrNotExecuted, "refused")
		}},
	}
	for i, c := range cases {
		Convey("Its parts are in or the message is not answered with them: "+c.name, t, func() {
			p := &pair{reply: c.reply}
			r := newPair(p)
			message := &query.Message{
				ID:      fmt.Sprint(i),
				Host:    "h",
				Path:    "/",
				Arrived: time.Now(),
				Timeout: time.Second,
			}
			answer, err := r.Handle(alone{}, message)
			So(p.asked, ShouldEqual, 1)
			if c.err != nil {
				So(err, ShouldHaveSameTypeAs, c.err)
				return
			}
			So(err, ShouldBeNil)
			gathered, ok := answer.(Merged)
			So(ok, ShouldBeTrue)
			So(len(gathered.Signatures), ShouldEqual, c.proofs)
			So(gathered.Missing, ShouldEqual, c.missing)
		})
	}
}
