package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/query"
	"magnoliaworks/core/relay"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/topo"
)

// recorder notes the messages that a listener passes on, and answers each with its body.
type recorder struct {
	mu       sync.Mutex
	messages []*query.Message
	// hold is closed when answers may go out; gone counts callers that left before.
	hold chan struct{}
	gone int
	err  error
}

// Handle implements Handler.
func (r *recorder) Handle(caller relay.Caller, m *query.Message) (relay.Answer, error) {
	r.mu.Lock()
	r.messages = append(r.messages, m)
	r.mu.Unlock()
	if r.hold != nil {
		select {
		case <-r.hold:
		case <-caller.Gone():
			r.mu.Lock()
			r.gone++
			r.mu.Unlock()
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	return relay.Passthrough{
		Reply: &query.Reply{
			Status:    200,
			Signature: "p",
			Header:    []query.HeaderField{{Name: "Content-Type", Value: "odd/type"}},
			Body:      m.Body,
		},
	}, nil
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.messages)
}

// withDoor runs a test against a listener on loopback.
func withDoor(t *testing.T, r *recorder, test func(d *Listener, address string)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ticks := timer.New()
	d := New(r, topo.NewCurrent(), ticks, hclog.NewNullLogger())
	group := new(errgroup.Group)
	group.Go(func() error { return ticks.Run(ctx) })
	group.Go(func() error { return d.Serve(l) })
	group.Go(func() error { return d.Sweep(ctx) })
	test(d, l.Addr().String())
	if err := d.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// exchange sends bytes and reads one response; open tells whether the connection stays open after it.
func exchange(t *testing.T, address, text string) (response *fasthttp.Response, open bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	response = &fasthttp.Response{}
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if err := response.Read(in); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = in.ReadByte()
	var timeout net.Error
	return response, errors.As(err, &timeout) && timeout.Timeout()
}

const fields = "Host: h.example\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 1000\r\n"

// TestDoubtfulRequestsAreRefused sends requests whose ends could be read in two ways, and some that lack what is needed.
func TestDoubtfulRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name, text string
	}{
		{name: "both lengths", text: "POST / HTTP/1.1\r\n" + fields + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{name: "two lengths", text: "POST / HTTP/1.1\r\n" + fields + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"},
		{name: "negative length", text: "POST / HTTP/1.1\r\n" + fields + "Content-Length: -4\r\n\r\n"},
		{name: "signed length", text: "POST / HTTP/1.1\r\n" + fields + "Content-Length: +4\r\n\r\nabcd"},
		{name: "bad chunk", text: "POST / HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"},
		{name: "unknown encoding", text: "POST / HTTP/1.1\r\n" + fields + "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab"},
		{name: "bare line feed", text: "GET / HTTP/1.1\r\nX-A: b\n" + fields + "\r\n"},
		{name: "space before the colon", text: "POST / HTTP/1.1\r\n" + fields + "Content-Length : 4\r\n\r\nabcd"},
		{name: "folded field", text: "GET / HTTP/1.1\r\n" + fields + "X-A: b\r\n c: d\r\n\r\n"},
		{name: "no id", text: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{name: "bad wait", text: "GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: soon\r\n\r\n"},
		{name: "no path", text: "GET * HTTP/1.1\r\n" + fields + "\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{}
			var response *fasthttp.Response
			open := true
			withDoor(t, r, func(_ *Listener, address string) { response, open = exchange(t, address, c.text) })
			Convey("The status is 400, the connection closes and nothing is passed on", t, func() {
				So(response.StatusCode(), ShouldEqual, fasthttp.StatusBadRequest)
				So(open, ShouldBeFalse)
				So(r.count(), ShouldEqual, 0)
			})
		})
	}
}

// TestMessagesArePassedOnUnchanged sends requests in several forms and looks at what is passed on.
func TestMessagesArePassedOnUnchanged(t *testing.T) {
	cases := []struct {
		name, text, head, body string
	}{
		{
			name: "path and query stay as they are", text: "GET /a/../b//c%2F?x=%20&y=+ HTTP/1.1\r\n" + fields + "X-Odd: v\r\n\r\n",
			head: "GET /a/../b//c%2F?x=%20&y=+ HTTP/1.1\r\n",
		},
		{
			name: "fields of one connection stay behind", text: "GET / HTTP/1.1\r\n" + fields + "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nTE: trailers\r\n\r\n",
			head: "GET / HTTP/1.1\r\n",
		},
		{
			name: "chunks become a length", text: "POST /p HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
			head: "POST /p HTTP/1.1\r\n", body: "abcde",
		},
		{name: "empty body", text: "POST /p HTTP/1.1\r\n" + fields + "Content-Length: 0\r\n\r\n", head: "POST /p HTTP/1.1\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{}
			var response *fasthttp.Response
			open := false
			withDoor(t, r, func(_ *Listener, address string) { response, open = exchange(t, address, c.text) })
			Convey("Line, fields and body are as sent, and the answer is the server's", t, func() {
				So(r.count(), ShouldEqual, 1)
				m := r.messages[0]
				So(string(m.Head), ShouldStartWith, c.head)
				So(string(m.Head), ShouldContainSubstring, "X-Request-Id: r-1\r\n")
				for _, hop := range []string{"X-Hop", "Te:", "Connection", "Transfer-Encoding", "X-Deadline-Ms"} {
					So(string(m.Head), ShouldNotContainSubstring, hop)
				}
				So(string(m.Body), ShouldEqual, c.body)
				So(m.Timeout, ShouldEqual, time.Second)
				So(response.StatusCode(), ShouldEqual, 200)
				So(string(response.Body()), ShouldEqual, c.body)
				So(string(response.Header.Peek("Content-Type")), ShouldEqual, "odd/type")
				So(open, ShouldBeTrue)
			})
		})
	}
}

// TestRefusalsHaveTheStatusOfTheirMeaning answers with each refusal.
func TestRefusalsHaveTheStatusOfTheirMeaning(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		status int
		retry  string
	}{
		{name: "not run", err: query.NotRun{Reason: "x", RetryAfter: 150 * time.Millisecond}, status: 503, retry: "0.150"},
		{name: "partial", err: query.Partial{}, status: 504},
		{name: "unknown", err: query.OutcomeUnknown{}, status: 502},
		{name: "no route", err: query.Invalid{}, status: 404},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var response *fasthttp.Response
			withDoor(t, &recorder{err: c.err}, func(_ *Listener, address string) {
				response, _ = exchange(t, address, "GET / HTTP/1.1\r\n"+fields+"\r\n")
			})
			Convey("Status and advised wait tell the caller what to do", t, func() {
				So(response.StatusCode(), ShouldEqual, c.status)
				So(string(response.Header.Peek("Retry-After")), ShouldEqual, c.retry)
			})
		})
	}
}

