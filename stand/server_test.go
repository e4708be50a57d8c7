package stand

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/plan"
	"magnoliaworks/core/query"
	"magnoliaworks/io/dialer"
)

// TestRecordCountsWorkThatShouldNotCome gives a stand-in work that no host should give it.
func TestRecordCountsWorkThatShouldNotCome(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(s *Server)
		atOnce  int
		want    Violations
	}{
		{name: "warm", prepare: func(*Server) {}, atOnce: 4, want: Violations{}},
		{name: "cold within its means", prepare: cold, atOnce: 2, want: Violations{}},
		{name: "cold", prepare: cold, atOnce: 3, want: Violations{ColdOverload: 1}},
		{name: "just leaving", prepare: func(s *Server) { s.SetDraining(true) }, atOnce: 1, want: Violations{}},
		{name: "leaving", prepare: after(func(s *Server) { s.SetDraining(true) }), atOnce: 1, want: Violations{LeavingWork: 1}},
		{name: "taken out", prepare: after(func(s *Server) { s.SetOutOfService(true) }), atOnce: 1, want: Violations{DrainedWork: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := give(t, c.prepare, c.atOnce)
				Convey("The record counts exactly that", t, func() {
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

func after(change func(*Server)) func(*Server) {
	return func(s *Server) {
		change(s)
		time.Sleep(noticeTime + time.Second)
	}
}

// give sends atOnce sub-requests straight to a stand-in and returns what its record says.
func give(t *testing.T, prepare func(*Server), atOnce int) Violations {
	network := NewMemory(plan.Delays{})
	address, err := network.ServerAddress("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	record := NewExecutionLog()
	s := NewServer(ServerSpec{
		ID:          "s",
		Address:     address,
		DataCentre:  "a",
		Slots:       2,
		Connections: 20,
		ServiceTime: 10 * time.Millisecond,
	}, network.Endpoint("a", "s"), record, 1)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	prepare(s)
	group := new(errgroup.Group)
	for i := range atOnce {
		group.Go(func() error { return search(network, address, i) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	s.Stop()
	network.Wait()
	time.Sleep(time.Minute)
	return record.Violations()
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
