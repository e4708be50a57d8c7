// Package metric collects the metrics of a host and exposes them in the Prometheus format.
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

// Meter holds the metrics of a host. It implements gather.Meter and relay.Meter and is safe for concurrent use.
type Meter struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	requestDuration *prometheus.HistogramVec
	coverage        *prometheus.HistogramVec
	subRequests     *prometheus.CounterVec
	// sameDataCentre and crossDataCentre count sub-requests by whether they crossed data centres.
	sameDataCentre  subRequestCounters
	crossDataCentre subRequestCounters
	messages        *prometheus.CounterVec
	messageDuration *prometheus.HistogramVec
	calls           *prometheus.CounterVec
	events          *prometheus.CounterVec
}

// subRequestCounters are the counters of sub-requests by reason, looked up once instead of at each sub-request.
type subRequestCounters struct {
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
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "magnoliaworks_request_duration_seconds",
			Help:    "Time from the arrival of a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"collection", "kind"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "magnoliaworks_request_coverage_ratio",
			Help:    "Share of the shards that stand behind an answer.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.9999, 1},
		}, []string{"collection", "kind"}),
		subRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliaworks_sub_requests_total",
			Help: "Sub-requests by reason and by whether they crossed data centres.",
		}, []string{"reason", "crossed"}),
	}
	m.messages, m.messageDuration, m.calls, m.events = newMessageMetrics()
	m.registry.MustRegister(m.requests, m.requestDuration, m.coverage, m.subRequests, m.messages, m.messageDuration, m.calls, m.events,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.sameDataCentre = m.subRequestCountersFor("no")
	m.crossDataCentre = m.subRequestCountersFor("yes")
	return m
}

// RegisterGauge registers a gauge that reads its value from f at each scrape. It panics if the name is already registered.
func (m *Meter) RegisterGauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, f))
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Meter) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
}

// CountRequest implements gather.Meter.
func (m *Meter) CountRequest(collection, kind, outcome string, elapsed time.Duration, coverage float64) {
	m.requests.WithLabelValues(collection, kind, outcome).Inc()
	m.requestDuration.WithLabelValues(collection, kind).Observe(elapsed.Seconds())
	m.coverage.WithLabelValues(collection, kind).Observe(coverage)
}

// CountSubRequest implements gather.Meter.
func (m *Meter) CountSubRequest(reason gather.Reason, crossed bool) {
	counters := m.sameDataCentre
	if crossed {
		counters = m.crossDataCentre
	}
	switch reason {
	case gather.ReasonFirst:
		counters.first.Inc()
	case gather.ReasonRetry:
		counters.retry.Inc()
	case gather.ReasonHedge:
		counters.hedge.Inc()
	case gather.ReasonMirror:
		counters.mirror.Inc()
	}
}

// subRequestCountersFor returns the counters for one value of the label crossed.
func (m *Meter) subRequestCountersFor(crossed string) subRequestCounters {
	return subRequestCounters{
		first:  m.subRequests.WithLabelValues(string(gather.ReasonFirst), crossed),
		retry:  m.subRequests.WithLabelValues(string(gather.ReasonRetry), crossed),
		hedge:  m.subRequests.WithLabelValues(string(gather.ReasonHedge), crossed),
		mirror: m.subRequests.WithLabelValues(string(gather.ReasonMirror), crossed),
	}
}
