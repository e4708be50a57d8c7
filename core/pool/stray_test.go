package pool

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/query"
)

// strayConn has bytes to read as soon as a call is assigned to it, before its message is sent.
type strayConn struct {
	fakeConn
	sends *atomic.Int64
}

func (c *strayConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		c.fakeConn.sent <- struct{}{}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (c *strayConn) Send(*query.Message, string, time.Time) error {
	c.sends.Add(1)
	return nil
}

// TestBytesBeforeTheMessageBelongToNoCall lets bytes arrive between the assignment of a call and the sending of its message.
// They can't be its reply.
func TestBytesBeforeTheMessageBelongToNoCall(t *testing.T) {
	Convey("The call ends as not executed, and its message is not sent on that connection", t, func() {
		var sends atomic.Int64
		p, stop := runPool(dialFunc(func() Conn {
			return &strayConn{
				fakeConn: fakeConn{sent: make(chan struct{}, 1), closed: make(chan struct{})},
				sends:    &sends,
			}
		}), fakeDirectory{connections: 30})
		results := make(chan query.Result, 2)
		p.Submit(fakeDirectory{}.server(), newCall(func(r query.Result) { results <- r }))
		So(<-results, ShouldHaveSameTypeAs, query.NotExecuted{})
		So(sends.Load(), ShouldEqual, 0)
		So(stop(), ShouldBeNil)
		So(results, ShouldBeEmpty)
	})
}

// errClosedByServer is the error of reading from a connection that the server has closed.
var errClosedByServer = errors.New("closed by the server")

// endingConn is closed by the server while it is idle. Before the pool has dropped it, ended is called.
type endingConn struct {
	fakeConn
	ended func()
}

func (c *endingConn) Close() error {
	if c.ended != nil {
		ended := c.ended
		c.ended = nil
		ended()
	}
	return c.fakeConn.Close()
}

func (c *endingConn) WaitReadable() error {
	if c.ended != nil {
		return errClosedByServer
	}
	return c.fakeConn.WaitReadable()
}

// TestNoCallGoesToAnEndedConnection submits a call after the reader of an idle connection has ended, and before the connection
// is dropped. Nobody would read the reply.
func TestNoCallGoesToAnEndedConnection(t *testing.T) {
	Convey("The call gets a reply on another connection, before its deadline", t, func() {
		directory := fakeDirectory{connections: 2} // one for this host
		results := make(chan query.Result, 1)
		var p *Pool
		var opened atomic.Int64
		submitted := make(chan struct{})
		ready := make(chan struct{})
		p, stop := runPool(dialFunc(func() Conn {
			c := &endingConn{fakeConn: fakeConn{sent: make(chan struct{}, 1), closed: make(chan struct{})}}
			if opened.Add(1) == 1 {
				c.ended = func() {
					<-ready
					p.Submit(directory.server(), newCall(func(r query.Result) { results <- r }))
					close(submitted)
				}
			}
			return c
		}), directory)
		close(ready)
		<-submitted
		var result query.Result
		select {
		case result = <-results:
		case <-time.After(10 * time.Second):
		}
		So(result, ShouldHaveSameTypeAs, query.Done{})
		So(stop(), ShouldBeNil)
	})
}
