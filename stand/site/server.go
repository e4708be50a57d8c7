package site

import (
	"bufio"
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand"
)

// Times after which a server counts work that a host should no longer send it, or should have ended.
const (
	// drainGrace runs from the start of draining, evacuationGrace from the evacuation of the data centre, and routeGrace from the
	// change of the only route to the service: 3 s for the configuration and 1 s for requests that were sent before.
	drainGrace      = 3 * time.Second
	evacuationGrace = 5 * time.Second
	routeGrace      = 4 * time.Second
	// cancelGrace runs from the end of the caller's connection.
	cancelGrace = 500 * time.Millisecond
)

// slowFactor is the multiple of its time that a request takes with the fault Slow.
const slowFactor = 5

// Server is a fake backend server.
type Server struct {
	id      string
	service string
	address string
	// advertised is the address in the server's registration.
	advertised string
	dataCentre string
	endpoint   *stand.Endpoint
	log        *ExecutionLog
	keys       *keys
	tasks      *errgroup.Group

	mu             sync.Mutex
	serviceTime    time.Duration
	replyFault     ReplyFault
	faultShare     float64
	random         *rand.Rand
	drainingSince  time.Time
	evacuatedSince time.Time
	// unroutedSince is the time from which no route leads to the server's service; zero while one does.
	unroutedSince  time.Time
	maxArrivalRate float64
	// version is the version of the server's software. faultHost, if set, is the host name of the only requests that replyFault
	// affects, and faultAbove the number of other requests in progress from which it does.
	version    string
	faultHost  string
	faultAbove int
	// born is the Unix millisecond of the server's start, as it registers it.
	born int64
	// leaving makes all replies say that the server leaves; leavingTold holds when each host was first told.
	leaving     bool
	leavingTold map[string]time.Time
	// slots, if not 0, is the number of requests that the server executes at a time, and running the number of those in
	// progress; it turns others away.
	slots   int
	running int
	// retryAfter, if set, is the Retry-After header with which the server turns requests away, all unless slots is set; quiets
	// holds, for each host that was told, the time for which the server wants nothing from it.
	retryAfter     string
	quiets         map[string]quiet
	recentArrivals []time.Time
	pausedUntil    time.Time
	// cancelled counts the requests whose connection closed while they ran.
	cancelled int
	// mostEndlessBytes is the largest number of bytes of a reply without end that were sent before its connection closed.
	mostEndlessBytes int
	listener         net.Listener
	conns            map[net.Conn]bool
	// lateCopies holds the refusals that are sent again when the next request comes on their connection.
	lateCopies map[net.Conn]string
}

// Start opens the server's listener and serves it in the background.
func (s *Server) Start() error {
	l, err := s.endpoint.Listen(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.conns, s.lateCopies = l, make(map[net.Conn]bool), make(map[net.Conn]string)
	s.mu.Unlock()
	s.tasks.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			s.tasks.Go(func() error { return s.serve(c) })
		}
	})
	return nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.address }

// Stop closes the server's listener and connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Set applies a change to the server under its lock.
func (s *Server) Set(change func(s *Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// WithReplyFault returns a change that injects a fault into a share of the replies, between 0 and 1.
func WithReplyFault(fault ReplyFault, share float64) func(*Server) {
	return func(s *Server) { s.replyFault, s.faultShare = fault, share }
}

// WithSlots returns a change that makes the server execute n requests at a time and turn others away.
func WithSlots(n int) func(*Server) { return func(s *Server) { s.slots = n } }

// WithServiceTime returns a change that sets the mean time that a request takes.
func WithServiceTime(d time.Duration) func(*Server) { return func(s *Server) { s.serviceTime = d } }

// WithPause returns a change that completes no new request until the pause is over.
func WithPause(d time.Duration) func(*Server) {
	return func(s *Server) { s.pausedUntil = time.Now().Add(d) }
}

// WithMaxArrivalRate returns a change that makes the server count a violation for each arrival beyond a number in a second.
func WithMaxArrivalRate(rate float64) func(*Server) {
	return func(s *Server) { s.maxArrivalRate = rate }
}

// serve answers the requests of a connection one after the other. The end of the connection cancels the request in progress.
func (s *Server) serve(c net.Conn) error {
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	requests := make(chan *fasthttp.Request)
	s.tasks.Go(func() error {
		defer cancel()
		in := bufio.NewReaderSize(c, requestBufferBytes)
		for {
			request, err := readRequest(in)
			if err != nil {
				return nil
			}
			select {
			case requests <- request:
			case <-ctx.Done():
				return nil
			}
		}
	})
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-requests:
			if !s.answer(ctx, c, request) {
				return nil
			}
		}
	}
}

