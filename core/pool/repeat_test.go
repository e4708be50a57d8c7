package pool

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/query"
)

// refusingConn refuses each message, and counts those that it gets again.
type refusingConn struct {
	fakeConn
	dialer  *refusingDialer
	carried map[string]bool
}

func (c *refusingConn) Send(m *query.Message, _ string, _ time.Time) error {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	if c.carried[m.ID] {
		c.dialer.twice++
	}
	c.carried[m.ID] = true
	c.sent <- struct{}{}
	return nil
}

func (c *refusingConn) Receive(*query.Message, string) (Reply, error) {
	return Reply{
		Result: query.NotExecuted{
			Cause: query.Busy,
		},
	}, nil
}

// refusingDialer opens refusingConns until it has opened limit; 0 means no limit. twice counts the messages that a connection got
// again.
type refusingDialer struct {
	mu     sync.Mutex
	limit  int
	opened int
	twice  int
}

func (d *refusingDialer) Dial(context.Context, string) (Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limit > 0 && d.opened >= d.limit {
		return nil, errors.New("no further connection is accepted")
	}
	d.opened++
	return &refusingConn{
		fakeConn: fakeConn{
			sent:   make(chan struct{}, 1),
			closed: make(chan struct{}),
		},
		dialer:  d,
		carried: make(map[string]bool),
	}, nil
}

// repeatOn submits a message to the server again and again, and returns the results.
func repeatOn(p *Pool, directory fakeDirectory, message *query.Message, times int) []query.Result {
	var results []query.Result
	var earlier []*Call
	for range times {
		result := make(chan query.Result, 1)
		call := newCall(func(r query.Result) { result <- r })
		call.Message, call.Earlier, call.Deadline = message, earlier, time.Now().Add(10*time.Second)
		p.Submit(directory.server(), call)
		select {
		case r := <-result:
			results = append(results, r)
		case <-time.After(5 * time.Second):
			return results
		}
		earlier = append(earlier, call)
	}
	return results
}

// TestMessageGoesOnceOnAConnection guards against a request that runs twice: a server that refused a message may send a late copy of
// the refusal on the connection, which passes for the reply to the message's next call there.
func TestMessageGoesOnceOnAConnection(t *testing.T) {
	cases := []struct {
		name        string
		connections int
		limit       int
		refused     int
	}{
		{
			name:        "several connections",
			connections: 30,
			refused:     4,
		},
		{
			name:        "one connection for each host",
			connections: 2,
			refused:     4,
		},
		{
			name:        "a server that accepts no further connection",
			connections: 30,
			limit:       2,
			refused:     2,
		},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			d := &refusingDialer{
				limit: c.limit,
			}
			directory := fakeDirectory{
				connections: c.connections,
			}
			p, stop := runPool(d, directory)
			results := repeatOn(p, directory, &query.Message{ID: "7"}, 4)
			So(stop(), ShouldBeNil)
			So(results, ShouldHaveLength, 4)
			refused := 0
			for _, r := range results {
				if r.(query.NotExecuted).Cause == query.Busy {
					refused++
				}
			}
			So(refused, ShouldEqual, c.refused)
			So(d.twice, ShouldEqual, 0)
		})
	}
}
