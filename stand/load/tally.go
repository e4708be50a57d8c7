package load

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliaworks/core/config"
	"magnoliaworks/core/index"
	"magnoliaworks/io/caller"
	"magnoliaworks/stand"
)

const (
	// The histograms hold latencies of up to a minute, in microseconds, with three significant digits.
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// tally compares the responses that callers received with the record of the stand-ins, and counts violations.
// Without a platform (nil) it checks only what the responses show.
type tally struct {
	platform *stand.Platform

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	kinds    map[string]*kindTally
	detected Violations
	// shardRuns counts the runs of searches on shards, minShardRuns only the first run on each shard.
	shardRuns           int
	minShardRuns        int
	crossDataCentreRuns int
	notRunIDs           []string
	answeredKeys        map[string]bool
	lastVersions        map[versionKey]uint64
}

// kindTally counts the measured requests of one kind.
type kindTally struct {
	requests     int
	answered     int
	refused      map[string]int
	coverageSum  float64
	fullCoverage int
	latency      *hdrhistogram.Histogram
}

// versionKey identifies a configuration scope as one host sees it.
type versionKey struct {
	host  *member
	scope string
}

func newTally(p *stand.Platform) *tally {
	return &tally{
		platform:     p,
		latency:      hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		kinds:        make(map[string]*kindTally),
		answeredKeys: make(map[string]bool),
		lastVersions: make(map[versionKey]uint64),
	}
}

// recordResponse checks one response against the record of the stand-ins.
func (t *tally) recordResponse(a arrival, text, key string, r response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.err != nil:
		if r.host.leaving {
			t.detected.CutByShutdown++
		}
	case r.status == statusOK:
		t.checkAnswer(a, text, r)
		if key != "" {
			t.answeredKeys["load/"+key] = true
		}
	case r.refusal == "not_run":
		t.notRunIDs = append(t.notRunIDs, r.requestID)
	}
	if key == "" && r.requestID != "" && t.platform != nil {
		t.countRuns(r)
	}
}

const statusOK = 200

// checkAnswer compares the answer to a search with the runs that produced it.
func (t *tally) checkAnswer(a arrival, text string, r response) {
	if a.kind.Idempotence == config.Once {
		return
	}
	mixed, crossed := inspectHits(r.answer, text)
	if mixed {
		t.detected.SnapshotMixed++
	}
	if crossed {
		t.detected.CrossedAnswers++
	}
	if t.platform != nil && !t.coverageCorrect(a, r.answer) {
		t.detected.CoverageFalse++
	}
}

// inspectHits reports whether hits belong to another snapshot than the answer's (mixed), or to another request (crossed).
// Hit IDs start with the snapshot, and stand-ins return the request's text as the title.
func inspectHits(answer caller.AnswerBody, text string) (mixed, crossed bool) {
	for _, h := range answer.Hits {
		snapshot, _, _ := strings.Cut(h.ID, "/")
		mixed = mixed || snapshot != formatUint(answer.Snapshot)
		crossed = crossed || h.Title != text
	}
	return mixed, crossed
}

// coverageCorrect reports whether the coverage agrees with the snapshot's shard map and with the complete runs in the record.
func (t *tally) coverageCorrect(a arrival, answer caller.AnswerBody) bool {
	ix, err := index.Decode(t.platform.Store.Value(config.Key(config.IndexScope(a.collection))))
	if err != nil {
		return false
	}
	completeShards := make(map[string]bool)
	for _, run := range t.platform.ExecutionLog.Runs(answer.RequestID) {
		if run.Complete && run.Snapshot == answer.Snapshot {
			completeShards[run.Shard] = true
		}
	}
	for _, s := range ix.Snapshots {
		if s.Version == answer.Snapshot {
			return coverageMatches(a.kind.Fanout, s, answer.Coverage, completeShards)
		}
	}
	return false
}

// coverageMatches compares coverage c with snapshot s and the shards that have a complete run.
func coverageMatches(f config.Fanout, s index.Snapshot, c caller.CoverageBody, completeShards map[string]bool) bool {
	if f == config.OneShard {
		return c.Total == 1 && c.Answered <= len(completeShards)
	}
	missing := make(map[string]bool)
	for _, shard := range c.Missing {
		missing[shard] = true
	}
	for _, shard := range s.Shards {
		if !missing[shard.ID] && !completeShards[shard.ID] {
			return false
		}
	}
	return c.Total == len(s.Shards) && c.Answered+len(c.Missing) == c.Total
}

// countRuns counts the runs of a search, the shards that they ran on, and the runs in another data centre.
func (t *tally) countRuns(r response) {
	shards := make(map[string]bool)
	for _, run := range t.platform.ExecutionLog.Runs(r.requestID) {
		t.shardRuns++
		if !shards[run.Shard] {
			shards[run.Shard] = true
			t.minShardRuns++
		}
		if run.DataCentre != r.dataCentre {
			t.crossDataCentreRuns++
		}
	}
}

// recordCompletion counts the end of a request and its latency, if it is measured.
func (t *tally) recordCompletion(a arrival, latency time.Duration, r response) {
	if !a.measured {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kind(a.kind.Name)
	k.requests++
	if r.err != nil {
		k.refused["no_reply"]++
		return
	}
	if r.status != statusOK {
		k.refused[r.refusal]++
		return
	}
	k.answered++
	coverage := float64(r.answer.Coverage.Answered) / float64(max(r.answer.Coverage.Total, 1))
	k.coverageSum += coverage
	if coverage == 1 {
		k.fullCoverage++
	}
	_ = k.latency.RecordValue(latency.Microseconds())
	_ = t.latency.RecordValue(latency.Microseconds())
}

func (t *tally) kind(name string) *kindTally {
	k, ok := t.kinds[name]
	if !ok {
		k = &kindTally{
			refused: make(map[string]int),
			latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
		t.kinds[name] = k
	}
	return k
}

// recordVersions counts the configuration versions of a host that are lower than at the last sample.
func (t *tally) recordVersions(m *member, versions []config.ScopeVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range versions {
		key := versionKey{
			host:  m,
			scope: v.Scope,
		}
		if v.Version < t.lastVersions[key] {
			t.detected.ConfigReverted++
		}
		t.lastVersions[key] = v.Version
	}
}

// violations returns all counts, those of the stand-ins included. Answered non-idempotent requests that never ran are lost.
func (t *tally) violations() Violations {
	v := t.detected
	if t.platform == nil {
		return v
	}
	faulty := t.platform.ExecutionLog.Violations()
	v.ColdOverload = faulty.ColdOverload
	v.DrainedWork = faulty.DrainedWork
	v.LeavingWork = faulty.LeavingWork
	for _, id := range t.notRunIDs {
		if len(t.platform.ExecutionLog.Runs(id)) > 0 {
			v.NotRunButRun++
		}
	}
	for key, n := range t.platform.ExecutionLog.RunsByKey() {
		if n > 1 {
			v.RunTwice++
		}
		delete(t.answeredKeys, key)
	}
	v.Lost = len(t.answeredKeys)
	return v
}
