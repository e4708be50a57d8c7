// Package metric exposes the measures of a host in the Prometheus format.
package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"magnoliaworks/core/gather"
)

// Meter counts what a host does. It implements gather.Meter.
type Meter struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	coverage *prometheus.HistogramVec
	subs     *prometheus.CounterVec
	near     subCounters
	far      subCounters
	messages *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	calls    *prometheus.CounterVec
	events   *prometheus.CounterVec
}

// subCounters are the counters of sub-requests by reason, resolved once.
type subCounters struct {
	first, retry, hedge, mirror prometheus.Counter
}

// New returns a meter with all counters at zero.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliaworks_requests_total",
			Help: "Requests of callers by collection, kind and outcome.",
		}, []string{"collection", "kind", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "magnoliaworks_request_duration_seconds",
			Help:    "Time from the arrival of a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"collection", "kind"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "magnoliaworks_request_coverage_ratio",
			Help:    "Share of the shards that stand behind an answer.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.9999, 1},
		}, []string{"collection", "kind"}),
		subs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliaworks_sub_requests_total",
			Help: "Sub-requests by reason and by whether they crossed data centres.",
		}, []string{"reason", "crossed"}),
	}
	m.messages, m.waits, m.calls, m.events = newMessageVectors()
	m.registry.MustRegister(m.requests, m.seconds, m.coverage, m.subs, m.messages, m.waits, m.calls, m.events,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.near = m.countersOf("no")
	m.far = m.countersOf("yes")
	return m
}

// RegisterGauge registers a gauge that reads its value from f.
func (m *Meter) RegisterGauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, f))
}

// Handler returns the handler of the metrics path.
func (m *Meter) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
}

// CountRequest implements gather.Meter.
func (m *Meter) CountRequest(collection, kind, outcome string, took time.Duration, coverage float64) {
	m.requests.WithLabelValues(collection, kind, outcome).Inc()
	m.seconds.WithLabelValues(collection, kind).Observe(took.Seconds())
	m.coverage.WithLabelValues(collection, kind).Observe(coverage)
}

// CountSubRequest implements gather.Meter.
func (m *Meter) CountSubRequest(reason gather.Reason, cross bool) {
	counters := m.near
	if cross {
		counters = m.far
	}
	switch reason {
	case gather.First:
		counters.first.Inc()
	case gather.Retry:
		counters.retry.Inc()
	case gather.Hedge:
		counters.hedge.Inc()
	case gather.Mirror:
		counters.mirror.Inc()
	}
}

func (m *Meter) countersOf(crossed string) subCounters {
	return subCounters{
		first:  m.subs.WithLabelValues(string(gather.First), crossed),
		retry:  m.subs.WithLabelValues(string(gather.Retry), crossed),
		hedge:  m.subs.WithLabelValues(string(gather.Hedge), crossed),
		mirror: m.subs.WithLabelValues(string(gather.Mirror), crossed),
	}
}
