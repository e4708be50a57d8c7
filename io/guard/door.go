// Package guard keeps the connections of one listener within what the host may hold for its clients: it refuses or closes those
// that are too many, too large or too slow. The decisions are in package bound.
package guard

import (
	"iter"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"magnoliaworks/core/bound"
)

const (
	// RetryAfter is the advice to a client that was refused because too much is held for others.
	RetryAfter = 500 * time.Millisecond
	// headMargin is added to the operator's limit on the arrival of a header, since hosts and links may pause.
	headMargin = 2 * time.Second
	// requestBytes is what a request takes besides its body: buffers for its header and its answer. bufferBytes of them are returned
	// once the request is read.
	requestBytes = 48 << 10
	bufferBytes  = 32 << 10
	// smallBody is the largest body that requestBytes covers, and largestKept the largest buffer that is kept for later requests.
	smallBody   = 8 << 10
	largestKept = 32 << 10
	// bodyCopies is the number of copies of a body that are held: the request's and one that is being written to a server.
	bodyCopies = 2
	// relieveGap is the time between two searches for slow clients.
	relieveGap = 100 * time.Millisecond
	// logGap is the time between two log lines about refusals.
	logGap = 10 * time.Second
)

// Refusals that a Door counts. Their names are those of the events that count them.
const (
	connRefused = "connection_refused"
	connEvicted = "connection_evicted"
	// descriptorsShort is a connection that couldn't be accepted, since the process has no descriptor left.
	descriptorsShort = "descriptors_short"
	bytesShort       = "request_refused_bytes"
	slowClosed       = "slow_client_closed"
	// BodyTooLarge, HeaderTooLarge and TooSlow are refusals of what the operator's limits don't permit.
	BodyTooLarge   = "body_too_large"
	HeaderTooLarge = "header_too_large"
	TooSlow        = "request_too_slow"
)

// ErrBytesShort ends the reading of a request for which too few bytes are left. The request has not been passed on.
var ErrBytesShort = errors.New("too much is held for other clients")

func init() {
	// fasthttp would keep the buffer of a large body for the next small one. The limit must be set before any server runs.
	fasthttp.SetBodySizePoolLimit(largestKept, largestKept)
}

// Options describe a listener.
type Options struct {
	// Name names the listener in log lines.
	Name string
	// Limit is what the listener may hold.
	Limit bound.Listener
	// Answers counts large answers; nil counts them among the bytes of Limit.
	Answers *bound.Bytes
	// MaxBody returns the largest permitted body in bytes, and HeadTimeout the time within which a header must arrive.
	MaxBody     func() int
	HeadTimeout func() time.Duration
	// BodyTimeout bounds the arrival of a body.
	BodyTimeout time.Duration
	// CountEvent counts a refusal by its name; it may be nil.
	CountEvent func(name string)
	Log        hclog.Logger
}

// Door guards one listener. It is safe for concurrent use.
type Door struct {
	options Options
	bytes   *bound.Bytes
	reading atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]bool
	// bodies holds the bytes taken for requests whose body is being read, or refusedBody, by the header, whose content is gone once
	// the reading has failed; reading is their number.
	bodies map[*fasthttp.RequestHeader]int
	// sweptAt is the time of the last call of CloseIdle.
	sweptAt    time.Time
	relievedAt time.Time
	fullUntil  time.Time
	loggedAt   time.Time
	refusals   int
}

const (
	// refusedBody stands for a body for which no bytes were left.
	refusedBody = -1
	// chunked is the content length that fasthttp gives for a body in chunks.
	chunked = -1
)

// New returns a guard for a listener.
func New(options Options) *Door {
	return &Door{
		options: options,
		bytes:   bound.NewBytes(options.Limit.Bytes),
		conns:   make(map[*Conn]bool),
		bodies:  make(map[*fasthttp.RequestHeader]int),
	}
}

// Protect sets the options of a server through which it asks the guard. The server's connections must come from Listener.
func (d *Door) Protect(s *fasthttp.Server) {
	s.HeaderReceived = d.headerReceived
	if s.Logger == nil {
		// The server logs each connection that it ends for a wrong request.
		s.Logger = d.StandardLogger()
	}
	s.ReduceMemoryUsage = true
	if s.ConnState == nil {
		s.ConnState = func(c net.Conn, state fasthttp.ConnState) {
			if guarded, ok := c.(*Conn); ok {
				guarded.Track(state)
			}
		}
	}
}