// TestBodiesOverTheOperatorsLimitAreRefused sends a body over and one at the limit.
func TestBodiesOverTheOperatorsLimitAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		length int
		status int
	}{
		{name: "at the limit", length: 10, status: 200},
		{name: "over it", length: 11, status: 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var response *fasthttp.Response
			r := &recorder{}
			withDoor(t, r, func(d *Listener, address string) {
				d.state.Update(func(s *topo.State) *topo.State {
					return s.WithConfig(topo.NewConfig(1, nil, nil, topo.Limits{MaxBodyBytes: 10}))
				})
				response, _ = exchange(t, address, "POST / HTTP/1.1\r\n"+fields+fmt.Sprintf("Content-Length: %d\r\n\r\n", c.length)+strings.Repeat("b", c.length))
			})
			Convey("The status tells it", t, func() {
				So(response.StatusCode(), ShouldEqual, c.status)
			})
		})
	}
}

// TestDoorNoticesThatACallerLeft closes a connection while its request is in progress, and sends more on another.
func TestDoorNoticesThatACallerLeft(t *testing.T) {
	r := &recorder{
		hold: make(chan struct{}),
	}
	var second *fasthttp.Response
	withDoor(t, r, func(_ *Listener, address string) {
		leaver, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = leaver.Write([]byte("GET / HTTP/1.1\r\n" + fields + "\r\n"))
		until(t, func() bool { return r.count() == 1 })
		_ = leaver.Close()
		until(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.gone == 1 })
		stayer, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stayer.Close() }()
		_, _ = stayer.Write([]byte("GET / HTTP/1.1\r\n" + fields + "\r\n"))
		until(t, func() bool { return r.count() == 2 })
		_, _ = stayer.Write([]byte("GET /next HTTP/1.1\r\n" + fields + "\r\n"))
		time.Sleep(20 * time.Millisecond)
		close(r.hold)
		in := bufio.NewReader(stayer)
		for range 2 {
			second = &fasthttp.Response{}
			if err := second.Read(in); err != nil {
				t.Fatal(err)
			}
		}
	})
	Convey("Only the caller that left is noticed, and a request sent early is read whole", t, func() {
		So(r.gone, ShouldEqual, 1)
		So(second.StatusCode(), ShouldEqual, 200)
		So(r.messages[2].Path, ShouldEqual, "/next")
	})
}

func until(t *testing.T, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not so within 10 s")
}
