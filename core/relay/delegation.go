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

// delegation is the call by which a peer host gathers some shards. The goroutine of the execution owns it,
// except for results, which the goroutine of the call writes to.
type delegation struct {
	host    member.Member
	sentAt  time.Time
	group   errgroup.Group
	cancel  context.CancelFunc
	results chan delegationResult
	ended   bool
	// overdue is set once the host has been put into backoff because its reply is late.
	overdue bool
}

type delegationResult struct {
	gathered GatherResult
	err      error
}

// delegate has a host of another data centre gather the shards without a replica in this one, so that one message and one
// reply cross data centres instead of one of each per shard. If the servers of the first of these shards have connections
// to spare for every host (see preferenceSeed), it calls them itself, since it can then choose the least loaded of all
// replicas. Messages with a body, or whose replies have none, are not delegated.
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
	e.sendDelegation(host, newGatherTask(e.route, target, remote), remote, now)
}

// sendDelegation sends the delegation and marks its shards as pending.
func (e *execution) sendDelegation(host member.Member, task GatherTask, services []string, now time.Time) {
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
	d := &delegation{
		host:    host,
		sentAt:  now,
		cancel:  cancel,
		results: make(chan delegationResult, 1),
	}
	d.group.Go(func() error {
		gathered, err := e.relay.options.Peers.Gather(ctx, host, e.message, task, e.relay.delegates.roundTrip())
		if err == nil && len(gathered.Signatures)+len(gathered.Missing) != len(services) {
			err = errors.Errorf("%d replies and %d missing of %d services", len(gathered.Signatures), len(gathered.Missing), len(services))
		}
		d.results <- delegationResult{
			gathered: gathered,
			err:      err,
		}
		return nil
	})
	e.delegation = d
	e.relay.options.Meter.CountCall(reasonDelegated, true)
	e.step(trace.Step{
		What:   reasonDelegated,
		Server: host.ID,
		Detail: host.DataCentre,
	})
}

// delegationResults returns the channel of the delegation's result, or nil if none is in progress.
func (e *execution) delegationResults() <-chan delegationResult {
	if e.delegation == nil || e.delegation.ended {
		return nil
	}
	return e.delegation.results
}

// handleDelegation handles the delegation's result. Shards that are missing in it are called directly only if no server
// executed the message for them: calling another server could exceed the attempts of the route. The retry budget counts
// such a call as ordinary work only if the peer host called no server at all; otherwise that host has counted it.
func (e *execution) handleDelegation(r delegationResult) {
	e.delegation.ended = true
	if r.err != nil {
		e.relay.delegates.recordFailure(e.delegation.host.ID, time.Now())
		e.relay.options.Journal.Record("relay", e.message.ID, "not answered by host "+e.delegation.host.ID, r.err.Error())
		r.gathered = GatherResult{}
	} else {
		e.peerResult = &r.gathered
		e.relay.delegates.recordSuccess(e.delegation.host.ID)
		e.relay.delegates.observeRoundTrip(time.Since(e.delegation.sentAt) - r.gathered.Elapsed)
		e.recordLateDelegation()
	}
	noneExecuted := errors.Is(r.err, ErrNotExecuted)
	missing, notExecuted := setOf(r.gathered.Missing), setOf(r.gathered.NotExecuted)
	for i := range e.shards {
		s := &e.shards[i]
		if !s.delegated {
			continue
		}
		s.pending--
		switch {
		case noneExecuted:
			e.sendFirst(i, time.Now())
		case notExecuted[s.service]:
			e.send(i, reasonFirst)
		case r.err != nil || missing[s.service]:
			s.ran++
			e.giveUp(i, "no reply gathered by host "+e.delegation.host.ID)
		default:
			s.ran++
			e.completeShard(i)
		}
	}
}

// recordLateDelegation adds a trace step for a result that is late or lacks shards.
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

// endDelegation ends the call to the peer host. If no result came and the caller has not disconnected, the host is put
// into backoff.
func (e *execution) endDelegation() {
	d := e.delegation
	if d == nil {
		return
	}
	if !d.ended && !e.aborted {
		e.markOverdue()
	}
	d.cancel()
	_ = d.group.Wait()
}

// checkOverdue marks a delegation without a result as overdue from partialAfter on, so that other searches avoid the peer
// host: it should have returned the replies that it had by then.
func (e *execution) checkOverdue(now time.Time) {
	if e.delegation != nil && !e.delegation.ended && !now.Before(e.partialAfter) {
		e.markOverdue()
	}
}

// markOverdue puts the peer host into backoff, once for each delegation.
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
