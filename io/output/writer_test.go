package output

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter never returns from a write until it is released.
type blockedWriter struct {
	release chan struct{}
}

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestWriteNeverBlocks logs at ten times the permitted rate while the underlying writer blocks.
func TestWriteNeverBlocks(t *testing.T) {
	var elapsed time.Duration
	var dropped int64
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{
			release: make(chan struct{}),
		}
		w := New(out)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		started := time.Now()
		for range 20 {
			for range 10 * maxLinesPerSecond {
				_, _ = w.Write([]byte("line\n"))
			}
			time.Sleep(time.Second)
		}
		elapsed = time.Since(started)
		dropped = w.Dropped()
		cancel()
		close(out.release)
		<-ended
	})
	Convey("No write blocks, and dropped lines are counted", t, func() {
		So(elapsed, ShouldEqual, 20*time.Second)
		So(dropped, ShouldBeGreaterThanOrEqualTo, 20*10*maxLinesPerSecond-maxQueuedLines-2)
	})
}

// TestRateLimit logs bursts of twice the permitted rate to a writer that does not block.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		w := New(&out)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		for range 3 {
			for range 2 * maxLinesPerSecond {
				_, _ = w.Write([]byte("line\n"))
			}
			time.Sleep(2 * time.Second)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	Convey("At most maxLinesPerSecond lines are written for each second, and drops are reported", t, func() {
		So(strings.Count(out.String(), "line\n"), ShouldEqual, 3*maxLinesPerSecond)
		So(out.String(), ShouldContainSubstring, "lines dropped")
	})
}
