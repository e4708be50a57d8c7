package load

import (
	"encoding/json"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Report is the result of an experiment. Shares are between 0 and 1.
type Report struct {
	Requests             int                   `json:"requests"`
	Answered             int                   `json:"answered"`
	Refused              int                   `json:"refused"`
	P50MS                float64               `json:"p50_ms"`
	P99MS                float64               `json:"p99_ms"`
	P999MS               float64               `json:"p999_ms"`
	CoverageMean         float64               `json:"coverage_mean"`
	CoverageFullShare    float64               `json:"coverage_full_share"`
	ExtraLoadShare       float64               `json:"extra_load_share"`
	CrossDataCentreShare float64               `json:"cross_data_centre_share"`
	ByKind               map[string]KindReport `json:"by_kind"`
	Violations           Violations            `json:"violations"`
}

// KindReport is the part of a report on one kind of request. Refused counts refusals by their reason.
type KindReport struct {
	Requests          int            `json:"requests"`
	Answered          int            `json:"answered"`
	Refused           map[string]int `json:"refused"`
	P50MS             float64        `json:"p50_ms"`
	P99MS             float64        `json:"p99_ms"`
	CoverageMean      float64        `json:"coverage_mean"`
	CoverageFullShare float64        `json:"coverage_full_share"`
}

// Violations counts the violations of each guarantee that hosts give to callers, backend servers and operators.
type Violations struct {
	SnapshotMixed  int `json:"snapshot_mixed"`
	CoverageFalse  int `json:"coverage_false"`
	ColdOverload   int `json:"cold_overload"`
	DrainedWork    int `json:"drained_work"`
	LeavingWork    int `json:"leaving_work"`
	CrossedAnswers int `json:"crossed_answers"`
	NotRunButRun   int `json:"not_run_but_run"`
	RunTwice       int `json:"run_twice"`
	Lost           int `json:"lost"`
	CutByShutdown  int `json:"cut_by_shutdown"`
	ConfigReverted int `json:"config_reverted"`
}

// Any reports whether any guarantee was violated.
func (v Violations) Any() bool { return v != Violations{} }

// JSON encodes the report as one indented JSON object.
func (r Report) JSON() ([]byte, error) {
	encoded, err := json.MarshalIndent(r, "", "  ")
	return append(encoded, '\n'), errors.Wrap(err, "encode report")
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		P50MS:      percentileMS(t.latency, 50),
		P99MS:      percentileMS(t.latency, 99),
		P999MS:     percentileMS(t.latency, 99.9),
		ByKind:     make(map[string]KindReport),
		Violations: t.violations(),
	}
	coverage, full := 0.0, 0
	for name, k := range t.kinds {
		r.Requests += k.requests
		r.Answered += k.answered
		coverage += k.coverageSum
		full += k.fullCoverage
		r.ByKind[name] = k.report()
	}
	r.Refused = r.Requests - r.Answered
	r.CoverageMean = ratio(coverage, r.Answered)
	r.CoverageFullShare = ratio(float64(full), r.Requests)
	r.CrossDataCentreShare = ratio(float64(t.crossDataCentreRuns), t.shardRuns)
	r.ExtraLoadShare = t.extraLoad()
	return r
}

// extraLoad returns the runs of searches beyond one for each shard, as a share of the latter.
func (t *tally) extraLoad() float64 {
	if t.minShardRuns == 0 {
		return 0
	}
	return float64(t.shardRuns-t.minShardRuns) / float64(t.minShardRuns)
}

func (k *kindTally) report() KindReport {
	return KindReport{
		Requests:          k.requests,
		Answered:          k.answered,
		Refused:           k.refused,
		P50MS:             percentileMS(k.latency, 50),
		P99MS:             percentileMS(k.latency, 99),
		CoverageMean:      ratio(k.coverageSum, k.answered),
		CoverageFullShare: ratio(float64(k.fullCoverage), k.requests),
	}
}

func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func ratio(part float64, total int) float64 {
	if total == 0 {
		return 0
	}
	return part / float64(total)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
