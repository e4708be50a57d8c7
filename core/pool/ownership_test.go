package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/timer"
)

// runPool runs a pool until the returned function is called, which waits for its end and returns its error.
func runPool(d Dialer, directory fakeDirectory) (p *Pool, stop func() error) {
	ticks := timer.New()
	p = newPool(d, directory, ticks)
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	running.Go(func() error { return ticks.Run(ctx) })
	running.Go(func() error { return p.Run(ctx) })
	for p.serverPool(directory.server()) == nil {
		time.Sleep(time.Millisecond)
	}
	return p, func() error {
		cancel()
		return running.Wait()
	}
}

// tornConn replies while the message of the call is still being written, and that write then fails.
type tornConn struct {
	fakeConn
	failed chan struct{}
}

func (c *tornConn) Send(*query.Message, string, time.Time) error {
	c.sent <- struct{}{}
	time.Sleep(time.Millisecond)
	close(c.failed)
	return errors.New("reset")
}

func (c *tornConn) Receive(m *query.Message, server string) (Reply, error) {
	<-c.failed
	time.Sleep(2 * time.Millisecond)
	return c.fakeConn.Receive(m, server)
}

// dialFunc is a Dialer.
type dialFunc func() Conn

func (d dialFunc) Dial(context.Context, string) (Conn, error) { return d(), nil }

// TestReplyDuringFailedWrite lets a reply arrive whose message could not be written whole. The call has ended by then, and
// the reply must not be delivered to the next call or to none.
func TestReplyDuringFailedWrite(t *testing.T) {
	Convey("The call ends once, as one that may have run", t, func() {
		p, stop := runPool(dialFunc(func() Conn {
			return &tornConn{
				fakeConn: fakeConn{sent: make(chan struct{}, 1), closed: make(chan struct{})},
				failed:   make(chan struct{}),
			}
		}), fakeDirectory{connections: 30})
		results := make(chan query.Result, 10)
		for range 5 {
			p.Submit(fakeDirectory{connections: 30}.server(), newCall(func(r query.Result) { results <- r }))
			So(<-results, ShouldHaveSameTypeAs, query.Failed{})
			time.Sleep(5 * time.Millisecond)
		}
		So(stop(), ShouldBeNil)
		So(results, ShouldBeEmpty)
	})
}

// TestServerThatMovesLeaksNoConnections sends a call to a server at a new address before the next Reconcile.
func TestServerThatMovesLeaksNoConnections(t *testing.T) {
	Convey("The connections to the old address are closed, and Run returns", t, func() {
		var opened []*fakeConn
		var mu sync.Mutex
		directory := fakeDirectory{connections: 30}
		p, stop := runPool(dialFunc(func() Conn {
			mu.Lock()
			defer mu.Unlock()
			c := &fakeConn{sent: make(chan struct{}, 1), closed: make(chan struct{})}
			opened = append(opened, c)
			return c
		}), directory)
		old := p.serverPool(directory.server())
		results := make(chan query.Result, 2)
		p.Submit(directory.server(), newCall(func(r query.Result) { results <- r }))
		<-results
		moved := directory.server()
		moved.Address = "127.0.0.1:2"
		p.Submit(moved, newCall(func(r query.Result) { results <- r }))
		So(<-results, ShouldHaveSameTypeAs, query.Done{})
		time.Sleep(20 * time.Millisecond)
		old.mu.Lock()
		So(old.conns, ShouldBeEmpty)
		old.mu.Unlock()
		So(stop(), ShouldBeNil)
		for _, c := range opened {
			So(c.isClosed(), ShouldBeTrue)
		}
	})
}

