package stand

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/deploy"
	"magnoliaworks/core/query"
	"magnoliaworks/io/dialer"
)

// TestServerCountsViolations sends a server sub-requests that hosts must not send: more than a cold server can execute,
// or some that arrive long after it began to drain or its data centre went out of service.
func TestServerCountsViolations(t *testing.T) {
	cases := []struct {
		name       string
		prepare    func(s *Server)
		concurrent int
		want       Violations
	}{
		{name: "warm", prepare: func(*Server) {}, concurrent: 4, want: Violations{}},
		{name: "cold within its capacity", prepare: cold, concurrent: 2, want: Violations{}},
		{name: "cold", prepare: cold, concurrent: 3, want: Violations{ColdOverload: 1}},
		{name: "just leaving", prepare: func(s *Server) { s.SetDraining(true) }, concurrent: 1, want: Violations{}},
		{name: "leaving", prepare: longAfter(func(s *Server) { s.SetDraining(true) }), concurrent: 1, want: Violations{LeavingWork: 1}},
		{name: "taken out", prepare: longAfter(func(s *Server) { s.SetOutOfService(true) }), concurrent: 1, want: Violations{DrainedWork: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := sendConcurrently(t, c.prepare, c.concurrent)
				Convey("The log counts exactly these violations", t, func() {
					So(got, ShouldResemble, c.want)
				})
			})
		})
	}
}

func cold(s *Server) {
	if err := s.RestartCold(); err != nil {
		panic(err)
	}
}

func longAfter(change func(*Server)) func(*Server) {
	return func(s *Server) {
		change(s)
		time.Sleep(stopSendingTime + time.Second)
	}
}

// sendConcurrently sends sub-requests to a prepared server at the same time and returns the violations that its log counts.
func sendConcurrently(t *testing.T, prepare func(*Server), concurrent int) Violations {
	network := NewMemory(deploy.Delays{})
	address, err := network.ServerAddress("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	log := NewExecutionLog()
	s := NewServer(ServerSpec{
		ID:          "s",
		Address:     address,
		DataCentre:  "a",
		Slots:       2,
		Connections: 20,
		ServiceTime: 10 * time.Millisecond,
	}, network.Endpoint("a", "s"), log, 1)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	prepare(s)
	group := new(errgroup.Group)
	for i := range concurrent {
		group.Go(func() error { return search(network, address, i) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	s.Stop()
	network.Wait()
	time.Sleep(time.Minute)
	return log.Violations()
}

func search(network *Network, address string, number int) error {
	conn, err := dialer.New(network.Endpoint("a", "test").Dial).Dial(context.Background(), address)
	if err != nil {
		return err
	}
	sub := query.SubRequest{
		RequestID: fmt.Sprintf("r-%d", number),
		Snapshot:  1,
		Deadline:  time.Now().Add(time.Second),
	}
	if err := conn.Send(sub); err != nil {
		return err
	}
	_, err = conn.Await(sub, sub.Deadline)
	_ = conn.Close()
	return err
}
