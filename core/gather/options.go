package gather

import (
	"time"

	"magnoliaworks/core/index"
	"magnoliaworks/core/ledger"
	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/route"
	"magnoliaworks/core/trace"
)

// Options are the dependencies and settings of a Gatherer.
type Options struct {
	Self   member.Member
	Routes *route.CurrentTable
	Picker *route.Picker
	// Snapshots tracks which snapshots each backend server holds.
	Snapshots *index.SnapshotTracker
	Sender    Sender
	Forwarder Forwarder
	// Ledger records non-idempotent requests.
	Ledger  *ledger.Ledger
	Journal *trace.Journal
	// InFlight bounds the requests in progress.
	InFlight *limit.Semaphore
	// HedgeBudget bounds hedges and mirrors, RetryBudget retries, each as a share of the sub-requests.
	HedgeBudget *limit.Budget
	RetryBudget *limit.Budget
	Policy      route.Policy
	Meter       Meter
	// Tasks runs work that may outlive a caller's wait.
	Tasks Tasks
}

// Tasks starts goroutines that a shutdown waits for.
type Tasks interface {
	// Go runs the task in a goroutine of its own.
	Go(task func() error)
}

// Meter receives the counts of requests and sub-requests.
type Meter interface {
	// CountRequest counts an ended request by its outcome (see query.Outcome), with its duration and its coverage from 0 to 1.
	CountRequest(collection, kind, outcome string, took time.Duration, coverage float64)
	// CountSubRequest counts a sub-request that is sent; crossDataCentre means that its server is in another data centre.
	CountSubRequest(reason Reason, crossDataCentre bool)
}

// Reason is why a sub-request is sent.
type Reason string

// The reasons.
const (
	// ReasonFirst is the ordinary sub-request for a shard. All sub-requests of a non-idempotent request have it.
	ReasonFirst Reason = "first"
	// ReasonRetry follows a sub-request of a search that failed, was not executed or had no result from the snapshot.
	ReasonRetry Reason = "retry"
	// ReasonHedge is sent while another sub-request for the shard is late.
	ReasonHedge Reason = "hedge"
	// ReasonMirror measures whether a slow server is fast again.
	ReasonMirror Reason = "mirror"
)
