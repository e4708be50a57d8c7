package stand

import (
	"sync"
	"time"
)

// ExecutionLog is what the stand-ins really did.
type ExecutionLog struct {
	mu   sync.Mutex
	runs map[string][]Run
	// keys counts the runs of requests that may not be repeated.
	keys map[string]int
	// The rest counts work that a server should not have been given.
	coldOverload int
	drainedWork  int
	leavingWork  int
}

// Run is one sub-request that a server ran.
type Run struct {
	Server     string
	DataCentre string
	Shard      string
	Snapshot   uint64
	At         time.Time
	// Complete is set when the shard was searched to its end and the reply was handed to the network.
	Complete bool
}

// Violations are the counts of work that servers should not have been given.
type Violations struct {
	ColdOverload int
	DrainedWork  int
	LeavingWork  int
}

// NewExecutionLog returns an empty record.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{
		runs: make(map[string][]Run),
		keys: make(map[string]int),
	}
}

// Runs returns the runs of a request.
func (r *ExecutionLog) Runs(requestID string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs[requestID]...)
}

// RunsByKey returns the number of runs of each request that may not be repeated.
func (r *ExecutionLog) RunsByKey() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make(map[string]int, len(r.keys))
	for k, n := range r.keys {
		keys[k] = n
	}
	return keys
}

// Violations returns the counts of work that servers should not have been given.
func (r *ExecutionLog) Violations() Violations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Violations{
		ColdOverload: r.coldOverload,
		DrainedWork:  r.drainedWork,
		LeavingWork:  r.leavingWork,
	}
}

// Begin notes a run and returns its place.
func (r *ExecutionLog) Begin(requestID, key string, run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[requestID] = append(r.runs[requestID], run)
	if key != "" {
		r.keys[key]++
	}
	return len(r.runs[requestID]) - 1
}

// End notes that a run has searched its shard whole.
func (r *ExecutionLog) End(requestID string, place int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[requestID][place].Complete = true
}

func (r *ExecutionLog) note(change func(r *ExecutionLog)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}
