package stand

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"magnoliaworks/core/timer"
	"magnoliaworks/io/dialer"
	"magnoliaworks/io/dialer/wire"
)

const (
	// coldCapacity is the number of requests that a cold server executes at once.
	// It sheds those beyond, and its warm-up starts again.
	coldCapacity = 2
	// warmupRequests is the number of completed requests after which a cold server is warm.
	warmupRequests = 16
	// coldSlowdown is the factor by which a cold server is slower.
	coldSlowdown = 5
	// serviceTimeSigma is the standard deviation of the logarithm of service times, which are log-normal.
	serviceTimeSigma = 0.35
	// stopSendingTime is the time after which a server that is draining or out of service should receive no new work.
	stopSendingTime = 3 * time.Second
	// hitsPerReply is the largest number of hits in a reply.
	hitsPerReply = 10
)

// ServerSpec describes a fake backend server.
type ServerSpec struct {
	ID          string
	Address     string
	DataCentre  string
	Slots       int
	Connections int
	ServiceTime time.Duration
	Seed        uint64
}

// Server is a fake backend server with slots, a connection limit, cold starts, load shedding and draining.
// It reports its state truthfully unless SetReportsIdle is in force, and logs what it executes.
type Server struct {
	spec     ServerSpec
	endpoint *Endpoint
	log      *ExecutionLog

	mu                sync.Mutex
	random            *rand.Rand
	listener          *trackedListener
	startID           uint64
	coldRequestsLeft  int
	running           map[string]*execution
	slowdown          float64
	stopped           bool
	drainingSince     time.Time
	outOfServiceSince time.Time
	reportsIdle       bool
	oldest            uint64
	newest            uint64
	slots             chan struct{}
}

// execution is a request that is waiting for a slot or running.
type execution struct {
	cancel context.CancelFunc
}

// NewServer returns a warm server that holds one snapshot.
func NewServer(spec ServerSpec, endpoint *Endpoint, log *ExecutionLog, snapshot uint64) *Server {
	return &Server{
		spec:     spec,
		endpoint: endpoint,
		log:      log,
		random:   rand.New(rand.NewPCG(spec.Seed, 1)),
		startID:  1,
		running:  make(map[string]*execution),
		slowdown: 1,
		oldest:   snapshot,
		newest:   snapshot,
		slots:    make(chan struct{}, spec.Slots),
	}
}

// Start opens the server's listener and serves it in the background.
func (s *Server) Start() error {
	l, err := s.endpoint.Listen(s.spec.Address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = false
	server := &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           s.spec.Connections,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	listener := newTrackedListener(l)
	s.listener = listener
	s.endpoint.network.tasks.Go(func() error { return server.Serve(listener) })
	return nil
}

// Stop stops the server without draining: running requests are cancelled and open connections close.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	for _, e := range s.running {
		e.cancel()
	}
	s.running = make(map[string]*execution)
	s.listener.closeAll()
}

// RestartCold stops the server and starts it again, cold and with a new start ID.
func (s *Server) RestartCold() error {
	s.Stop()
	s.mu.Lock()
	s.startID++
	s.coldRequestsLeft = warmupRequests
	s.mu.Unlock()
	return s.Start()
}

// SetSlowdown sets the factor by which the server is slower; 1 is normal.
func (s *Server) SetSlowdown(f float64) { s.set(func() { s.slowdown = f }) }

// SetReportsIdle makes the server report no requests in progress, whatever its load.
func (s *Server) SetReportsIdle(idle bool) { s.set(func() { s.reportsIdle = idle }) }

// SetDraining makes the server report that it is draining and refuse new requests.
func (s *Server) SetDraining(draining bool) { s.set(func() { s.drainingSince = nowIf(draining) }) }

// SetOutOfService records whether operators have taken the server's data centre out of service.
// The server still works, and counts the sub-requests that should no longer arrive.
func (s *Server) SetOutOfService(out bool) { s.set(func() { s.outOfServiceSince = nowIf(out) }) }

// SetSnapshots sets the range of snapshots that the server holds.
func (s *Server) SetSnapshots(oldest, newest uint64) {
	s.set(func() { s.oldest, s.newest = oldest, newest })
}

