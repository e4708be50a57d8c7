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

// peerFleet is a fleet of this host and one in another data centre, whose Gather returns the result of reply.
type peerFleet struct {
	singleHost
	reply       func(services []string) (GatherResult, error)
	gatherCalls int
	// allowed is the time for the way to the other host and back of the last call.
	allowed time.Duration
}

func (p *peerFleet) Available() []member.Member {
	return []member.Member{{ID: "h", DataCentre: "east"}, {ID: "other", DataCentre: "west"}}
}

func (p *peerFleet) Gather(_ context.Context, _ member.Member, _ *query.Message, task GatherTask, roundTrip time.Duration) (GatherResult, error) {
	p.allowed = roundTrip
	p.gatherCalls++
	return p.reply(task.Route.Target.(topo.ShardSet).Services)
}

func signaturesOf(services []string) []string {
	var signatures []string
	for _, s := range services {
		signatures = append(signatures, "signature of "+s)
	}
	return signatures
}

// newPeerRelay returns a relay with four shards whose replicas are all in the other data centre and have no connection
// to spare for this host.
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

// TestDelegationOutcomes has the other host gather all shards, with each kind of result. A result that is incomplete
// or does not fit the request must not be answered as if it were complete.
func TestDelegationOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		reply      func(services []string) (GatherResult, error)
		signatures int
		missing    int
		err        error
	}{
		{name: "all replies", signatures: 4, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(s)}, nil
		}},
		{name: "one missing", signatures: 3, missing: 1, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(s[1:]), Missing: s[:1]}, nil
		}},
		{name: "too few", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(s[2:]), Missing: s[:2]}, nil
		}},
		{name: "replies of more shards than requested", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(append([]string{"z"}, s...))}, nil
		}},
		{name: "some servers were not called", err: query.Partial{}, reply: func(s []string) (GatherResult, error) {
			return GatherResult{Signatures: signaturesOf(s[2:]), Missing: s[:2], NotExecuted: s[:2]}, nil
		}},
		{name: "failed", err: query.Partial{}, reply: func([]string) (GatherResult, error) { return GatherResult{}, errors.New("reset") }},
		{name: "no server called", err: query.NotRun{}, reply: func([]string) (GatherResult, error) {
			return GatherResult{}, errors.Wrap(ErrNotExecuted, "refused")
		}},
	}
	for i, c := range cases {
		Convey("The answer has all replies of the result, or the message is refused: "+c.name, t, func() {
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
			merged, ok := answer.(Merged)
			So(ok, ShouldBeTrue)
			So(len(merged.Signatures), ShouldEqual, c.signatures)
			So(merged.Missing, ShouldEqual, c.missing)
		})
	}
}

// callMeter counts calls by reason.
type callMeter struct {
	singleHost
	calls map[string]int
}

func (m callMeter) CountCall(reason string, _ bool) { m.calls[reason]++ }

// TestRepeatsOfRejectedDelegationsAreCharged guards against more repeated calls than the budget permits: servers have rejected calls of
// the host that gathers, and this host calls others for these shards.
func TestRepeatsOfRejectedDelegationsAreCharged(t *testing.T) {
	cases := []struct {
		name    string
		slack   float64
		repeats int
	}{
		{name: "budget is empty"},
		{name: "budget for each service", slack: 20, repeats: 2},
	}
	for i, c := range cases {
		Convey("Calls for shards that were rejected elsewhere are repeats: "+c.name, t, func() {
			p := &peerFleet{reply: func(s []string) (GatherResult, error) {
				return GatherResult{Signatures: signaturesOf(s[2:]), Missing: s[:2], NotExecuted: s[:2]}, nil
			}}
			meter := callMeter{
				calls: make(map[string]int),
			}
			r := newPeerRelay(p)
			r.options.Meter = meter
			r.options.Bounds = func() Bounds {
				return Bounds{
					RetryWindow: time.Second,
					RetrySlack:  c.slack,
				}
			}
			_, err := r.Handle(singleHost{}, &query.Message{
				ID:      fmt.Sprint(i),
				Host:    "h",
				Path:    "/",
				Arrived: time.Now(),
				Timeout: time.Second,
			})
			So(err, ShouldHaveSameTypeAs, query.Partial{})
			So(meter.calls[reasonFirst], ShouldEqual, 0)
			So(meter.calls[reasonRetry], ShouldEqual, c.repeats)
		})
	}
}

// TestGatherFollowsTheRouteOfTheSender gathers for a host whose configuration has a route that this host's lacks, as while a
// change of routes spreads.
func TestGatherFollowsTheRouteOfTheSender(t *testing.T) {
	Convey("The services of the sender's set are called, and no other route is matched", t, func() {
		r := newPeerRelay(&peerFleet{})
		set := topo.ShardSet{Services: []string{"b", "c", "x"}, TopK: 2, MinCoverage: 0.5}
		task := newGatherTask(&topo.Route{Name: "new", Idempotent: true, MaxAttempts: 2, Target: set}, set, []string{"b", "c"})
		So(task.SetSize, ShouldEqual, 3)
		result, err := r.Gather(context.Background(), &query.Message{
			ID:      "r",
			Host:    "another host",
			Path:    "/",
			Arrived: time.Now(),
			Timeout: time.Second,
		}, task)
		So(err, ShouldBeNil)
		So(result.Missing, ShouldResemble, []string{"b", "c"})
		So(result.NotExecuted, ShouldResemble, []string{"b", "c"})
	})
}

// TestGatherJudgesNoKey gathers for a host that has found an account which this host's configuration lacks. A refusal, or a run
// without the account, would come from two versions of the configuration.
func TestGatherJudgesNoKey(t *testing.T) {
	Convey("The services are called for the account of the calling host", t, func() {
		r := newPeerRelay(&peerFleet{})
		r.options.State.Update(func(s *topo.State) *topo.State {
			return s.WithConfig(topo.NewConfig(2, nil, nil, topo.Limits{}).WithAccounts(nil))
		})
		r.Refresh()
		set := topo.ShardSet{Services: []string{"b", "c"}, TopK: 2, MinCoverage: 0.5}
		message := &query.Message{
			ID:      "r",
			Account: "added later",
			Arrived: time.Now(),
			Timeout: time.Second,
		}
		result, err := r.Gather(context.Background(), message, newGatherTask(&topo.Route{Name: "new", MaxAttempts: 2, Target: set}, set, set.Services))
		So(err, ShouldBeNil)
		So(result.NotExecuted, ShouldResemble, []string{"b", "c"})
		So(message.Account, ShouldEqual, "added later")
	})
}
