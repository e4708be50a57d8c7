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

// peerFleet is a fleet of this host and one in another data centre, which answers as reply says.
type peerFleet struct {
	singleHost
	reply       func(services []string) (GatherResult, error)
	gatherCalls int
}

func (p *peerFleet) Available() []member.Member {
	return []member.Member{{ID: "h", DataCentre: "east"}, {ID: "other", DataCentre: "west"}}
}

func (p *peerFleet) Gather(_ context.Context, _ member.Member, _ *query.Message, services []string, _ time.Duration) (GatherResult, error) {
	p.gatherCalls++
	return p.reply(services)
}

func signaturesOf(services []string) []string {
	var signatures []string
	for _, s := range services {
		signatures = append(signatures, "proof of "+s)
	}
	return signatures
}

// newPeerRelay returns a relay whose four shards have replicas in the other data centre only. It has no connection to any of them.
func newPeerRelay(p *peerFleet) *Relay {
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
	config := topo.NewConfig(1, []*topo.Route{route}, services, topo.Limits{})
	state.Update(func(s *topo.State) *topo.State { return s.WithConfig(config).WithServers(servers) })
	r.Refresh()
	return r
}

// TestDelegationOutcomes lets another host answer for all shards in each way.
func TestDelegationOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		reply   func(services []string) (GatherResult, error)
		proofs  int
		missing int
		err     error
	}{
		{name: "all parts", proofs: 4, reply: func(s []string) (GatherResult, error) { return GatherResult{Signatures: signaturesOf(s)}, nil }},
		{name: "one left out", proofs: 3, missing: 1, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(s[1:]), Missing: s[:1]}, nil
		}},
		{name: "too few", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(s[2:]), Missing: s[:2]}, nil
		}},
		{name: "parts of more shards than were asked for", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(append([]string{"z"}, s...))}, nil
		}},
		{name: "some servers were not asked", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(s[2:]), Missing: s[:2], NotExecuted: s[:2]}, nil
		}},
		{name: "failed", err: query.Partial{}, reply: func([]string) (GatherResult, error) { return GatherResult{}, errors.New("reset") }},
		{name: "nothing asked", err: query.NotRun{}, reply: func([]string) (GatherResult, error) {
			return GatherResult{}, errors.Wrap(ErrNotExecuted, "refused")
		}},
	}
	for i, c := range cases {
		Convey("Its parts are in or the message is not answered with them: "+c.name, t, func() {
			p := &peerFleet{reply: c.reply}
			r := newPeerRelay(p)
			message := &query.Message{
				ID:      fmt.Sprint(i),
				Host:    "h",
				Path:    "/",
				Arrived: time.Now(),
				Timeout: time.Second,
			}
			answer, err := r.Handle(singleHost{}, message)
			So(p.gatherCalls, ShouldEqual, 1)
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
