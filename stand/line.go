package stand

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// line carries bytes one way, each chunk after a delay.
type line struct {
	mu     sync.Mutex
	chunks []chunk
	closed bool
	silent bool
	held   bool
	// aborted is set when the reading end was closed.
	aborted  bool
	deadline time.Time
	wake     chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

func newLine() *line {
	return &line{
		wake: make(chan struct{}, 1),
	}
}

// write queues data for delivery after the delay; a silent line swallows it.
func (l *line) write(p []byte, delay time.Duration) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, io.ErrClosedPipe
	}
	if l.silent {
		return len(p), nil
	}
	l.chunks = append(l.chunks, chunk{
		data: append([]byte(nil), p...),
		due:  time.Now().Add(delay),
	})
	l.signal()
	return len(p), nil
}

// read waits for the first chunk to be due, the deadline or the end.
func (l *line) read(p []byte) (int, error) {
	for {
		n, wait, err := l.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		l.sleep(wait)
	}
}

// take returns what is due now, or the time after which to look again.
func (l *line) take(p []byte) (n int, wait time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	wait = time.Hour
	if l.aborted {
		return 0, 0, net.ErrClosed
	}
	if l.held || l.silent {
		wait = time.Hour
	} else if len(l.chunks) > 0 {
		head := &l.chunks[0]
		if !head.due.After(now) {
			n = copy(p, head.data)
			head.data = head.data[n:]
			if len(head.data) == 0 {
				l.chunks = l.chunks[1:]
			}
			return n, 0, nil
		}
		wait = head.due.Sub(now)
	} else if l.closed {
		return 0, 0, io.EOF
	}
	if l.deadline.IsZero() {
		return 0, wait, nil
	}
	if !l.deadline.After(now) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	return 0, min(wait, l.deadline.Sub(now)), nil
}

func (l *line) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.wake:
	case <-timer.C:
	}
}

func (l *line) setDeadline(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	l.signal()
}

func (l *line) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	l.signal()
}

// setHeld keeps back what is written until it is switched off.
func (l *line) setHeld(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.signal()
}

func (l *line) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.held = false
	l.signal()
}

// abort ends the line from its reading end.
func (l *line) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.aborted = true
	l.signal()
}

func (l *line) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