// requestBufferBytes is the size of a server's read buffer, which holds the largest header that a host passes on.
const requestBufferBytes = 32 << 10

// readRequest reads a request and keeps the bytes of its body as they came, also those of a form, which fasthttp would
// otherwise parse and write anew.
func readRequest(in *bufio.Reader) (*fasthttp.Request, error) {
	request := &fasthttp.Request{}
	if err := request.Header.Read(in); err != nil {
		return nil, err
	}
	const unlimited, parseForms = 0, false
	return request, request.ContinueReadBody(in, unlimited, parseForms)
}

// answer handles one request and reports whether the connection stays open. It refuses a request for another server with 421.
func (s *Server) answer(ctx context.Context, c net.Conn, request *fasthttp.Request) bool {
	id, sender := string(request.Header.Peek("X-Request-Id")), stand.OwnerOf(c)
	s.log.arrival(s.service, s.id, s.version, sender)
	s.sendLateCopy(c)
	if expected := string(request.Header.Peek("X-Expect-Instance")); expected != s.id {
		return s.write(c, id, 421, "X-Instance-Id: "+s.id+"\r\n", nil)
	}
	fault, serviceTime := s.admit(string(request.Header.Host()))
	if fault != NoFault {
		s.log.badAnswer(s.service, s.version)
	}
	if header, ok := s.turnsAway(sender); ok {
		return s.write(c, id, 503, "X-Not-Executed: 1\r\n"+header, nil)
	}
	defer s.Set(func(s *Server) { s.running-- })
	switch fault {
	case Shedding:
		return s.write(c, id, 503, "X-Not-Executed: 1\r\n", nil)
	case SheddingByChance, CopiedRefusal:
		fields := "X-Not-Executed: 1\r\nX-Server-Load: 1,0,4,100\r\n"
		if fault == CopiedRefusal {
			s.Set(func(s *Server) { s.lateCopies[c] = replyText(id, 503, fields, nil) })
		}
		return s.write(c, id, 503, fields, nil)
	}
	if wrong := s.keys.wrongRun(s.log, id, allValues(request, "X-Tenant"), allValues(request, "Authorization")); wrong != "" {
		s.log.violation(wrong)
	}
	s.log.run(id, s.service, Execution{
		Method: string(request.Header.Method()),
		Target: string(request.RequestURI()),
		Body:   string(request.Body()),
	})
	if timer.Sleep(ctx, serviceTime) != nil {
		s.Set(func(s *Server) { s.cancelled++ })
		return false
	}
	if request.Header.IsHead() {
		return s.replyToHead(c, id)
	}
	return s.reply(c, id, fault)
}

// allValues returns the values of all header fields of a name, separated by commas.
func allValues(request *fasthttp.Request, name string) string {
	return string(bytes.Join(request.Header.PeekAll(name), []byte(",")))
}

// admit records the arrival of a request to a host name, counts the violations that it means and returns the fault and the time of its
// reply.
func (s *Server) admit(host string) (ReplyFault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recentArrivals = append(s.recentArrivals, now)
	for now.Sub(s.recentArrivals[0]) >= time.Second {
		s.recentArrivals = s.recentArrivals[1:]
	}
	switch {
	case s.log.overdue(s.drainingSince, drainGrace):
		s.log.violation("drain")
	case s.log.overdue(s.evacuatedSince, evacuationGrace):
		s.log.violation("evacuate")
	case s.log.overdue(s.unroutedSince, routeGrace):
		s.log.violation("configuration")
	}
	if s.maxArrivalRate > 0 && float64(len(s.recentArrivals)) > s.maxArrivalRate {
		s.log.violation("cold")
	}
	serviceTime := time.Duration(float64(s.serviceTime) * (0.7 + 0.6*s.random.Float64()))
	if wait := s.pausedUntil.Sub(now); wait > 0 {
		serviceTime += wait
	}
	if s.random.Float64() < s.faultShare && (s.faultHost == "" || s.faultHost == host) && s.running >= s.faultAbove {
		if s.replyFault == Slow {
			serviceTime *= slowFactor
		}
		return s.replyFault, serviceTime
	}
	return NoFault, serviceTime
}
