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
	// slowDeadlineShare is the share of the kind's deadline from which an answered search counts as slow.
	slowDeadlineShare = 0.5
	// sampleInterval is the number of fast, answered searches of which one trace is kept.
	sampleInterval = 64
)

// search runs a search on one snapshot, and restarts it on a newer one when backend servers no longer hold the first.
func (g *Gatherer) search(ctx context.Context, req query.Request, kind config.Kind, started time.Time) (query.Answer, error) {
	recorder := &traceRecorder{
		started: started,
	}
	var answer query.Answer
	var err error
	for restart := 0; ; restart++ {
		snapshot, chosen := g.chooseSnapshot(req.Collection)
		if !chosen {
			return query.Answer{}, query.NotRun{
				Reason:     "no snapshot of the collection is known",
				RetryAfter: retryAfter,
			}
		}
		e := g.newExecution(ctx, req, kind, snapshot, recorder)
		answer, err = e.run()
		if !e.snapshotLost || restart == maxRestarts || ctx.Err() != nil {
			break
		}
		if !g.hasNewerSnapshot(req.Collection, snapshot) {
			break
		}
		recorder.step("restart on a newer snapshot", "", "", "no replica of a shard holds the previous snapshot")
	}
	g.traceSearch(req, kind, recorder, err)
	return answer, err
}

// chooseSnapshot returns the snapshot for a new search of the collection; it reports false when none is known.
func (g *Gatherer) chooseSnapshot(collection string) (index.Snapshot, bool) {
	table := g.options.Routes.Load()
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
	return index.ChooseSnapshot(ix, replicas, g.options.Snapshots)
}

// hasNewerSnapshot reports whether a new search would use a newer snapshot than current.
func (g *Gatherer) hasNewerSnapshot(collection string, current index.Snapshot) bool {
	next, ok := g.chooseSnapshot(collection)
	return ok && next.Version > current.Version
}

// targetShards returns the shards that a request is sent to: all of them, or the one that its key or text hashes to.
func targetShards(req query.Request, kind config.Kind, snapshot index.Snapshot) []index.Shard {
	if kind.Fanout == config.AllShards {
		return snapshot.Shards
	}
	shardKey := req.IdempotencyKey
	if shardKey == "" {
		shardKey = req.Text
	}
	i := int(xxhash.Sum64String(shardKey) % uint64(len(snapshot.Shards)))
	return snapshot.Shards[i : i+1]
}

// traceSearch adds the trace of a search to the journal if it was slow, partial or refused, and a sample of the others.
func (g *Gatherer) traceSearch(req query.Request, kind config.Kind, recorder *traceRecorder, err error) {
	took := time.Since(recorder.started)
	healthy := err == nil && took < time.Duration(slowDeadlineShare*float64(kind.Deadline))
	if healthy && xxhash.Sum64String(req.ID)%sampleInterval != 0 {
		return
	}
	g.options.Journal.RecordRequest(trace.Request{
		ID:         req.ID,
		Collection: req.Collection,
		Kind:       req.Kind,
		At:         recorder.started,
		Took:       took,
		Outcome:    query.Outcome(err),
		Steps:      recorder.steps,
	})
}

// traceRecorder collects the trace steps of one request.
type traceRecorder struct {
	started time.Time
	steps   []trace.Step
}

// step appends a step at the time since the start.
func (r *traceRecorder) step(what, shard, server, detail string) {
	r.steps = append(r.steps, trace.Step{
		After:  time.Since(r.started),
		What:   what,
		Shard:  shard,
		Server: server,
		Detail: detail,
	})
}
