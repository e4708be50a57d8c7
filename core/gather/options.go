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

// Options are what a Gatherer works with.
type Options struct {
	Self        member.Member
	Routes      *route.CurrentTable
	Picker      *route.Picker
	Snapshots   *index.SnapshotTracker
	Sender      Sender
	Forwarder   Forwarder
	Ledger      *ledger.Ledger
	Journal     *trace.Journal
	InFlight    *limit.Semaphore
	HedgeBudget *limit.Budget
	RetryBudget *limit.Budget
	Policy      route.Policy
	Meter       Meter
	// Tasks runs what outlives a caller's wait.
	Tasks Tasks
}

// Tasks starts tasks that a shutdown waits for.
type Tasks interface {
	// Go runs the task in the group.
	Go(task func() error)
}

// Meter counts what the gatherer does.
type Meter interface {
	// CountRequest counts an ended request: its outcome word, its time and its coverage share.
	CountRequest(collection, kind, outcome string, took time.Duration, coverage float64)
	// CountSubRequest counts a sub-request that was sent.
	CountSubRequest(reason Reason, cross bool)
}

// Reason tells why a sub-request is sent.
type Reason string

// The reasons.
const (
	First  Reason = "first"
	Retry  Reason = "retry"
	Hedge  Reason = "hedge"
	Mirror Reason = "mirror"
)
