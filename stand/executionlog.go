package stand

import (
	"sync"
	"time"
)

// ExecutionLog records which sub-requests the backend servers executed. It is safe for concurrent use.
type ExecutionLog struct {
	mu   sync.Mutex
	runs map[string][]Run
	// runsByKey counts the runs of non-idempotent requests by idempotency key.
	runsByKey map[string]int
	// Counts of sub-requests that hosts should not have sent, as in Violations.
	coldOverload int
	drainedWork  int
	leavingWork  int
}

// Run is one execution of a sub-request on a backend server.
type Run struct {
	Server     string
	DataCentre string
	Shard      string
	Snapshot   uint64
	At         time.Time
	// Complete is set when the shard was searched to its end, just before the reply is handed to the network.
	Complete bool
}

// Violations counts sub-requests that hosts should not have sent.
type Violations struct {
	// ColdOverload counts sub-requests to a cold server that was at its capacity.
	ColdOverload int
	// DrainedWork counts sub-requests to servers that had been out of service for longer than stopSendingTime,
	// LeavingWork those to servers that had been draining for as long.
	DrainedWork int
	LeavingWork int
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{
		runs:      make(map[string][]Run),
		runsByKey: make(map[string]int),
	}
}

// Runs returns the executions of a request's sub-requests in the order of their start.
func (l *ExecutionLog) Runs(requestID string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[requestID]...)
}

// RunsByKey returns the number of runs of each non-idempotent request, by idempotency key.
func (l *ExecutionLog) RunsByKey() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.runsByKey))
	for k, n := range l.runsByKey {
		counts[k] = n
	}
	return counts
}

// Violations returns the counts of sub-requests that hosts should not have sent.
func (l *ExecutionLog) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Violations{
		ColdOverload: l.coldOverload,
		DrainedWork:  l.drainedWork,
		LeavingWork:  l.leavingWork,
	}
}

// Begin records the start of a run and returns its index among the request's runs. A non-empty key counts in RunsByKey.
func (l *ExecutionLog) Begin(requestID, key string, run Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[requestID] = append(l.runs[requestID], run)
	if key != "" {
		l.runsByKey[key]++
	}
	return len(l.runs[requestID]) - 1
}

// End marks the run at an index as complete.
func (l *ExecutionLog) End(requestID string, index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[requestID][index].Complete = true
}

func (l *ExecutionLog) update(change func(r *ExecutionLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}
