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

// minBundle is the least number of shards for which one message to another host saves bytes over one for each shard.
const minBundle = 3

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

// bundle is what a flight has another host gather. The flight's task owns it, but for results.
type bundle struct {
	host    member.Member
	sent    time.Time
	group   errgroup.Group
	cancel  context.CancelFunc
	results chan bundleResult
	ended   bool
	// doubted is set once the host has been passed over.
	doubted bool
}

type bundleResult struct {
	bundle GatherResult
	err    error
}

// delegate hands the shards without a replica in this data centre to a host of one that has them,
// so that one message and one reply cross in place of one for each shard. While this host has connections of its own
// to all far servers, it asks them itself, since it can then choose the least loaded of all replicas.
func (f *flight) delegate(now time.Time) {
	target, ok := f.route.Target.(topo.ShardSet)
	if !ok || f.r.parts.Peers == nil || f.bundled || f.message.NoBody || len(f.message.Body) > 0 {
		return
	}
	t := f.r.table.Load()
	lacking := t.lacking(target.Services, f.r.parts.DataCentre)
	if len(lacking) < minBundle || f.r.order(t, lacking[0]) == 0 {
		return
	}
	host, ok := f.r.helpers.choose(f.r.parts.Membership.Available(), now, func(dataCentre string) bool {
		return dataCentre != f.r.parts.DataCentre && len(t.lacking(lacking, dataCentre)) == 0
	})
	if !ok {
		return
	}
	f.sendBundle(host, lacking, now)
}

// sendBundle sends the bundle and marks its shards as pending.
func (f *flight) sendBundle(host member.Member, services []string, now time.Time) {
	wanted := setOf(services)
	for i := range f.shards {
		s := &f.shards[i]
		if wanted[s.service] {
			s.delegated = true
			s.pending++
			s.hedgeAt = f.until
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), f.until)
	b := &bundle{
		host:    host,
		sent:    now,
		cancel:  cancel,
		results: make(chan bundleResult, 1),
	}
	b.group.Go(func() error {
		gathered, err := f.r.parts.Peers.Gather(ctx, host, f.message, services, f.r.helpers.hop())
		if err == nil && len(gathered.Signatures)+len(gathered.Missing) != len(services) {
			err = errors.Errorf("%d parts in and %d missing of %d shards", len(gathered.Signatures), len(gathered.Missing), len(services))
		}
		b.results <- bundleResult{
			bundle: gathered,
			err:    err,
		}
		return nil
	})
	f.bundle = b
	f.r.parts.Meter.CountCall(delegated, true)
	f.step(trace.Step{
		What:   delegated,
		Server: host.ID,
		Detail: host.DataCentre,
	})
}

// results returns the channel of the bundle's result; it is nil without one.
func (f *flight) results() <-chan bundleResult {
	if f.bundle == nil || f.bundle.ended {
		return nil
	}
	return f.bundle.results
}

// takeBundle handles what the other host gathered. Shards that it left out are asked directly only if it asked no server
// for them: another server would exceed the attempts of the route.
func (f *flight) takeBundle(r bundleResult) {
	f.bundle.ended = true
	if r.err != nil {
		f.r.helpers.failed(f.bundle.host.ID, time.Now())
		f.r.parts.Journal.Record("relay", f.message.ID, "not answered by host "+f.bundle.host.ID, r.err.Error())
		r.bundle = GatherResult{}
	} else {
		f.gathered = &r.bundle
		f.r.helpers.answered(f.bundle.host.ID)
		f.r.helpers.travelled(time.Since(f.bundle.sent) - r.bundle.Elapsed)
		f.lateBundle()
	}
	none := errors.Is(r.err, ErrNotExecuted)
	missing, unsent := setOf(r.bundle.Missing), setOf(r.bundle.NotExecuted)
	for i := range f.shards {
		s := &f.shards[i]
		if !s.delegated {
			continue
		}
		s.pending--
		switch {
		case none:
			f.begin(i, time.Now())
		case unsent[s.service]:
			f.send(i, first)
		case r.err != nil || missing[s.service]:
			s.ran++
			f.giveUp(i, "left out by host "+f.bundle.host.ID)
		default:
			s.ran++
			f.answer(i)
		}
	}
}

// lateBundle notes an answer that came late, with what it lacks.
func (f *flight) lateBundle() {
	if len(f.gathered.Missing) == 0 && !f.late(time.Now()) {
		return
	}
	f.step(trace.Step{
		What:   "late bundle",
		Server: f.bundle.host.ID,
		Detail: "missing: " + strings.Join(f.gathered.Missing, " "),
	})
}

// endBundle ends the call to the other host. One that kept this host waiting in vain is passed over for a while.
func (f *flight) endBundle() {
	b := f.bundle
	if b == nil {
		return
	}
	if !b.ended && !f.left {
		f.doubtHelper()
	}
	b.cancel()
	_ = b.group.Wait()
}

// doubtBundle passes the other host over in other searches once its answer is overdue:
// it answers with what it has before this host has to.
func (f *flight) doubtBundle(now time.Time) {
	if f.bundle != nil && !f.bundle.ended && !now.Before(f.answerBy) {
		f.doubtHelper()
	}
}

func (f *flight) doubtHelper() {
	if f.bundle.doubted {
		return
	}
	f.bundle.doubted = true
	f.r.helpers.failed(f.bundle.host.ID, time.Now())
	f.step(trace.Step{
		What:   "no answer yet",
		Server: f.bundle.host.ID,
	})
}

func setOf(services []string) map[string]bool {
	set := make(map[string]bool, len(services))
	for _, s := range services {
		set[s] = true
	}
	return set
}
