package trace

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Numbers of events and requests that a journal keeps.
const (
	maxEvents   = 2048
	maxRequests = 1024
)

// Journal keeps the latest events and records of requests in bounded memory, and logs them. It is safe for concurrent use.
type Journal struct {
	log      hclog.Logger
	mu       sync.Mutex
	events   ring[Event]
	requests ring[Request]
}

// NewJournal returns an empty journal that logs to log.
func NewJournal(log hclog.Logger) *Journal {
	return &Journal{
		log:      log,
		events:   newRing[Event](maxEvents),
		requests: newRing[Request](maxRequests),
	}
}

// Record stores an event and logs it under the name of the part.
func (j *Journal) Record(part, subject, what, cause string) {
	j.log.Named(part).Info(what, "subject", subject, "cause", cause)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events.add(Event{
		At:      time.Now().UTC(),
		Part:    part,
		Subject: subject,
		What:    what,
		Cause:   cause,
	})
}

// RecordRequest stores the record of a request and logs one line for each step and one for the end.
func (j *Journal) RecordRequest(r Request) {
	j.mu.Lock()
	j.requests.add(r)
	j.mu.Unlock()
	log := j.log.Named("request")
	for _, s := range r.Steps {
		log.Info(s.What, "request", r.ID, "after_ms", milliseconds(s.After), "shard", s.Shard, "server", s.Server,
			"expected_ms", milliseconds(s.Expected), "detail", s.Detail)
	}
	ended := []any{
		"request", r.ID, "outcome", r.Outcome, "cause", r.Cause, "collection", r.Collection, "kind", r.Kind,
		"version", r.Version, "took_ms", milliseconds(r.Took),
	}
	if r.Account != "" {
		ended = append(ended, "account", r.Account)
	}
	log.Info("ended", ended...)
}

// milliseconds returns d in milliseconds with three decimals.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// RecordPanic stores and logs a panic with its stack. It is called with the result of recover and does nothing if that is nil.
func (j *Journal) RecordPanic(part, subject string, recovered any) {
	if recovered == nil {
		return
	}
	j.Record(part, subject, "panic", fmt.Sprintf("%v\n%s", recovered, debug.Stack()))
}

// Events returns the stored events about a subject, oldest first; an empty subject selects all.
func (j *Journal) Events(subject string) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Event
	for _, e := range j.events.all() {
		if subject == "" || e.Subject == subject {
			found = append(found, e)
		}
	}
	return found
}

// Request returns the record of a request; ok is false when the journal has none or has overwritten it.
func (j *Journal) Request(id string) (r Request, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, record := range j.requests.all() {
		if record.ID == id {
			return record, true
		}
	}
	return Request{}, false
}
