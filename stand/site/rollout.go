package site

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const (
	// badAnswers is the number of bad answers of a version after which, and after rollbackTime, no request may reach it.
	badAnswers   = 50
	rollbackTime = 5 * time.Second
	// orderGrace is the time after the end of a roll-out within which hosts may send to the other version.
	orderGrace = 4 * time.Second
)

// Exposure bounds the requests that reach a version whose roll-out is in progress: a share of those for the service, and some more.
type Exposure struct {
	Share float64
	Slack float64
}

// Order is an operator's order for a roll-out, in the platform's JSON format.
type Order struct {
	Service       string  `json:"service"`
	TargetVersion string  `json:"target_version"`
	DurationS     float64 `json:"duration_s"`
}

// exposure counts the requests during a roll-out.
type exposure struct {
	bounds  Exposure
	version string
	until   time.Time
	// all and fresh count the arrivals at the service and at the version, and bad its bad answers; badAt is the time of the one that
	// was badAnswers.
	all   int
	fresh int
	bad   int
	badAt time.Time
	// ended is the state that the roll-out has ended with, and endedAt the time of that.
	ended   string
	endedAt time.Time
}

// AddVersion starts as many servers of a version of a service as there are of v1, with a change for each. They are registered, warm,
// as a platform would before the order.
func (s *Site) AddVersion(service, version string, serviceTime time.Duration, change func(*Server)) error {
	n := 0
	for _, server := range s.servers {
		if server.service == service && server.version == "v1" {
			n++
		}
	}
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", service, version, i)
		server, err := s.NewServer(service, id, DataCentres[i%len(DataCentres)], serviceTime)
		if err != nil {
			return err
		}
		server.Set(WithVersion(version))
		server.Set(change)
		s.Register(id, "ready", 0)
	}
	return nil
}

// Order stores an order to move a service to a version.
func (s *Site) Order(service, version string, duration time.Duration) {
	s.ExecutionLog.beginExposure(service, &exposure{
		bounds:  s.Exposure,
		version: version,
		until:   time.Now().Add(duration),
	})
	s.Store.Put("rollouts", service, Order{
		Service:       service,
		TargetVersion: version,
		DurationS:     duration.Seconds(),
	})
}

// OrderState returns the state in the status of the order for a service, or "".
func (s *Site) OrderState(service string) string {
	var status struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(s.Store.Status("rollouts", service)), &status)
	return status.State
}

// EndOrder records the end of the roll-out of a service if its status states one, and returns that state or "". From then on requests
// that come to the version that was left are counted.
func (s *Site) EndOrder(service string) string {
	state := s.OrderState(service)
	if state != "completed" && state != "rolled_back" {
		return ""
	}
	s.ExecutionLog.endExposure(service, state)
	return state
}

// Runs returns the service and the version of the server.
func (s *Server) Runs() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service + " " + s.version
}

// WithVersion returns a change that sets the version of the server's software.
func WithVersion(version string) func(*Server) { return func(s *Server) { s.version = version } }

// FollowOrders does what the platform does at the end of roll-outs, until stop is closed: it stops the old servers, or drains the new
// ones, and counts requests that come to the version that was left.
func (s *Site) FollowOrders(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, service := range s.Store.Names("rollouts") {
			if state := s.OrderState(service); state == "completed" || state == "rolled_back" {
				s.endRollout(service, state)
			}
		}
	}
}

func (s *Site) endRollout(service, state string) {
	version, first := s.ExecutionLog.endExposure(service, state)
	if !first || state != "completed" {
		return
	}
	for id, server := range s.servers {
		if server.service == service && server.version != version {
			server.Stop()
			s.Store.Delete("servers", id)
		}
	}
}

func (l *ExecutionLog) beginExposure(service string, x *exposure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exposures[service] = x
}

// endExposure records the end of a roll-out; first is false if that was recorded before.
func (l *ExecutionLog) endExposure(service, state string) (version string, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.exposures[service]
	if x == nil || x.ended != "" {
		return "", false
	}
	x.ended, x.endedAt = state, time.Now()
	return x.version, true
}

// countExposure counts an arrival at a version and the violations that it means. The caller holds mu.
func (l *ExecutionLog) countExposure(x *exposure, version string) {
	now := time.Now()
	if now.Before(x.until) {
		x.all++
	}
	if version != x.version || x.ended == "completed" {
		return
	}
	x.fresh++
	if float64(x.fresh) > x.bounds.Share*float64(x.all)+x.bounds.Slack {
		l.violations["exposure"]++
	}
	if x.bad >= badAnswers && now.Sub(x.badAt) > rollbackTime {
		l.violations["rollback"]++
	}
	if x.ended == "rolled_back" && now.Sub(x.endedAt) > orderGrace {
		l.violations["version"]++
	}
}

// badAnswer counts a bad answer of a version of the service.
func (l *ExecutionLog) badAnswer(service, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.exposures[service]
	if x == nil || x.version != version {
		return
	}
	if x.bad++; x.bad == badAnswers {
		x.badAt = time.Now()
	}
}

// Exposed returns the requests that reached a service since the order, those that reached its version before that was completed, and
// the version's bad answers.
func (l *ExecutionLog) Exposed(service string) (all, fresh, bad int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.exposures[service]
	if x == nil {
		return 0, 0, 0
	}
	return x.all, x.fresh, x.bad
}

// Statuses returns the states that were written for the order of a service, in order.
func (o *ObjectStore) Statuses(service string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var states []string
	for _, written := range o.statuses {
		name, text, _ := strings.Cut(written, " ")
		var status struct {
			State string `json:"state"`
		}
		if name == service && json.Unmarshal([]byte(text), &status) == nil {
			states = append(states, status.State)
		}
	}
	return states
}
