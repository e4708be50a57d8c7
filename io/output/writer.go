// Package output writes log lines asynchronously, so that logging never blocks.
package output

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxQueuedLines bounds the queue to the lines of a few seconds on a busy host.
	maxQueuedLines = 2048
	// maxLinesPerSecond bounds the rate of lines, so that logging uses little processor time.
	maxLinesPerSecond = 300
	// reportPeriod is the least time between two reports of dropped lines.
	reportPeriod = time.Second
	// flushTimeout bounds the writing of queued lines when the process ends.
	flushTimeout = 500 * time.Millisecond
)

// Writer queues lines for a writer that may be slow. Lines beyond the rate or the capacity of the queue are dropped and
// counted. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	// currentSecond is the Unix time of the latest line, and linesThisSecond the number of lines offered in that second.
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
}

// New returns a writer that queues lines, which Run writes to out.
func New(out io.Writer) *Writer {
	return &Writer{
		out:   out,
		queue: make(chan []byte, maxQueuedLines),
	}
}

// Write implements io.Writer; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.withinRate(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// withinRate counts a line in the given second, a Unix time, and reports whether the rate permits it.
func (w *Writer) withinRate(second int64) bool {
	if w.currentSecond.Swap(second) != second {
		w.linesThisSecond.Store(0)
	}
	return w.linesThisSecond.Add(1) <= maxLinesPerSecond
}

// Dropped returns the number of lines dropped since the last call, and resets it.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Run writes queued lines until ctx ends, then for at most half a second those that are still queued.
// It returns an error as soon as the underlying writer fails. Dropped lines are reported after a line is written.
func (w *Writer) Run(ctx context.Context) error {
	nextReport := time.Now().Add(reportPeriod)
	for {
		select {
		case <-ctx.Done():
			return w.flush()
		case line := <-w.queue:
			if _, err := w.out.Write(line); err != nil {
				return errors.Wrap(err, "write log")
			}
		}
		if now := time.Now(); now.After(nextReport) {
			nextReport = now.Add(reportPeriod)
			if err := w.reportDropped(); err != nil {
				return err
			}
		}
	}
}

// reportDropped writes a log line with the number of dropped lines, if there are any.
func (w *Writer) reportDropped() error {
	n := w.Dropped()
	if n == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"lines dropped\",\"@module\":\"log\",\"count\":%d}\n", n)
	return errors.Wrap(err, "write log")
}

// flush writes the queued lines until the queue is empty or flushTimeout has passed.
func (w *Writer) flush() error {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-w.queue:
			if _, err := w.out.Write(line); err != nil {
				return errors.Wrap(err, "write log")
			}
		default:
			return w.reportDropped()
		}
	}
	return nil
}