// StandardLogger returns a logger for what servers say of single connections, at level debug.
func (d *Door) StandardLogger() *log.Logger {
	return d.options.Log.StandardLogger(&hclog.StandardLoggerOptions{
		ForceLevel: hclog.Debug,
	})
}

// Count counts a refusal and writes a log line, at most one in logGap for all refusals of the listener.
func (d *Door) Count(refusal string) {
	if d.options.CountEvent != nil {
		d.options.CountEvent(refusal)
	}
	d.mu.Lock()
	d.refusals++
	refusals, now := d.refusals, time.Now()
	due := now.Sub(d.loggedAt) >= logGap
	if due {
		d.loggedAt, d.refusals = now, 0
	}
	conns := len(d.conns)
	d.mu.Unlock()
	if due {
		d.options.Log.Warn("clients outside of the limits", "listener", d.options.Name, "last", refusal, "refusals", refusals,
			"connections", conns, "held_bytes", d.bytes.Held())
	}
}

// headerReceived takes the bytes of a request's body before it is read. A request in chunks may become as large as permitted.
func (d *Door) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	length, largest := h.ContentLength(), d.options.MaxBody()
	if length == chunked {
		length = largest
	}
	if length <= 0 {
		return fasthttp.RequestConfig{
			MaxRequestBodySize: largest,
		}
	}
	config := fasthttp.RequestConfig{
		MaxRequestBodySize: largest,
		ReadTimeout:        d.options.BodyTimeout,
	}
	if length <= smallBody || length > largest {
		return config
	}
	taken := bodyCopies * length
	if !d.bytes.TakeLarge(taken) {
		// The smallest limit ends the reading at once.
		taken, config.MaxRequestBodySize = refusedBody, 1
	}
	d.mu.Lock()
	previous := d.bodies[h]
	d.bodies[h] = taken
	d.reading.Store(int64(len(d.bodies)))
	d.mu.Unlock()
	d.bytes.Give(max(previous, 0))
	return config
}

// takeBody returns what was taken for the body of a request, and whether bytes were refused to it.
func (d *Door) takeBody(h *fasthttp.RequestHeader) (taken int, refused bool) {
	if d.reading.Load() == 0 {
		return 0, false
	}
	d.mu.Lock()
	taken, found := d.bodies[h]
	delete(d.bodies, h)
	d.reading.Store(int64(len(d.bodies)))
	d.mu.Unlock()
	return max(taken, 0), found && taken == refusedBody
}

// relieve closes clients that are slow to send a request or to read an answer, at most every relieveGap.
func (d *Door) relieve() {
	now := time.Now()
	d.mu.Lock()
	var slow []*Conn
	if now.Sub(d.relievedAt) >= relieveGap {
		d.relievedAt = now
		for c, client := range d.clients(now) {
			if bound.Slow(client) {
				slow = append(slow, c)
			}
		}
	}
	d.mu.Unlock()
	for _, c := range slow {
		_ = c.Close()
		d.Count(slowClosed)
	}
}

// clients returns all connections with what they do. The caller holds mu.
func (d *Door) clients(now time.Time) iter.Seq2[*Conn, bound.Client] {
	return func(yield func(*Conn, bound.Client) bool) {
		for c := range d.conns {
			if !yield(c, c.client(now)) {
				return
			}
		}
	}
}

// Open returns the number of open connections.
func (d *Door) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// maxSweepGap is the time between two calls of CloseIdle from which on the second closes nothing.
const maxSweepGap = 200 * time.Millisecond

// CloseIdle closes the connections that have been idle for longer than timeout. It is to be called each 100 ms. If the process stood
// still before a call, requests may wait unread in connections that seem idle, and only the next one closes them.
func (d *Door) CloseIdle(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	late := now.Sub(d.sweptAt) >= maxSweepGap && !d.sweptAt.IsZero()
	d.sweptAt = now
	if late {
		return
	}
	for c, client := range d.clients(now) {
		if client.Phase == bound.Idle && client.For > timeout {
			c.closeIdle()
		}
	}
}
