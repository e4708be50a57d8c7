package query

import (
	"fmt"
	"time"
)

// Refusal is an error that tells a caller why there is no answer.
// Its cases are Invalid, NotRun, Partial and OutcomeUnknown.
type Refusal interface {
	error
	refusal()
}

// Invalid refuses a request that no retry can make valid.
type Invalid struct {
	Field  string
	Reason string
}

// NotRun refuses a request that has not run and will not run.
type NotRun struct {
	Reason string
	// RetryAfter is the time after which a new attempt is sensible.
	RetryAfter time.Duration
}

// Partial refuses a search that reached too few shards before its deadline.
type Partial struct {
	Snapshot    uint64
	Coverage    Coverage
	MinCoverage float64
}

// OutcomeUnknown refuses a request that may not be repeated and that may have run.
type OutcomeUnknown struct {
	Reason string
}

// Error implements error.
func (r Invalid) Error() string { return fmt.Sprintf("field %q: %s", r.Field, r.Reason) }

// Error implements error.
func (r NotRun) Error() string { return "not run: " + r.Reason }

// Error implements error.
func (r Partial) Error() string {
	return fmt.Sprintf("partial: %d of %d shards answered, the minimum share is %.2f",
		r.Coverage.Answered, r.Coverage.Total, r.MinCoverage)
}

// Error implements error.
func (r OutcomeUnknown) Error() string { return "outcome unknown: " + r.Reason }

func (Invalid) refusal()        {}
func (NotRun) refusal()         {}
func (Partial) refusal()        {}
func (OutcomeUnknown) refusal() {}

// Outcome returns the word that metrics and records use for the end of a request.
func Outcome(err error) string {
	switch err.(type) {
	case nil:
		return "answered"
	case Invalid:
		return "invalid"
	case NotRun:
		return "not_run"
	case Partial:
		return "partial"
	case OutcomeUnknown:
		return "outcome_unknown"
	default:
		return "error"
	}
}
