package stand

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// stream carries bytes in one direction and delivers each chunk after a delay.
type stream struct {
	mu     sync.Mutex
	chunks []chunk
	closed bool
	// silent discards what is written and delivers nothing, not even the end.
	silent bool
	// held delivers nothing but keeps what is written.
	held bool
	// aborted is set when the reading end was closed.
	aborted  bool
	deadline time.Time
	changed  chan struct{}
}

// chunk is the data of one write and the time at which it may be read.
type chunk struct {
	data []byte
	due  time.Time
}

func newStream() *stream {
	return &stream{
		changed: make(chan struct{}, 1),
	}
}

// write queues data for delivery after the delay; a silent stream discards it and reports success.
func (s *stream) write(p []byte, delay time.Duration) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	if s.silent {
		return len(p), nil
	}
	s.chunks = append(s.chunks, chunk{
		data: append([]byte(nil), p...),
		due:  time.Now().Add(delay),
	})
	s.signal()
	return len(p), nil
}

// read blocks until the first chunk is due, the deadline passes (os.ErrDeadlineExceeded)
// or the stream is closed (io.EOF) or aborted (net.ErrClosed).
func (s *stream) read(p []byte) (int, error) {
	for {
		n, wait, err := s.readDue(p)
		if n > 0 || err != nil {
			return n, err
		}
		s.waitForChange(wait)
	}
}

// readDue reads what is due now, or returns how long to wait before the next attempt.
func (s *stream) readDue(p []byte) (n int, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait = time.Hour
	if s.aborted {
		return 0, 0, net.ErrClosed
	}
	if s.held || s.silent {
		wait = time.Hour
	} else if len(s.chunks) > 0 {
		first := &s.chunks[0]
		if !first.due.After(now) {
			n = copy(p, first.data)
			first.data = first.data[n:]
			if len(first.data) == 0 {
				s.chunks = s.chunks[1:]
			}
			return n, 0, nil
		}
		wait = first.due.Sub(now)
	} else if s.closed {
		return 0, 0, io.EOF
	}
	if s.deadline.IsZero() {
		return 0, wait, nil
	}
	if !s.deadline.After(now) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	return 0, min(wait, s.deadline.Sub(now)), nil
}

func (s *stream) waitForChange(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.changed:
	case <-timer.C:
	}
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.signal()
}

func (s *stream) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.signal()
}

// setHeld stops delivery until it is called with false; what is written meanwhile is kept.
func (s *stream) setHeld(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	s.signal()
}

// close ends the stream from its writing end; a held stream is released, and what was written can still be read.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.held = false
	s.signal()
}

// abort ends the stream from its reading end; what was not read is lost.
func (s *stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.aborted = true
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
