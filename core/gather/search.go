package gather

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaworks/core/config"
	"magnoliaworks/core/index"
	"magnoliaworks/core/query"
	"magnoliaworks/core/trace"
)

const (
	// maxRestarts bounds the restarts of one search on a newer snapshot.
	maxRestarts = 2
	// slowShare is the part of the deadline from which an answered search counts as slow.
	slowShare = 0.5
	// sampleEvery is the number of fast, whole searches of which one record is kept.
	sampleEvery = 64
)

// search runs a search on one snapshot, and on a newer one when the first has gone from the backend servers.
func (g *Gatherer) search(ctx context.Context, req query.Request, kind config.Kind, started time.Time) (query.Answer, error) {
	record := &recorder{
		started: started,
	}
	var answer query.Answer
	var err error
	for restart := 0; ; restart++ {
		snapshot, chosen := g.snapshot(req.Collection)
		if !chosen {
			return query.Answer{}, query.NotRun{
				Reason:     "no snapshot of the collection is known",
				RetryAfter: overloadRetry,
			}
		}
		f := g.newFlight(ctx, req, kind, snapshot, record)
		answer, err = f.fly()
		if !f.gone || restart == maxRestarts || ctx.Err() != nil {
			break
		}
		if !g.newer(req.Collection, snapshot) {
			break
		}
		record.step("restart on a newer snapshot", "", "", "no replica of a shard holds the first one")
	}
	g.keep(req, kind, record, err)
	return answer, err
}

// snapshot chooses the snapshot that a new search of the collection uses.
func (g *Gatherer) snapshot(collection string) (index.Snapshot, bool) {
	table := g.parts.Routes.Load()
	ix, ok := table.Config.Index(collection)
	if !ok {
		return index.Snapshot{}, false
	}
	replicas := func(service string) []string {
		servers := table.Replicas(collection, service)
		ids := make([]string, len(servers))
		for i, s := range servers {
			ids[i] = s.ID
		}
		return ids
	}
	return index.ChooseSnapshot(ix, replicas, g.parts.Snapshots)
}

// newer reports whether a search that found s gone has a newer snapshot to start again on.
func (g *Gatherer) newer(collection string, s index.Snapshot) bool {
	next, ok := g.snapshot(collection)
	return ok && next.Version > s.Version
}

// shardsOf returns the shards that a request goes to.
func shardsOf(req query.Request, kind config.Kind, s index.Snapshot) []index.Shard {
	if kind.Fanout == config.AllShards {
		return s.Shards
	}
	by := req.IdempotencyKey
	if by == "" {
		by = req.Text
	}
	i := int(xxhash.Sum64String(by) % uint64(len(s.Shards)))
	return s.Shards[i : i+1]
}

// keep remembers the record of a search that was slow, partial or refused, and of a sample of the others.
func (g *Gatherer) keep(req query.Request, kind config.Kind, record *recorder, err error) {
	took := time.Since(record.started)
	healthy := err == nil && took < time.Duration(slowShare*float64(kind.Deadline))
	if healthy && xxhash.Sum64String(req.ID)%sampleEvery != 0 {
		return
	}
	g.parts.Journal.RecordRequest(trace.Request{
		ID:         req.ID,
		Collection: req.Collection,
		Kind:       req.Kind,
		At:         record.started,
		Took:       took,
		Outcome:    query.Outcome(err),
		Steps:      record.steps,
	})
}

// recorder collects the steps of one request.
type recorder struct {
	started time.Time
	steps   []trace.Step
}

func (r *recorder) step(what, shard, server, detail string) {
	r.steps = append(r.steps, trace.Step{
		After:  time.Since(r.started),
		What:   what,
		Shard:  shard,
		Server: server,
		Detail: detail,
	})
}
