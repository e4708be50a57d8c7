package server

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/query"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

// countingDialer counts the dials and the open connections of each address.
type countingDialer struct {
	mu    sync.Mutex
	dials map[string]int
	open  map[string]int
}

func newCountingDialer() *countingDialer {
	return &countingDialer{
		dials: make(map[string]int),
		open:  make(map[string]int),
	}
}

func (d *countingDialer) Dial(_ context.Context, address string) (Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dials[address]++; d.dials[address] > 100 {
		return nil, errors.New("too many dials")
	}
	d.open[address]++
	return slowConn{
		dialer:  d,
		address: address,
	}, nil
}

func (d *countingDialer) counts(address string) (dials, open int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials[address], d.open[address]
}

// longRequest is the ID of a request that is answered after three seconds, others after one.
const longRequest = "long"

// slowConn is a connection to a server that takes its time.
type slowConn struct {
	dialer  *countingDialer
	address string
}

func (slowConn) Send(query.SubRequest) error { return nil }

func (slowConn) Await(sub query.SubRequest, deadline time.Time) (Reply, error) {
	serviceTime := time.Second
	if sub.RequestID == longRequest {
		serviceTime = 3 * time.Second
	}
	if time.Until(deadline) < serviceTime {
		time.Sleep(time.Until(deadline))
		return Reply{}, ErrReplyTimeout
	}
	time.Sleep(serviceTime)
	return Reply{
		Outcome: Done,
	}, nil
}

func (slowConn) Probe(string, uint32, bool, time.Time) (ProbeReply, error) {
	return ProbeReply{
		InProgress: true,
	}, nil
}

func (c slowConn) Close() error {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	c.dialer.open[c.address]--
	return nil
}

// oneServer is a directory with one server, whose address can change.
type oneServer struct {
	mu      sync.Mutex
	address string
}

func (d *oneServer) move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.address = address
}

func (d *oneServer) Server(string) (Spec, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Spec{
		ID:             "s",
		Address:        d.address,
		Slots:          2,
		MaxConnections: 30,
		Assignment:     Home,
	}, true
}

func (d *oneServer) HomeServers() []Spec {
	spec, _ := d.Server("")
	return []Spec{spec}
}

// TestMovedServerIsClosedAtItsOldAddress moves a server to another address while two jobs run at the old one, of which one
// ends earlier.
func TestMovedServerIsClosedAtItsOldAddress(t *testing.T) {
	var dialsBefore, dialsAfter, open int
	results := make(chan query.Result, 2)
	synctest.Test(t, func(t *testing.T) {
		dialer, directory, ticks := newCountingDialer(), &oneServer{address: "old"}, timer.New()
		group := NewGroup(directory, dialer, ticks, trace.NewJournal(hclog.NewNullLogger()))
		ctx, cancel := context.WithCancel(context.Background())
		var running errgroup.Group
		running.Go(func() error { return ticks.Run(ctx) })
		running.Go(func() error { return group.Run(ctx) })
		time.Sleep(time.Second)
		warmUp(group)
		for _, id := range []string{"short", longRequest} {
			group.Submit(query.SubRequest{
				RequestID: id,
				Server:    "s",
				Deadline:  time.Now().Add(20 * time.Second),
			}, func(r query.Result) { results <- r })
		}
		time.Sleep(100 * time.Millisecond)
		dialsBefore, _ = dialer.counts("old")
		directory.move("new")
		time.Sleep(30 * time.Second)
		dialsAfter, open = dialer.counts("old")
		cancel()
		if err := running.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	})
	Convey("Both jobs end, and nothing stays open or is dialled again at the old address", t, func() {
		So(<-results, ShouldHaveSameTypeAs, query.Done{})
		So(<-results, ShouldHaveSameTypeAs, query.Done{})
		So(dialsAfter, ShouldEqual, dialsBefore)
		So(open, ShouldEqual, 0)
	})
}

// warmUp runs jobs until the server takes two at a time.
func warmUp(group *Group) {
	for range 40 {
		done := make(chan query.Result, 1)
		group.Submit(query.SubRequest{
			Server:   "s",
			Deadline: time.Now().Add(20 * time.Second),
		}, func(r query.Result) { done <- r })
		<-done
	}
}
