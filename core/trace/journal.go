package trace

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	maxEvents  = 2048
	maxQueries = 1024
)

// Journal keeps the latest events and query records in bounded memory.
type Journal struct {
	log     hclog.Logger
	mu      sync.Mutex
	events  ring[Event]
	queries ring[Request]
}

// NewJournal returns an empty journal that also logs each event.
func NewJournal(log hclog.Logger) *Journal {
	return &Journal{
		log:     log,
		events:  newRing[Event](maxEvents),
		queries: newRing[Request](maxQueries),
	}
}

// Record remembers a decision and logs it under the prefix of its part.
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

// RecordRequest remembers the record of a request and logs a line for each decision and for the end.
func (j *Journal) RecordRequest(q Request) {
	j.mu.Lock()
	j.queries.add(q)
	j.mu.Unlock()
	log := j.log.Named("request")
	for _, s := range q.Steps {
		log.Info(s.What, "request", q.ID, "after_ms", milliseconds(s.After), "shard", s.Shard, "server", s.Server,
			"expected_ms", milliseconds(s.Expected), "detail", s.Detail)
	}
	log.Info("ended", "request", q.ID, "outcome", q.Outcome, "cause", q.Cause, "collection", q.Collection, "kind", q.Kind,
		"version", q.Version, "took_ms", milliseconds(q.Took))
}

// milliseconds returns a time with three decimals.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Events returns the remembered events about a subject, oldest first; an empty subject selects all.
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

// Request returns the record of a request; ok is false when it was not kept.
func (j *Journal) Request(id string) (q Request, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, record := range j.queries.all() {
		if record.ID == id {
			return record, true
		}
	}
	return Request{}, false
}
