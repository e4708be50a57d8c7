package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

// fakeConn is a connection to a server that replies to each message.
type fakeConn struct {
	sent   chan struct{}
	closed chan struct{}
	once   sync.Once
	// sendErr is the error of Send; noReply suppresses replies.
	sendErr error
	noReply bool
	// sendDelay is the time for which Send blocks after the reply is readable.
	sendDelay time.Duration
}

func (c *fakeConn) Send(*query.Message, string, time.Time) error {
	if c.sendErr != nil || c.noReply {
		return c.sendErr
	}
	c.sent <- struct{}{}
	time.Sleep(c.sendDelay)
	return nil
}

func (c *fakeConn) WaitReadable() error {
	select {
	case <-c.sent:
		return nil
	case <-c.closed:
		return errors.New("closed")
	}
}

func (c *fakeConn) Receive(*query.Message, string) (Reply, error) {
	return Reply{
		Result: query.Done{
			Reply: &query.Reply{},
		},
	}, nil
}

func (c *fakeConn) SetReadDeadline(time.Time) error { return nil }

func (c *fakeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// fakeDialer opens fakeConns with its settings, or fails with dialErr. opened counts them.
type fakeDialer struct {
	opened    atomic.Int64
	dialErr   error
	sendErr   error
	noReply   bool
	sendDelay time.Duration
}

func (d *fakeDialer) Dial(context.Context, string) (Conn, error) {
	if d.dialErr != nil {
		return nil, d.dialErr
	}
	d.opened.Add(1)
	return &fakeConn{
		sent:      make(chan struct{}, 1),
		closed:    make(chan struct{}),
		sendErr:   d.sendErr,
		noReply:   d.noReply,
		sendDelay: d.sendDelay,
	}, nil
}

// fakeDirectory holds one local server, which two hosts share.
type fakeDirectory struct{ connections int }

func (d fakeDirectory) server() route.Server {
	return route.Server{
		ID:             "s-1",
		Address:        "127.0.0.1:1",
		DataCentre:     "east",
		MaxConnections: d.connections,
	}
}

func (d fakeDirectory) Servers() []route.Server { return []route.Server{d.server()} }
func (d fakeDirectory) HostCount() int          { return 2 }

// noopObserver discards all observations.
type noopObserver struct{}

func (noopObserver) Started(string, string)                               {}
func (noopObserver) Finished(string, string, time.Duration, query.Result) {}
func (noopObserver) Cancelled(string, string, time.Duration, bool)        {}

func newPool(d Dialer, directory fakeDirectory, ticks *timer.Service) *Pool {
	return New(Options{
		DataCentre: "east",
		Dialer:     d,
		Directory:  directory,
		Observer:   noopObserver{},
		Timer:      ticks,
		Journal:    trace.NewJournal(hclog.NewNullLogger()),
		CountEvent: func(string) {},
	})
}

func newCall(onResult func(query.Result)) *Call {
	return &Call{
		Message:  &query.Message{},
		Server:   "s-1",
		Deadline: time.Now().Add(time.Second),
		OnResult: onResult,
	}
}

// TestEveryCallFinishesOnceDuringStop submits calls while the pool stops: each must end with one result, also a call
// that is submitted after the stop.
func TestEveryCallFinishesOnceDuringStop(t *testing.T) {
	for range 50 {
		ticks := timer.New()
		p := newPool(&fakeDialer{}, fakeDirectory{connections: 30}, ticks)
		ctx, cancel := context.WithCancel(context.Background())
		var running, callers errgroup.Group
		running.Go(func() error { return ticks.Run(ctx) })
		running.Go(func() error { return p.Run(ctx) })
		var submitted, ended atomic.Int64
		for range 8 {
			callers.Go(func() error {
				for range 100 {
					submitted.Add(1)
					p.Submit(fakeDirectory{connections: 30}.server(), newCall(func(query.Result) { ended.Add(1) }))
				}
				return nil
			})
		}
		cancel()
		if err := callers.Wait(); err != nil {
			t.Fatal(err)
		}
		if err := running.Wait(); err != nil {
			t.Fatal(err)
		}
		if submitted.Load() != ended.Load() {
			t.Fatalf("%d calls submitted, %d ended", submitted.Load(), ended.Load())
		}
	}
}

// TestResultReportsWhetherCallRan checks that only a call of which no byte was sent ends as not executed, so that a
// retry can't run it twice.
func TestResultReportsWhetherCallRan(t *testing.T) {
	cases := []struct {
		name   string
		dialer *fakeDialer
		want   query.Result
	}{
		{name: "answered", dialer: &fakeDialer{}, want: query.Done{}},
		{name: "dial failed", dialer: &fakeDialer{dialErr: errors.New("refused")}, want: query.NotExecuted{}},
		{name: "no byte sent", dialer: &fakeDialer{sendErr: errors.Wrap(ErrNotSent, "closed")}, want: query.NotExecuted{}},
		{name: "message partly sent", dialer: &fakeDialer{sendErr: errors.New("reset")}, want: query.Failed{}},
	}
	for _, c := range cases {
		Convey("The result reports whether the call may have run: "+c.name, t, func() {
			ticks := timer.New()
			p := newPool(c.dialer, fakeDirectory{connections: 30}, ticks)
			ctx, cancel := context.WithCancel(context.Background())
			var running errgroup.Group
			running.Go(func() error { return ticks.Run(ctx) })
			running.Go(func() error { return p.Run(ctx) })
			results := make(chan query.Result, 1)
			for p.serverPool(fakeDirectory{connections: 30}.server()) == nil {
				time.Sleep(time.Millisecond)
			}
			p.Submit(fakeDirectory{connections: 30}.server(), newCall(func(r query.Result) { results <- r }))
			So(<-results, ShouldHaveSameTypeAs, c.want)
			cancel()
			So(running.Wait(), ShouldBeNil)
		})
	}
}

// TestConnectionsStayWithinMaximum submits many calls at once, also with replies that arrive before Send returns. Half
// of the server's connections less reservedConns, at least one, belong to each of the two hosts; the host must not open more.
func TestConnectionsStayWithinMaximum(t *testing.T) {
	cases := []struct {
		connections int
		sendDelay   time.Duration
		want        int64
	}{
		{connections: 12, want: 5},
		{connections: 2, want: 1},
		{connections: 12, sendDelay: time.Millisecond, want: 5},
	}
	for _, c := range cases {
		Convey("A host opens no more than its share of a server's connections", t, func() {
			ticks := timer.New()
			d := &fakeDialer{sendDelay: c.sendDelay}
			directory := fakeDirectory{connections: c.connections}
			p := newPool(d, directory, ticks)
			ctx, cancel := context.WithCancel(context.Background())
			var running errgroup.Group
			running.Go(func() error { return ticks.Run(ctx) })
			running.Go(func() error { return p.Run(ctx) })
			for p.serverPool(directory.server()) == nil {
				time.Sleep(time.Millisecond)
			}
			results := make(chan query.Result, 60)
			for range 60 {
				p.Submit(directory.server(), newCall(func(r query.Result) { results <- r }))
			}
			for range 60 {
				So(<-results, ShouldHaveSameTypeAs, query.Done{})
			}
			So(d.opened.Load(), ShouldBeLessThanOrEqualTo, c.want)
			cancel()
			So(running.Wait(), ShouldBeNil)
		})
	}
}

// TestPoolStopsWithCallInProgress stops a pool while a server does not reply. Run must not wait for the call's deadline.
func TestPoolStopsWithCallInProgress(t *testing.T) {
	Convey("The call ends as one that may have run, long before its deadline", t, func() {
		ticks := timer.New()
		d := &fakeDialer{noReply: true}
		directory := fakeDirectory{connections: 30}
		p := newPool(d, directory, ticks)
		ctx, cancel := context.WithCancel(context.Background())
		var running errgroup.Group
		running.Go(func() error { return ticks.Run(ctx) })
		running.Go(func() error { return p.Run(ctx) })
		for p.serverPool(directory.server()) == nil {
			time.Sleep(time.Millisecond)
		}
		results := make(chan query.Result, 1)
		c := newCall(func(r query.Result) { results <- r })
		c.Deadline = time.Now().Add(time.Hour)
		p.Submit(directory.server(), c)
		time.Sleep(20 * time.Millisecond)
		cancel()
		So(running.Wait(), ShouldBeNil)
		So(<-results, ShouldHaveSameTypeAs, query.Failed{})
	})
}
