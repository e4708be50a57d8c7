package relay

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// minDelegatedShards is the least number of shards for which one message to another host saves bytes over one for each shard.
const minDelegatedShards = 3

// ErrNotExecuted reports that another host has asked no server.
var ErrNotExecuted = errors.New("the other host asked no server")

// Peers run messages for this host.
type Peers interface {
	// Gather has another host ask the services for their parts and returns what it gathered.
	// The other host is to answer as if hop more of the caller's time had passed. The error is ErrNotExecuted when no server was asked.
	Gather(ctx context.Context, to member.Member, m *query.Message, services []string, hop time.Duration) (GatherResult, error)
}

// GatherResult holds the merged parts of some shards of a set.
type GatherResult struct {
	// Signatures are the servers' signatures of the parts that are in.
	Signatures []string
	// Body holds the greatest records of the parts, the greatest first.
	Body []byte
	// Missing are the services that are left out, and NotExecuted those of them that no server was asked for.
	Missing     []string
	NotExecuted []string
	// Elapsed is the time that the other host had the message.
	Elapsed time.Duration
}

// delegation is what a flight has another host gather. The flight's task owns it, but for results.
type delegation struct {
	host    member.Member
	sent    time.Time
	group   errgroup.Group
	cancel  context.CancelFunc
	results chan delegationResult
	ended   bool
	// overdue is set once the host has been passed over.
	overdue bool
}

type delegationResult struct {
	gathered GatherResult
	err      error
}

// delegate hands the shards without a replica in this data centre to a host of one that has them,
// so that one message and one reply cross in place of one for each shard. While this host has connections of its own
// to all far servers, it asks them itself, since it can then choose the least loaded of all replicas.
func (e *execution) delegate(now time.Time) {
	target, ok := e.route.Target.(topo.ShardSet)
	if !ok || e.relay.options.Peers == nil || e.forPeer || e.message.NoBody || len(e.message.Body) > 0 {
		return
	}
	t := e.relay.table.Load()
	remote := t.servicesWithout(target.Services, e.relay.options.DataCentre)
	if len(remote) < minDelegatedShards || e.relay.preferenceSeed(t, remote[0]) == 0 {
		return
	}
	host, ok := e.relay.delegates.choose(e.relay.options.Membership.Available(), now, func(dataCentre string) bool {
		return dataCentre != e.relay.options.DataCentre && len(t.servicesWithout(remote, dataCentre)) == 0
	})
	if !ok {
		return
	}
	e.sendDelegation(host, remote, now)
}

// sendDelegation sends the bundle and marks its shards as pending.
func (e *execution) sendDelegation(host member.Member, services []string, now time.Time) {
	wanted := setOf(services)
	for i := range e.shards {
		s := &e.shards[i]
		if wanted[s.service] {
			s.delegated = true
			s.pending++
			s.hedgeAt = e.deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), e.deadline)
	b := &delegation{
		host:    host,
		sent:    now,
		cancel:  cancel,
		results: make(chan delegationResult, 1),
	}
	b.group.Go(func() error {
		gathered, err := e.relay.options.Peers.Gather(ctx, host, e.message, services, e.relay.delegates.roundTrip())
		if err == nil && len(gathered.Signatures)+len(gathered.Missing) != len(services) {
			err = errors.Errorf("%d parts in and %d missing of %d shards", len(gathered.Signatures), len(gathered.Missing), len(services))
		}
		b.results <- delegationResult{
			gathered: gathered,
			err:      err,
		}
		return nil
	})
	e.delegation = b
	e.relay.options.Meter.CountCall(reasonDelegated, true)
	e.step(trace.Step{
		What:   reasonDelegated,
		Server: host.ID,
		Detail: host.DataCentre,
	})
}

// delegationResults returns the channel of the bundle's result; it is nil without one.
func (e *execution) delegationResults() <-chan delegationResult {
	if e.delegation == nil || e.delegation.ended {
		return nil
	}
	return e.delegation.results
}

// handleDelegation handles what the other host gathered. Shards that it left out are asked directly only if it asked no server
// for them: another server would exceed the attempts of the route.
func (e *execution) handleDelegation(r delegationResult) {
	e.delegation.ended = true
	if r.err != nil {
		e.relay.delegates.recordFailure(e.delegation.host.ID, time.Now())
		e.relay.options.Journal.Record("relay", e.message.ID, "not answered by host "+e.delegation.host.ID, r.err.Error())
		r.gathered = GatherResult{}
	} else {
		e.peerResult = &r.gathered
		e.relay.delegates.recordSuccess(e.delegation.host.ID)
		e.relay.delegates.observeRoundTrip(time.Since(e.delegation.sent) - r.gathered.Elapsed)
		e.recordLateDelegation()
	}
	notExecuted := errors.Is(r.err, ErrNotExecuted)
	missing, unsent := setOf(r.gathered.Missing), setOf(r.gathered.NotExecuted)
	for i := range e.shards {
		s := &e.shards[i]
		if !s.delegated {
			continue
		}
		s.pending--
		switch {
		case notExecuted:
			e.sendFirst(i, time.Now())
		case unsent[s.service]:
			e.send(i, reasonFirst)
		case r.err != nil || missing[s.service]:
			s.ran++
			e.giveUp(i, "left out by host "+e.delegation.host.ID)
		default:
			s.ran++
			e.completeShard(i)
		}
	}
}

// recordLateDelegation notes an answer that came late, with what it lacks.
func (e *execution) recordLateDelegation() {
	if len(e.peerResult.Missing) == 0 && !e.halfObjectivePassed(time.Now()) {
		return
	}
	e.step(trace.Step{
		What:   "late bundle",
		Server: e.delegation.host.ID,
		Detail: "missing: " + strings.Join(e.peerResult.Missing, " "),
	})
}

// endDelegation ends the call to the other host. One that kept this host waiting in vain is passed over for a while.
func (e *execution) endDelegation() {
	b := e.delegation
	if b == nil {
		return
	}
	if !b.ended && !e.aborted {
		e.markOverdue()
	}
	b.cancel()
	_ = b.group.Wait()
}

// checkOverdue passes the other host over in other searches once its answer is overdue:
// it answers with what it has before this host has to.
func (e *execution) checkOverdue(now time.Time) {
	if e.delegation != nil && !e.delegation.ended && !now.Before(e.partialAfter) {
		e.markOverdue()
	}
}

func (e *execution) markOverdue() {
	if e.delegation.overdue {
		return
	}
	e.delegation.overdue = true
	e.relay.delegates.recordFailure(e.delegation.host.ID, time.Now())
	e.step(trace.Step{
		What:   "no answer yet",
		Server: e.delegation.host.ID,
	})
}

func setOf(services []string) map[string]bool {
	set := make(map[string]bool, len(services))
	for _, s := range services {
		set[s] = true
	}
	return set
}
