package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// newMessageMetrics returns the metrics of the messages of the platform's callers, of calls to backend servers and of events.
func newMessageMetrics() (messages *prometheus.CounterVec, durations *prometheus.HistogramVec, calls, events *prometheus.CounterVec) {
	messages = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliaworks_messages_total",
		Help: "Messages of the platform's callers by the kind of their target and by outcome.",
	}, []string{"target", "outcome"})
	durations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "magnoliaworks_message_duration_seconds",
		Help:    "Time from the arrival of a message to its answer.",
		Buckets: prometheus.ExponentialBuckets(0.002, 1.6, 18),
	}, []string{"target"})
	calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliaworks_calls_total",
		Help: "Calls to backend servers by reason and by whether they crossed data centres.",
	}, []string{"reason", "crossed"})
	events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliaworks_events_total",
		Help: "Events of connections and of the store's client by name.",
	}, []string{"event"})
	return messages, durations, calls, events
}

// CountMessage implements relay.Meter.
func (m *Meter) CountMessage(target, outcome string, elapsed time.Duration) {
	m.messages.WithLabelValues(target, outcome).Inc()
	m.messageDuration.WithLabelValues(target).Observe(elapsed.Seconds())
}

// CountCall implements relay.Meter.
func (m *Meter) CountCall(reason string, crossed bool) {
	label := "no"
	if crossed {
		label = "yes"
	}
	m.calls.WithLabelValues(reason, label).Inc()
}

// CountEvent counts an event by name.
func (m *Meter) CountEvent(name string) { m.events.WithLabelValues(name).Inc() }
