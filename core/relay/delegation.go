package relay

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/shed"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// minDelegatedShards is the least number of shards for which one message to another host
// saves bytes over one message for each shard.
const minDelegatedShards = 3

// ErrNotExecuted reports that the peer host called no backend server.
var ErrNotExecuted = errors.New("the peer host called no backend server")

// Peers are the hosts that gather replies for this host.
type Peers interface {
	// Gather has the host call the services of a task and returns the merged replies. The time left to the host is reduced by
	// roundTrip, so that its reply arrives in time. The error is ErrNotExecuted when no backend server was called.
	Gather(ctx context.Context, to member.Member, m *query.Message, task GatherTask, roundTrip time.Duration) (GatherResult, error)
}

// GatherResult holds the merged replies of some shards of a set.
type GatherResult struct {
	// Signatures are the servers' signatures of the merged replies.
	Signatures []string
	// Body holds the greatest records of the replies, compared bytewise, in descending order.
	Body []byte
	// Missing are the services without a reply, and NotExecuted those of them for which no server executed the message.
	Missing     []string
	NotExecuted []string
	// Elapsed is the time that the peer host spent on the message.
	Elapsed time.Duration
}

// delegation is the call by which a peer host gathers some shards. The goroutine of the execution owns it.
type delegation struct {
	host   member.Member
	sentAt time.Time
	// services is the set of services that the peer host calls.
	services map[string]bool
	group    errgroup.Group
	cancel   context.CancelFunc
	ended    bool
	// overdue is set once the host has been put into backoff because its reply is late.
	overdue bool
	// gathered is what the peer host returned; nil if it has not answered.
	gathered *GatherResult
}

// delegationResult is the result of a delegation.
type delegationResult struct {
	delegation *delegation
	gathered   GatherResult
	err        error
}

// delegate has hosts of other data centres gather the shards without a replica in this one, so that one message and one
// reply cross to each of these data centres instead of one of each per shard, and a server gets connections from the hosts
// of its own data centre only. That also holds when no single data centre has all of these shards, as after the loss of
// some servers of each. If the servers of the first of these shards have connections to spare for every host (see
// preferenceSeed), this host calls them itself, since it can then choose the least loaded of all replicas. Messages with a
// body, or whose replies have none, are not delegated.
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
	hosts := e.relay.delegates.choose(e.relay.options.Membership.Available(), e.relay.options.DataCentre, now)
	for _, part := range t.partition(remote, hosts) {
		if len(part.services) >= minDelegatedShards {
			e.sendDelegation(part.host, newGatherTask(e.route, target, part.services), part.services, now)
		}
	}
}

// sendDelegation sends a delegation and marks its shards as pending.
func (e *execution) sendDelegation(host member.Member, task GatherTask, services []string, now time.Time) {
	d := &delegation{
		host:     host,
		sentAt:   now,
		services: setOf(services),
	}
	for i := range e.shards {
		s := &e.shards[i]
		if d.services[s.service] {
			s.delegated = true
			s.pending++
			s.hedgeAt = e.deadline
		}
	}
	if e.delegationResults == nil {
		e.delegationResults = make(chan delegationResult, len(e.shards))
	}
	results, allowed := e.delegationResults, e.relay.delegates.roundTrip()+e.answeredEarlierBy()
	ctx, cancel := context.WithDeadline(context.Background(), e.deadline)
	d.cancel = cancel
	d.group.Go(func() error {
		gathered, err := e.relay.options.Peers.Gather(ctx, host, e.message, task, allowed)
		if err == nil && len(gathered.Signatures)+len(gathered.Missing) != len(services) {
			err = errors.Errorf("%d replies and %d missing of %d services", len(gathered.Signatures), len(gathered.Missing), len(services))
		}
		results <- delegationResult{
			delegation: d,
			gathered:   gathered,
			err:        err,
		}
		return nil
	})
	e.delegations = append(e.delegations, d)
	e.relay.options.Meter.CountCall(reasonDelegated, true)
	e.step(trace.Step{
		What:   reasonDelegated,
		Server: host.ID,
		Detail: host.DataCentre,
	})
}

