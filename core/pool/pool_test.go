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

// echo is a connection whose server answers each message after a moment.
type echo struct {
	sent   chan struct{}
	closed chan struct{}
	once   sync.Once
	// fail makes Send fail with the error; mute lets no reply come.
	fail error
	mute bool
	// late is the time after its reply at which Send returns.
	late time.Duration
}

func (e *echo) Send(*query.Message, string, time.Time) error {
	if e.fail != nil || e.mute {
		return e.fail
	}
	e.sent <- struct{}{}
	time.Sleep(e.late)
	return nil
}

func (e *echo) WaitReadable() error {
	select {
	case <-e.sent:
		return nil
	case <-e.closed:
		return errors.New("closed")
	}
}

func (e *echo) Receive(*query.Message) (Reply, error) {
	return Reply{
		Result: query.Done{
			Reply: &query.Reply{},
		},
	}, nil
}

func (e *echo) SetReadDeadline(time.Time) error { return nil }

func (e *echo) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// dialer opens echoes, or fails.
type dialer struct {
	open atomic.Int64
	dial error
	fail error
	mute bool
	late time.Duration
}

func (d *dialer) Dial(context.Context, string) (Conn, error) {
	if d.dial != nil {
		return nil, d.dial
	}
	d.open.Add(1)
	return &echo{
		sent:   make(chan struct{}, 1),
		closed: make(chan struct{}),
		fail:   d.fail,
		mute:   d.mute,
		late:   d.late,
	}, nil
}

type one struct{ connections int }

func (o one) server() route.Server {
	return route.Server{
		ID:             "s-1",
		Address:        "127.0.0.1:1",
		DataCentre:     "east",
		MaxConnections: o.connections,
	}
}

func (o one) Servers() []route.Server { return []route.Server{o.server()} }
func (o one) HostCount() int          { return 2 }

type nobody struct{}

func (nobody) Started(string, string)                               {}
func (nobody) Finished(string, string, time.Duration, query.Result) {}
func (nobody) Cancelled(string, string, time.Duration, bool)        {}

func newPool(d Dialer, servers one, t *timer.Service) *Pool {
	return New(Options{
		DataCentre: "east",
		Dialer:     d,
		Directory:  servers,
		Observer:   nobody{},
		Timer:      t,
		Journal:    trace.NewJournal(hclog.NewNullLogger()),
		CountEvent: func(string) {},
	})
}

func call(deliver func(query.Result)) *Call {
	return &Call{
		Message:  &query.Message{},
		Server:   "s-1",
		Until:    time.Now().Add(time.Second),
		OnResult: deliver,
	}
}

// TestEveryCallEndsOnceWhileTheGroupEnds submits calls while the group is told to end.
func TestEveryCallEndsOnceWhileTheGroupEnds(t *testing.T) {
	for range 50 {
		ticks := timer.New()
		g := newPool(&dialer{}, one{connections: 30}, ticks)
		ctx, cancel := context.WithCancel(context.Background())
		var running, callers errgroup.Group
		running.Go(func() error { return ticks.Run(ctx) })
		running.Go(func() error { return g.Run(ctx) })
		var submitted, ended atomic.Int64
		for range 8 {
			callers.Go(func() error {
				for range 100 {
					submitted.Add(1)
					g.Submit(one{connections: 30}.server(), call(func(query.Result) { ended.Add(1) }))
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

// TestResultsTellWhetherACallRan fails dials and sends.
func TestResultsTellWhetherACallRan(t *testing.T) {
	cases := []struct {
		name   string
		dialer *dialer
		want   query.Result
	}{
		{name: "answered", dialer: &dialer{}, want: query.Done{}},
		{name: "not reached", dialer: &dialer{dial: errors.New("refused")}, want: query.NotExecuted{}},
		{name: "nothing left the host", dialer: &dialer{fail: errors.Wrap(ErrNotSent, "closed")}, want: query.NotExecuted{}},
		{name: "part of it left", dialer: &dialer{fail: errors.New("reset")}, want: query.Failed{}},
	}
	for _, c := range cases {
		Convey("A call's result is as its connection fared: "+c.name, t, func() {
			ticks := timer.New()
			g := newPool(c.dialer, one{connections: 30}, ticks)
			ctx, cancel := context.WithCancel(context.Background())
			var running errgroup.Group
			running.Go(func() error { return ticks.Run(ctx) })
			running.Go(func() error { return g.Run(ctx) })
			results := make(chan query.Result, 1)
			for g.pool(one{connections: 30}.server()) == nil {
				time.Sleep(time.Millisecond)
			}
			g.Submit(one{connections: 30}.server(), call(func(r query.Result) { results <- r }))
			So(<-results, ShouldHaveSameTypeAs, c.want)
			cancel()
			So(running.Wait(), ShouldBeNil)
		})
	}
}

// TestConnectionsStayWithinTheAllowance submits many calls at once; replies may come before their message is known to have left.
func TestConnectionsStayWithinTheAllowance(t *testing.T) {
	cases := []struct {
		connections int
		late        time.Duration
		want        int64
	}{
		{connections: 12, want: 5},
		{connections: 2, want: 1},
		{connections: 12, late: time.Millisecond, want: 5},
	}
	for _, c := range cases {
		Convey("A host opens its part of a server's connections and no more", t, func() {
			ticks := timer.New()
			d := &dialer{late: c.late}
			servers := one{connections: c.connections}
			g := newPool(d, servers, ticks)
			ctx, cancel := context.WithCancel(context.Background())
			var running errgroup.Group
			running.Go(func() error { return ticks.Run(ctx) })
			running.Go(func() error { return g.Run(ctx) })
			for g.pool(servers.server()) == nil {
				time.Sleep(time.Millisecond)
			}
			results := make(chan query.Result, 60)
			for range 60 {
				g.Submit(servers.server(), call(func(r query.Result) { results <- r }))
			}
			for range 60 {
				So(<-results, ShouldHaveSameTypeAs, query.Done{})
			}
			So(d.open.Load(), ShouldBeLessThanOrEqualTo, c.want)
			cancel()
			So(running.Wait(), ShouldBeNil)
		})
	}
}

// TestGroupEndsAtOnceWithCallsInProgress ends a group while a server does not reply.
func TestGroupEndsAtOnceWithCallsInProgress(t *testing.T) {
	Convey("The call ends as one that may have run, long before its time is up", t, func() {
		ticks := timer.New()
		d := &dialer{mute: true}
		servers := one{connections: 30}
		g := newPool(d, servers, ticks)
		ctx, cancel := context.WithCancel(context.Background())
		var running errgroup.Group
		running.Go(func() error { return ticks.Run(ctx) })
		running.Go(func() error { return g.Run(ctx) })
		for g.pool(servers.server()) == nil {
			time.Sleep(time.Millisecond)
		}
		results := make(chan query.Result, 1)
		c := call(func(r query.Result) { results <- r })
		c.Until = time.Now().Add(time.Hour)
		g.Submit(servers.server(), c)
		time.Sleep(20 * time.Millisecond)
		cancel()
		So(running.Wait(), ShouldBeNil)
		So(<-results, ShouldHaveSameTypeAs, query.Failed{})
	})
}