// isClosed reports whether Close was called.
func (c *fakeConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// TestClosingSurplusConnectionsDelaysNoDial closes an unused idle connection, as the pool does with surplus ones.
func TestClosingSurplusConnectionsDelaysNoDial(t *testing.T) {
	Convey("The next connection may be dialled at once", t, func() {
		directory := fakeDirectory{connections: 30}
		p, stop := runPool(&fakeDialer{}, directory)
		sp := p.serverPool(directory.server())
		open := func() int {
			sp.mu.Lock()
			defer sp.mu.Unlock()
			return len(sp.conns)
		}
		for open() < minLocalConns {
			time.Sleep(time.Millisecond)
		}
		sp.mu.Lock()
		sp.closeStale(time.Now().Add(time.Minute), 0)
		sp.mu.Unlock()
		for open() > 0 {
			time.Sleep(time.Millisecond)
		}
		sp.mu.Lock()
		nextDial := sp.nextDial
		sp.mu.Unlock()
		So(nextDial.IsZero(), ShouldBeTrue)
		So(stop(), ShouldBeNil)
	})
}

// exclusiveConn replies after a random time or fails at a random step. It counts messages that are sent while another one
// is in progress on it.
type exclusiveConn struct {
	fakeConn
	busy       atomic.Bool
	violations *atomic.Int64
}

func (c *exclusiveConn) Send(*query.Message, string, time.Time) error {
	if !c.busy.CompareAndSwap(false, true) {
		c.violations.Add(1)
	}
	switch rand.IntN(10) {
	case 0:
		return errors.Wrap(ErrNotSent, "closed")
	case 1:
		return errors.New("reset")
	case 2:
		c.sent <- struct{}{}
		time.Sleep(rand.N(100 * time.Microsecond))
		return errors.New("reset after the reply")
	}
	c.sent <- struct{}{}
	return nil
}

func (c *exclusiveConn) Receive(m *query.Message, server string) (Reply, error) {
	time.Sleep(rand.N(200 * time.Microsecond))
	switch rand.IntN(10) {
	case 0:
		return Reply{}, errors.New("reset")
	case 1:
		c.busy.Store(false)
		return Reply{Close: true, Result: query.Done{}}, nil
	}
	c.busy.Store(false)
	return c.fakeConn.Receive(m, server)
}

// TestCallsHaveOneOwner submits and cancels calls at random to a server that moves, on connections that fail at random.
func TestCallsHaveOneOwner(t *testing.T) {
	Convey("Each call ends with one result or is withdrawn, and no connection carries two at a time", t, func() {
		var violations, ends, withdrawn, twice atomic.Int64
		directory := fakeDirectory{connections: 12}
		p, stop := runPool(dialFunc(func() Conn {
			return &exclusiveConn{
				fakeConn:   fakeConn{sent: make(chan struct{}, 1), closed: make(chan struct{})},
				violations: &violations,
			}
		}), directory)
		const callers, calls = 8, 200
		var group errgroup.Group
		for range callers {
			group.Go(func() error {
				for n := range calls {
					server := directory.server()
					if n%50 == 49 {
						server.Address = fmt.Sprintf("127.0.0.1:%d", 1+rand.IntN(3))
					}
					submitAndCancel(p, server, &ends, &withdrawn, &twice)
				}
				return nil
			})
		}
		So(group.Wait(), ShouldBeNil)
		So(stop(), ShouldBeNil)
		So(violations.Load(), ShouldEqual, 0)
		So(twice.Load(), ShouldEqual, 0)
		So(ends.Load()+withdrawn.Load(), ShouldEqual, callers*calls)
	})
}

// submitAndCancel submits a call, cancels it at a random time in one of three cases, and counts how it ended.
func submitAndCancel(p *Pool, server route.Server, ends, withdrawn, twice *atomic.Int64) {
	results := make(chan query.Result, 2)
	var count atomic.Int64
	cancel := p.Submit(server, newCall(func(r query.Result) {
		if count.Add(1) > 1 {
			twice.Add(1)
		}
		results <- r
	}))
	if rand.IntN(3) == 0 {
		time.Sleep(rand.N(300 * time.Microsecond))
		if cancel(time.Millisecond) {
			withdrawn.Add(1)
			return
		}
	}
	<-results
	ends.Add(1)
}

// panickyConn panics while it reads a reply.
type panickyConn struct{ fakeConn }

func (c *panickyConn) Receive(*query.Message, string) (Reply, error) { panic("malformed") }

// TestPanicEndsOneCall lets the decoding of a reply panic.
func TestPanicEndsOneCall(t *testing.T) {
	Convey("The call ends as one that may have run, and the pool goes on with new connections", t, func() {
		p, stop := runPool(dialFunc(func() Conn {
			return &panickyConn{fakeConn: fakeConn{sent: make(chan struct{}, 1), closed: make(chan struct{})}}
		}), fakeDirectory{connections: 30})
		results := make(chan query.Result, 3)
		for range 3 {
			p.Submit(fakeDirectory{connections: 30}.server(), newCall(func(r query.Result) { results <- r }))
			So(<-results, ShouldHaveSameTypeAs, query.Failed{})
		}
		So(stop(), ShouldBeNil)
	})
}
