package dialer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"magnoliaworks/core/query"
	"magnoliaworks/core/server"
	"magnoliaworks/io/dialer/wire"
)

// serveReply answers one request with a status and an empty result of the search.
func serveReply(c net.Conn, status string) error {
	var request fasthttp.Request
	if err := request.Read(bufio.NewReader(c)); err != nil {
		return err
	}
	body, err := proto.Marshal(&wire.SearchReply{
		RequestId: "r",
		Outcome:   wire.Outcome_OUTCOME_DONE,
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, ContentType, len(body), body)
	return err
}

// TestOnlyStatus200IsAReply guards against replies of a server in trouble that reach callers as answers, such as one with status 000.
func TestOnlyStatus200IsAReply(t *testing.T) {
	cases := []struct {
		status string
		valid  bool
	}{
		{status: "200 OK", valid: true},
		{status: "000 OK"},
		{status: "000"},
		{status: "500 Error"},
	}
	for _, c := range cases {
		Convey("A reply with status "+c.status, t, func() {
			var servers errgroup.Group
			d := New(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				servers.Go(func() error { return serveReply(far, c.status) })
				return near, nil
			})
			conn, err := d.Dial(context.Background(), "server")
			So(err, ShouldBeNil)
			So(conn.Send(query.SubRequest{RequestID: "r", Deadline: time.Now().Add(time.Second)}), ShouldBeNil)
			reply, err := conn.Await(query.SubRequest{RequestID: "r"}, time.Now().Add(10*time.Second))
			So(err == nil, ShouldEqual, c.valid)
			So(reply.Outcome == server.Done, ShouldEqual, c.valid)
			So(conn.Close(), ShouldBeNil)
			So(servers.Wait(), ShouldBeNil)
		})
	}
}
