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
	// The histogram holds microseconds up to a minute with three digits.
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// tally compares what callers were told with what the stand-ins did, and counts.
type tally struct {
	platform *stand.Platform

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	kinds    map[string]*kindTally
	detected Violations
	// shardRuns are the runs of searches, needed those that one run for each shard would have been.
	shardRuns           int
	minShardRuns        int
	crossDataCentreRuns int
	notRunIDs           []string
	answeredKeys        map[string]bool
	lastVersions        map[versionKey]uint64
}

type kindTally struct {
	requests     int
	answered     int
	refused      map[string]int
	coverageSum  float64
	fullCoverage int
	latency      *hdrhistogram.Histogram
}

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

// recordResponse checks one response against the record.
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

// checkAnswer compares an answer with the runs that stand behind it.
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

// inspectHits tells whether hits belong to another snapshot than the answer's, or to another request.
func inspectHits(answer caller.AnswerBody, text string) (mixed, crossed bool) {
	for _, h := range answer.Hits {
		snapshot, _, _ := strings.Cut(h.ID, "/")
		mixed = mixed || snapshot != formatUint(answer.Snapshot)
		crossed = crossed || h.Title != text
	}
	return mixed, crossed
}

// coverageCorrect compares the coverage with the shard map of the snapshot and with the whole runs in the record.
func (t *tally) coverageCorrect(a arrival, answer caller.AnswerBody) bool {
	ix, err := index.Decode(t.platform.Store.Value(config.Key(config.IndexScope(a.collection))))
	if err != nil {
		return false
	}
	whole := make(map[string]bool)
	for _, run := range t.platform.Record.Runs(answer.RequestID) {
		if run.Whole && run.Snapshot == answer.Snapshot {
			whole[run.Shard] = true
		}
	}
	for _, s := range ix.Snapshots {
		if s.Version == answer.Snapshot {
			return coverageMatches(a.kind.Fanout, s, answer.Coverage, whole)
		}
	}
	return false
}

func coverageMatches(f config.Fanout, s index.Snapshot, c caller.CoverageBody, whole map[string]bool) bool {
	if f == config.OneShard {
		return c.Total == 1 && c.Answered <= len(whole)
	}
	missing := make(map[string]bool)
	for _, shard := range c.Missing {
		missing[shard] = true
	}
	for _, shard := range s.Shards {
		if !missing[shard.ID] && !whole[shard.ID] {
			return false
		}
	}
	return c.Total == len(s.Shards) && c.Answered+len(c.Missing) == c.Total
}

// countRuns counts the runs of a search, those on shards that had one already and those that crossed data centres.
func (t *tally) countRuns(r response) {
	shards := make(map[string]bool)
	for _, run := range t.platform.Record.Runs(r.requestID) {
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

// recordCompletion counts the end of a request.
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
	share := float64(r.answer.Coverage.Answered) / float64(max(r.answer.Coverage.Total, 1))
	k.coverageSum += share
	if share == 1 {
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

// recordVersions counts configuration recordVersions of a host that are lower than before.
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

// violations returns all counts, those of the stand-ins included.
func (t *tally) violations() Violations {
	v := t.detected
	if t.platform == nil {
		return v
	}
	faulty := t.platform.Record.Faulty()
	v.ColdOverload = faulty.ColdOverload
	v.DrainedWork = faulty.DrainedWork
	v.LeavingWork = faulty.LeavingWork
	for _, id := range t.notRunIDs {
		if len(t.platform.Record.Runs(id)) > 0 {
			v.NotRunButRun++
		}
	}
	for key, n := range t.platform.Record.Keys() {
		if n > 1 {
			v.RunTwice++
		}
		delete(t.answeredKeys, key)
	}
	v.Lost = len(t.answeredKeys)
	return v
}