// set applies a change under the server's lock.
func (s *Server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// nowIf returns the current time, or the zero time when on is false.
func nowIf(on bool) time.Time {
	if !on {
		return time.Time{}
	}
	return time.Now()
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case dialer.SearchPath:
		var request wire.SearchRequest
		if proto.Unmarshal(c.PostBody(), &request) != nil {
			c.Error("body is not a search request", fasthttp.StatusBadRequest)
			return
		}
		reply(c, s.search(&request))
	case dialer.ProbePath:
		var request wire.ProbeRequest
		if proto.Unmarshal(c.PostBody(), &request) != nil {
			c.Error("body is not a probe", fasthttp.StatusBadRequest)
			return
		}
		reply(c, s.probe(&request))
	default:
		c.Error("path does not exist", fasthttp.StatusNotFound)
	}
}

func reply(c *fasthttp.RequestCtx, message proto.Message) {
	body, err := proto.Marshal(message)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType(dialer.ContentType)
	c.SetBody(body)
}

// probe reports whether an attempt is in progress, and cancels it on request.
func (s *Server) probe(request *wire.ProbeRequest) *wire.ProbeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.running[runID(request.GetRequestId(), request.GetAttempt())]
	if known && request.GetCancel() {
		e.cancel()
	}
	return &wire.ProbeReply{
		InProgress: known,
		Status:     s.status(),
	}
}

// search executes a request within its deadline, unless the server refuses it.
func (s *Server) search(request *wire.SearchRequest) *wire.SearchReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(request.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	id := runID(request.GetRequestId(), request.GetAttempt())
	outcome := s.admit(request, &execution{
		cancel: cancel,
	})
	if outcome == wire.Outcome_OUTCOME_UNSPECIFIED {
		outcome = s.execute(ctx, request)
		s.set(func() { delete(s.running, id) })
	}
	return s.replyTo(request, outcome)
}

// admit registers a request as running and returns OUTCOME_UNSPECIFIED, or returns the outcome of its refusal.
func (s *Server) admit(request *wire.SearchRequest, e *execution) wire.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countViolations()
	switch {
	case s.stopped:
		return wire.Outcome_OUTCOME_FAILED
	case !s.drainingSince.IsZero():
		return wire.Outcome_OUTCOME_DRAINING
	case request.GetSnapshot() < s.oldest || request.GetSnapshot() > s.newest:
		return wire.Outcome_OUTCOME_SNAPSHOT_ABSENT
	case s.coldRequestsLeft > 0 && len(s.running) >= coldCapacity:
		s.log.update(func(r *ExecutionLog) { r.coldOverload++ })
		s.coldRequestsLeft = warmupRequests
		return wire.Outcome_OUTCOME_SHED
	case len(s.running) >= 2*s.spec.Slots:
		return wire.Outcome_OUTCOME_SHED
	}
	s.running[runID(request.GetRequestId(), request.GetAttempt())] = e
	return wire.Outcome_OUTCOME_UNSPECIFIED
}

// countViolations counts a sub-request that arrives longer than stopSendingTime after the server began to drain
// or went out of service. The caller holds s.mu.
func (s *Server) countViolations() {
	overdue := func(t time.Time) bool { return !t.IsZero() && time.Since(t) > stopSendingTime }
	draining, outOfService := overdue(s.drainingSince), overdue(s.outOfServiceSince)
	s.log.update(func(r *ExecutionLog) {
		if draining {
			r.leavingWork++
		}
		if outOfService {
			r.drainedWork++
		}
	})
}

// execute waits for a slot and then for the service time. It returns OUTCOME_CANCELLED when ctx ends before.
func (s *Server) execute(ctx context.Context, request *wire.SearchRequest) wire.Outcome {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return wire.Outcome_OUTCOME_CANCELLED
	}
	index := s.log.Begin(request.GetRequestId(), request.GetIdempotencyKey(), Run{
		Server:     s.spec.ID,
		DataCentre: s.spec.DataCentre,
		Shard:      request.GetShard(),
		Snapshot:   request.GetSnapshot(),
		At:         time.Now(),
	})
	if timer.Sleep(ctx, s.serviceTime()) != nil {
		return wire.Outcome_OUTCOME_CANCELLED
	}
	s.log.End(request.GetRequestId(), index)
	s.set(func() { s.coldRequestsLeft = max(s.coldRequestsLeft-1, 0) })
	return wire.Outcome_OUTCOME_DONE
}

// serviceTime draws a log-normal service time, longer while the server is slowed down or cold.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.slowdown * math.Exp(serviceTimeSigma*s.random.NormFloat64())
	if s.coldRequestsLeft > 0 {
		f *= coldSlowdown
	}
	return time.Duration(f * float64(s.spec.ServiceTime))
}
