// Package site is a small stand-in of the users' platform: its object store, backend servers and callers.
// It keeps a record of what the servers really did, with which answers are compared.
package site

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ExecutionLog is what the backend servers did.
type ExecutionLog struct {
	mu sync.Mutex
	// runs counts the runs of each request by service.
	runs map[string]map[string]int
	// parts holds every signed reply by its proof.
	parts map[string]Reply
	// arrivals counts what reached the servers of each service, senders what each host sent to servers.
	arrivals map[string]int
	senders  map[string]int
	faults   map[string]int
	// troubles counts what keeps hosts from what the store knows; calm is the time of the end of the last one.
	troubles int
	calm     time.Time
}

// Reply is one signed reply.
type Reply struct {
	Request string
	Service string
	Status  int
	Body    []byte
}

// NewExecutionLog returns an empty record.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{
		runs:     make(map[string]map[string]int),
		parts:    make(map[string]Reply),
		arrivals: make(map[string]int),
		senders:  make(map[string]int),
		faults:   make(map[string]int),
	}
}

// run notes that a request begins to run.
func (r *ExecutionLog) run(request, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[request] == nil {
		r.runs[request] = make(map[string]int)
	}
	r.runs[request][service]++
}

func (r *ExecutionLog) arrival(service, sender string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[service]++
	r.senders[sender]++
}

// Sent returns the number of messages that a host has sent to servers.
func (r *ExecutionLog) Sent(host string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.senders[host]
}

// MostRuns returns the largest number of runs of one request on the servers of one service.
func (r *ExecutionLog) MostRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, services := range r.runs {
		for _, n := range services {
			most = max(most, n)
		}
	}
	return most
}

// sign notes a reply and returns its proof.
func (r *ExecutionLog) sign(server string, p Reply) string {
	proof := fmt.Sprintf("%x.%x", xxhash.Sum64String(server+p.Request+p.Service), xxhash.Sum64(p.Body))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[proof] = p
	return proof
}

// fault notes something that a host should not have done.
func (r *ExecutionLog) fault(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[what]++
}

// Violations returns what hosts should not have done.
func (r *ExecutionLog) Violations() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make(map[string]int, len(r.faults))
	for what, n := range r.faults {
		found[what] = n
	}
	return found
}

// Runs returns the number of runs of a request over all services.
func (r *ExecutionLog) Runs(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.runs[request] {
		total += n
	}
	return total
}

// Arrivals returns what has reached the servers of a service.
func (r *ExecutionLog) Arrivals(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals[service]
}

// part returns the reply that a proof belongs to.
func (r *ExecutionLog) part(proof string) (Reply, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.parts[proof]
	return p, ok
}

// touchTime is the time without trouble after which hosts must know what the store knows.
const touchTime = 4 * time.Second

// late reports whether a bound has passed since t, and since hosts have been in touch with the store.
func (r *ExecutionLog) late(t time.Time, bound time.Duration) bool {
	if t.IsZero() {
		return false
	}
	if calm := r.calmSince(); !calm.IsZero() && calm.Add(touchTime).After(t) {
		t = calm.Add(touchTime)
	}
	return time.Since(t) > bound
}

func (r *ExecutionLog) disturb(begins bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begins {
		r.troubles++
		return
	}
	r.troubles--
	r.calm = time.Now()
}

// calmSince returns the end of the last trouble, now while there is one, and zero when there was none.
func (r *ExecutionLog) calmSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.troubles > 0 {
		return time.Now()
	}
	return r.calm
}
