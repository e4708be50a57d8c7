package guard

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"magnoliaworks/core/bound"
)

// aheadBytes is the size of the buffer that holds the start of a request until the server has one of its own; most requests fit.
const aheadBytes = 2 << 10

// Conn is a connection that a Door guards.
type Conn struct {
	net.Conn
	door *Door
	// ahead holds bytes that were read before the server asked for them: start is the first, end that after the last.
	ahead      [aheadBytes]byte
	start, end int

	mu    sync.Mutex
	phase bound.Phase
	since time.Time
	// held are the bytes taken for the request in progress, heldAnswer those of its answer if it is large.
	held       int
	heldAnswer int
	// refused is set when there were too few bytes for the request; deadlineSet once its read deadline has been set.
	refused     bool
	deadlineSet bool
	closed      bool
}

// Read implements net.Conn. A server that waits for the first byte of a request asks for it alone, so that it needs no buffer
// while it waits; what comes with it is kept for the next read.
func (c *Conn) Read(p []byte) (int, error) {
	if c.start < c.end {
		n := copy(p, c.ahead[c.start:c.end])
		c.start += n
		return n, nil
	}
	if c.isRefused() {
		return 0, ErrBytesShort
	}
	if len(p) > 1 {
		return c.Conn.Read(p)
	}
	if err := c.ReadAhead(); err != nil {
		return 0, err
	}
	return c.Read(p)
}

// ReadAhead waits until bytes have arrived or the connection fails, and keeps them for the next read.
func (c *Conn) ReadAhead() error {
	if c.Ahead() {
		return nil
	}
	n, err := c.Conn.Read(c.ahead[:])
	c.start, c.end = 0, n
	if n > 0 {
		return nil
	}
	return err
}

// Ahead reports whether bytes are kept for the next read.
func (c *Conn) Ahead() bool { return c.start < c.end }

// SetReadDeadline implements net.Conn. The first deadline of a request is that of its header. It fails only on a closed connection,
// of which the next read tells.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.phase == bound.Receiving && !c.deadlineSet {
		c.deadlineSet = true
		if limit := c.since.Add(c.door.options.HeadTimeout() + headMargin); limit.Before(t) {
			t = limit
		}
	}
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(t)
	return nil
}

// expired is a read deadline in the past, which ends a read that waits.
var expired = time.Unix(1, 0)

// closeIdle ends the wait for a request, upon which the server closes the connection. A request of which bytes have been read is
// served all the same: closing the connection at once could lose it, since the phase changes only after the read.
func (c *Conn) closeIdle() { _ = c.Conn.SetReadDeadline(expired) }

// Track records a change of the connection's state, and takes or returns the bytes that go with it.
func (c *Conn) Track(state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		taken := c.door.bytes.Take(requestBytes)
		c.mu.Lock()
		c.phase, c.since, c.deadlineSet, c.refused = bound.Receiving, time.Now(), false, !taken
		if taken {
			c.held += requestBytes
		}
		c.mu.Unlock()
		if !taken {
			c.door.Count(bytesShort)
			c.door.relieve()
		}
	case fasthttp.StateIdle:
		c.release(bound.Idle)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		c.release(bound.Idle)
		c.door.remove(c)
	}
}

// release returns the bytes of the request in progress.
func (c *Conn) release(next bound.Phase) {
	c.mu.Lock()
	held, heldAnswer := c.held, c.heldAnswer
	c.held, c.heldAnswer, c.phase, c.since, c.refused = 0, 0, next, time.Now(), false
	c.mu.Unlock()
	c.door.bytes.Give(held)
	if heldAnswer > 0 {
		c.door.options.Answers.Give(heldAnswer)
	}
}

// Begin records that a request has been read, so that its buffers are free; ok is false if too few bytes were left for it, so that
// it must be refused. Each request that was read, in whole or in part, must be passed to Begin.
func (c *Conn) Begin(request *fasthttp.Request) (ok bool) {
	taken, refused := c.door.takeBody(&request.Header)
	keep := min(taken, bodyCopies*len(request.Body()))
	c.mu.Lock()
	freed := min(c.held, bufferBytes) + taken - keep
	c.held += taken - freed
	c.phase, c.since = bound.Serving, time.Now()
	refusedBefore := c.refused
	c.refused = false
	c.mu.Unlock()
	c.door.bytes.Give(freed)
	if refused {
		c.door.Count(bytesShort)
		c.door.relieve()
	}
	return !refused && !refusedBefore
}

// Answering records that an answer with a body of n bytes is being written, whether bytes are left for it or not. A large one is
// counted together with those that are still read from backend servers.
func (c *Conn) Answering(n int) {
	answers, held, heldAnswer := c.door.options.Answers, n, 0
	if answers != nil && n > bound.LargeAnswer {
		held, heldAnswer = 0, n
	}
	c.mu.Lock()
	c.held, c.heldAnswer = c.held+held, heldAnswer
	c.phase, c.since = bound.Answering, time.Now()
	c.mu.Unlock()
	c.door.bytes.Add(held)
	if heldAnswer > 0 {
		answers.Add(heldAnswer)
		if answers.Short() {
			c.door.relieve()
		}
	}
}

func (c *Conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// client returns what the connection does.
func (c *Conn) client(now time.Time) bound.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bound.Client{
		Phase: c.phase,
		For:   now.Sub(c.since),
	}
}
