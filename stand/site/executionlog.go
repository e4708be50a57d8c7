// Package site provides fakes of the users' platform: its object store, backend servers and callers.
// The fake servers log what they receive, execute and reply, and the answers of hosts are checked against this log.
package site

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExecutionLog records what the backend servers received, executed and replied. It is safe for concurrent use.
type ExecutionLog struct {
	mu sync.Mutex
	// runs counts the runs of each request by service.
	runs map[string]map[string]int
	// executions holds the distinct forms in which each request was executed.
	executions map[string][]Execution
	// replies holds every signed reply by its signature.
	replies map[string]Reply
	// arrivals counts the messages that reached the servers of each service, arrivalsAt those that reached each server, and
	// sentBy the messages that each host sent to servers.
	arrivals   map[string]int
	arrivalsAt map[string]int
	sentBy     map[string]int
	violations map[string]int
	// exposures holds the roll-outs by service.
	exposures map[string]*exposure
	// activeOutages counts the faults in progress that keep hosts from learning the state of the store.
	// lastOutageEnd is the time at which the last of them ended.
	activeOutages int
	lastOutageEnd time.Time
}

// Execution is a request as a server received and executed it.
type Execution struct {
	Method string
	Target string
	Body   string
}

// Reply is a signed reply of a server.
type Reply struct {
	RequestID string
	Service   string
	Status    int
	Body      []byte
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{
		runs:       make(map[string]map[string]int),
		executions: make(map[string][]Execution),
		replies:    make(map[string]Reply),
		arrivals:   make(map[string]int),
		arrivalsAt: make(map[string]int),
		sentBy:     make(map[string]int),
		violations: make(map[string]int),
		exposures:  make(map[string]*exposure),
	}
}

// run records the start of a request's execution on a server of the service.
func (l *ExecutionLog) run(request, service string, e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[request] == nil {
		l.runs[request] = make(map[string]int)
	}
	l.runs[request][service]++
	if !slices.Contains(l.executions[request], e) {
		l.executions[request] = append(l.executions[request], e)
	}
}

// Executions returns the distinct forms in which a request was executed, in the order in which they came.
func (l *ExecutionLog) Executions(request string) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions[request])
}

// arrival counts a message from a host, the sender, to a server of a version of the service.
func (l *ExecutionLog) arrival(service, server, version, sender string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.exposures[service]; x != nil {
		l.countExposure(x, version)
	}
	l.arrivals[service]++
	l.arrivalsAt[server]++
	l.sentBy[sender]++
}

// Sent returns the number of messages that a host has sent to servers, executed or not.
func (l *ExecutionLog) Sent(host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentBy[host]
}

// MostRuns returns the largest number of executions of one request on the servers of one service.
func (l *ExecutionLog) MostRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, services := range l.runs {
		for _, n := range services {
			most = max(most, n)
		}
	}
	return most
}

// sign stores a reply of a server and returns its signature.
func (l *ExecutionLog) sign(server string, p Reply) string {
	signature := fmt.Sprintf("%x.%x", xxhash.Sum64String(server+p.RequestID+p.Service), xxhash.Sum64(p.Body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies[signature] = p
	return signature
}

// violation counts something that a host should not have sent.
func (l *ExecutionLog) violation(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations[kind]++
}

// Violations returns the number of violations by kind: drain, evacuate, configuration, cold, unasked, route, exposure, rollback and
// version.
func (l *ExecutionLog) Violations() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.violations))
	for kind, n := range l.violations {
		counts[kind] = n
	}
	return counts
}

// Runs returns the number of executions of a request over all services.
func (l *ExecutionLog) Runs(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, n := range l.runs[request] {
		total += n
	}
	return total
}

// RanAt returns the services on whose servers a request was executed.
func (l *ExecutionLog) RanAt(request string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.runs[request]))
}

// Arrivals returns the number of messages that have reached the servers of a service, executed or not.
func (l *ExecutionLog) Arrivals(service string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[service]
}

// ArrivalsAt returns the number of messages that have reached a server, executed or not.
func (l *ExecutionLog) ArrivalsAt(server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivalsAt[server]
}

// reply returns the reply with a signature.
func (l *ExecutionLog) reply(signature string) (Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.replies[signature]
	return p, ok
}

// catchUpTime is the time after an outage within which hosts must have learnt the state of the store.
const catchUpTime = 4 * time.Second

// overdue reports whether more than bound has passed since t, and since hosts must have caught up after the last outage.
// It is false for the zero time.
func (l *ExecutionLog) overdue(t time.Time, bound time.Duration) bool {
	if t.IsZero() {
		return false
	}
	if end := l.outageEnd(); !end.IsZero() && end.Add(catchUpTime).After(t) {
		t = end.Add(catchUpTime)
	}
	return time.Since(t) > bound
}

// markOutage records that an outage begins or ends.
func (l *ExecutionLog) markOutage(begins bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if begins {
		l.activeOutages++
		return
	}
	l.activeOutages--
	l.lastOutageEnd = time.Now()
}

// outageEnd returns the end of the last outage: the current time during one, and the zero time if there was none.
func (l *ExecutionLog) outageEnd() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeOutages > 0 {
		return time.Now()
	}
	return l.lastOutageEnd
}