// answeredEarlierBy returns how much earlier this search is answered with the shards that it has than a peer host assumes, which knows
// nothing of the caller's way and of this host's delay. Without that time, peer hosts that keep theirs would count as overdue.
func (e *execution) answeredEarlierBy() time.Duration {
	if e.route.LatencyObjective <= 0 {
		return 0
	}
	assumed := e.message.At(shed.PartialAfter(e.route.LatencyObjective, 0, 0))
	return max(assumed.Sub(e.partialAfter), 0)
}

// handleDelegation handles a delegation's result. Shards that are missing in it are called directly only if no server
// executed the message for them: calling another server could exceed the attempts of the route. Such a call is ordinary
// work only if the peer host called no server at all; otherwise it is a repeat, which draws on the retry budget.
func (e *execution) handleDelegation(r delegationResult) {
	d := r.delegation
	d.ended = true
	if r.err != nil {
		e.relay.delegates.recordFailure(d.host.ID, time.Now())
		e.relay.options.Journal.Record("relay", e.message.ID, "not answered by host "+d.host.ID, r.err.Error())
		r.gathered = GatherResult{}
	} else {
		d.gathered = &r.gathered
		e.relay.delegates.recordSuccess(d.host.ID)
		e.relay.delegates.observeRoundTrip(time.Since(d.sentAt) - r.gathered.Elapsed)
		e.recordLateDelegation(d)
	}
	noneExecuted := errors.Is(r.err, ErrNotExecuted)
	missing, notExecuted := setOf(r.gathered.Missing), setOf(r.gathered.NotExecuted)
	for i := range e.shards {
		s := &e.shards[i]
		if !d.services[s.service] {
			continue
		}
		s.pending--
		switch {
		case noneExecuted:
			e.sendFirst(i, time.Now())
		case notExecuted[s.service]:
			// Servers may have rejected calls of the peer host, which the budget counts as arrivals.
			e.retryOrGiveUp(i, true, false)
		case r.err != nil || missing[s.service]:
			s.ran++
			e.giveUp(i, "no reply gathered by host "+d.host.ID)
		default:
			s.ran++
			e.completeShard(i)
		}
	}
}

// recordLateDelegation adds a trace step for a result that is late or lacks shards.
func (e *execution) recordLateDelegation(d *delegation) {
	if len(d.gathered.Missing) == 0 && !e.halfObjectivePassed(time.Now()) {
		return
	}
	e.step(trace.Step{
		What:   "late bundle",
		Server: d.host.ID,
		Detail: "missing: " + strings.Join(d.gathered.Missing, " "),
	})
}

// endDelegations ends the calls to peer hosts. A host from which no result came is put into backoff, unless the caller has
// disconnected.
func (e *execution) endDelegations() {
	for _, d := range e.delegations {
		if !d.ended && !e.aborted {
			e.markOverdue(d)
		}
		d.cancel()
	}
	for _, d := range e.delegations {
		_ = d.group.Wait()
	}
}

// checkOverdue marks delegations without a result as overdue from partialAfter on, so that other searches avoid their
// hosts: these should have returned the replies that they had by then.
func (e *execution) checkOverdue(now time.Time) {
	for _, d := range e.delegations {
		if !d.ended && !now.Before(e.partialAfter) {
			e.markOverdue(d)
		}
	}
}

// markOverdue puts the peer host into backoff, once for each delegation.
func (e *execution) markOverdue(d *delegation) {
	if d.overdue {
		return
	}
	d.overdue = true
	e.relay.delegates.recordFailure(d.host.ID, time.Now())
	e.step(trace.Step{
		What:   "no answer yet",
		Server: d.host.ID,
	})
}

func setOf(services []string) map[string]bool {
	set := make(map[string]bool, len(services))
	for _, s := range services {
		set[s] = true
	}
	return set
}
