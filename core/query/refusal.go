package query

import (
	"fmt"
	"time"
)

// Refusal is an error that a caller receives in place of an answer.
// Its cases are Invalid, Unauthorized, OverAllowance, NotRun, Partial and OutcomeUnknown.
type Refusal interface {
	error
	refusal()
}

// Invalid reports an invalid request; a retry of the same request fails again.
type Invalid struct {
	// Field is the request field that is invalid.
	Field  string
	Reason string
}

// Unauthorized reports a request without the key of a client account, where one is needed. It was not executed.
type Unauthorized struct {
	Reason string
}

// OverAllowance reports a request beyond the allowance of its client account. It was not executed and will not be.
type OverAllowance struct {
	Account string
	// RetryAfter is the time after which the allowance is likely to permit a request again.
	RetryAfter time.Duration
}

// NotRun reports that the request was not executed and will not be.
type NotRun struct {
	Reason string
	// RetryAfter is the time to wait before a retry.
	RetryAfter time.Duration
}

// Partial reports a search that covered too few shards by its deadline.
type Partial struct {
	// Snapshot is the version of the snapshot that was searched; 0 for forwarded messages, which have none.
	Snapshot uint64
	Coverage Coverage
	// MinCoverage is the required share of shards, between 0 and 1.
	MinCoverage float64
}

// OutcomeUnknown reports a request that may have been executed and whose result is not known.
type OutcomeUnknown struct {
	Reason string
}

// Error implements error.
func (r Invalid) Error() string { return fmt.Sprintf("field %q: %s", r.Field, r.Reason) }

// Error implements error.
func (r Unauthorized) Error() string { return "unauthorized: " + r.Reason }

// Error implements error.
func (r OverAllowance) Error() string {
	return fmt.Sprintf("account %q is over its allowance", r.Account)
}

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
func (Unauthorized) refusal()   {}
func (OverAllowance) refusal()  {}
func (NotRun) refusal()         {}
func (Partial) refusal()        {}
func (OutcomeUnknown) refusal() {}

// Outcome returns the label for the outcome of a request in metrics and query records; err is nil for an answer.
func Outcome(err error) string {
	switch err.(type) {
	case nil:
		return "answered"
	case Invalid:
		return "invalid"
	case Unauthorized:
		return "unauthorized"
	case OverAllowance:
		return "over_allowance"
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
