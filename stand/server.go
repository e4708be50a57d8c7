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
	// bears is the number of requests that a cold server bears at once.
	bears = 2
	// warmAfter is the number of requests after which a cold server is warm.
	warmAfter = 16
	// coldFactor is the factor by which a cold server is slower.
	coldFactor = 5
	// spread is the standard deviation of the logarithm of service times.
	spread = 0.35
	// noticeTime is the time after which a server that is leaving or taken out should receive no new work.
	noticeTime = 3 * time.Second
	hitsEach   = 10
)

// ServerSpec describes a stand-in of a backend server.
type ServerSpec struct {
	ID          string
	Address     string
	DataCentre  string
	Slots       int
	Connections int
	ServiceTime time.Duration
	Seed        uint64
}

// Server is a stand-in of a backend server: honest about slots, connections, cold starts, shedding and drain.
type Server struct {
	spec   ServerSpec
	side   *Endpoint
	record *ExecutionLog

	mu       sync.Mutex
	random   *rand.Rand
	listener *tracked
	start    uint64
	cold     int
	running  map[string]*execution
	factor   float64
	down     bool
	draining time.Time
	takenOut time.Time
	lies     bool
	oldest   uint64
	newest   uint64
	slots    chan struct{}
}

type execution struct {
	cancel context.CancelFunc
}

// NewServer returns a warm server that holds one snapshot.
func NewServer(spec ServerSpec, side *Endpoint, record *ExecutionLog, snapshot uint64) *Server {
	return &Server{
		spec:    spec,
		side:    side,
		record:  record,
		random:  rand.New(rand.NewPCG(spec.Seed, 1)),
		start:   1,
		running: make(map[string]*execution),
		factor:  1,
		oldest:  snapshot,
		newest:  snapshot,
		slots:   make(chan struct{}, spec.Slots),
	}
}

// Start opens the server's listener.
func (s *Server) Start() error {
	l, err := s.side.Listen(s.spec.Address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	server := &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           s.spec.Connections,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	tracked := newTracked(l)
	s.listener = tracked
	s.side.network.tasks.Go(func() error { return server.Serve(tracked) })
	return nil
}

// Stop ends the server without warning: connections break.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	for _, e := range s.running {
		e.cancel()
	}
	s.running = make(map[string]*execution)
	s.listener.end()
}

// RestartCold ends the server and starts it anew, cold.
func (s *Server) RestartCold() error {
	s.Stop()
	s.mu.Lock()
	s.start++
	s.cold = warmAfter
	s.mu.Unlock()
	return s.Start()
}

// SetSlowdown makes the server slower by a factor.
func (s *Server) SetSlowdown(f float64) { s.set(func() { s.factor = f }) }

// SetReportsIdle makes the server report that it is idle, whatever it does.
func (s *Server) SetReportsIdle(lies bool) { s.set(func() { s.lies = lies }) }

// SetDraining makes the server say that it is leaving.
func (s *Server) SetDraining(draining bool) { s.set(func() { s.draining = since(draining) }) }

// SetOutOfService tells the stand-in that operators have taken its data centre out, so that it notes further work.
func (s *Server) SetOutOfService(out bool) { s.set(func() { s.takenOut = since(out) }) }

// SetSnapshots sets the range of snapshots that the server holds.
func (s *Server) SetSnapshots(oldest, newest uint64) {
	s.set(func() { s.oldest, s.newest = oldest, newest })
}

func (s *Server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func since(on bool) time.Time {
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

func (s *Server) search(request *wire.SearchRequest) *wire.SearchReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(request.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	id := runID(request.GetRequestId(), request.GetAttempt())
	outcome := s.enter(request, &execution{
		cancel: cancel,
	})
	if outcome == wire.Outcome_OUTCOME_UNSPECIFIED {
		outcome = s.run(ctx, request)
		s.set(func() { delete(s.running, id) })
	}
	return s.replyTo(request, outcome)
}

// enter admits a request or returns the outcome of its refusal.
func (s *Server) enter(request *wire.SearchRequest, e *execution) wire.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note()
	switch {
	case s.down:
		return wire.Outcome_OUTCOME_FAILED
	case !s.draining.IsZero():
		return wire.Outcome_OUTCOME_DRAINING
	case request.GetSnapshot() < s.oldest || request.GetSnapshot() > s.newest:
		return wire.Outcome_OUTCOME_SNAPSHOT_ABSENT
	case s.cold > 0 && len(s.running) >= bears:
		s.record.note(func(r *ExecutionLog) { r.coldOverload++ })
		s.cold = warmAfter
		return wire.Outcome_OUTCOME_SHED
	case len(s.running) >= 2*s.spec.Slots:
		return wire.Outcome_OUTCOME_SHED
	}
	s.running[runID(request.GetRequestId(), request.GetAttempt())] = e
	return wire.Outcome_OUTCOME_UNSPECIFIED
}

// note counts a sub-request, and whether it should not have come.
func (s *Server) note() {
	late := func(t time.Time) bool { return !t.IsZero() && time.Since(t) > noticeTime }
	leaving, drained := late(s.draining), late(s.takenOut)
	s.record.note(func(r *ExecutionLog) {
		if leaving {
			r.leavingWork++
		}
		if drained {
			r.drainedWork++
		}
	})
}

// run waits for a slot and then works for the service time.
func (s *Server) run(ctx context.Context, request *wire.SearchRequest) wire.Outcome {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return wire.Outcome_OUTCOME_CANCELLED
	}
	place := s.record.Begin(request.GetRequestId(), request.GetIdempotencyKey(), Run{
		Server:     s.spec.ID,
		DataCentre: s.spec.DataCentre,
		Shard:      request.GetShard(),
		Snapshot:   request.GetSnapshot(),
		At:         time.Now(),
	})
	if timer.Sleep(ctx, s.serviceTime()) != nil {
		return wire.Outcome_OUTCOME_CANCELLED
	}
	s.record.End(request.GetRequestId(), place)
	s.set(func() { s.cold = max(s.cold-1, 0) })
	return wire.Outcome_OUTCOME_DONE
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.factor * math.Exp(spread*s.random.NormFloat64())
	if s.cold > 0 {
		f *= coldFactor
	}
	return time.Duration(f * float64(s.spec.ServiceTime))
}
