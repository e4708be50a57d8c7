package head

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
)

// replies are the starts of replies.
var replies = []struct {
	line  string
	valid bool
}{
	{line: "HTTP/1.1 200 OK\r\n\r\n", valid: true},
	{line: "HTTP/1.0 100 Continue\r\n\r\n", valid: true},
	{line: "HTTP/1.1 503\r\n\r\n", valid: true},
	{line: "HTTP/1.1 000 OK\r\n\r\n"},
	{line: "HTTP/1.1 099 OK\r\n\r\n"},
	{line: "HTTP/1.1 0 OK\r\n\r\n"},
	{line: "HTTP/1.1 20x OK\r\n\r\n"},
	{line: "no reply, but bytes\r\n\r\n"},
	{line: "HTTP/1.1 2"},
}

// TestRepliesWithoutStatusAreInvalid guards against replies with status 000 that pass for successes.
func TestRepliesWithoutStatusAreInvalid(t *testing.T) {
	for _, r := range replies {
		Convey("A reader is checked: "+strings.TrimSpace(r.line), t, func() {
			in := bufio.NewReader(strings.NewReader(r.line))
			err := CheckStatus(in)
			So(err == nil, ShouldEqual, r.valid)
			rest, err := io.ReadAll(in)
			So(err, ShouldBeNil)
			So(string(rest), ShouldEqual, r.line)
		})
	}
}

// TestConnectionsRejectRepliesWithoutStatus reads replies whole and byte by byte, each after a request and behind a sound reply.
func TestConnectionsRejectRepliesWithoutStatus(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n000"
	for _, r := range replies {
		for _, bytewise := range []bool{false, true} {
			Convey("A connection is checked: "+strings.TrimSpace(r.line), t, func() {
				near, far := net.Pipe()
				var server errgroup.Group
				server.Go(func() error {
					for _, text := range []string{sound, r.line} {
						if _, err := io.ReadFull(far, make([]byte, len("request"))); err != nil {
							return err
						}
						if _, err := io.WriteString(far, text); err != nil {
							return nil // The client has rejected it.
						}
					}
					return far.Close()
				})
				c := NewConn(near)
				var in io.Reader = c
				if bytewise {
					in = iotest.OneByteReader(c)
				}
				_, err := io.WriteString(c, "request")
				So(err, ShouldBeNil)
				_, err = io.ReadFull(in, make([]byte, len(sound)))
				So(err, ShouldBeNil)
				_, err = io.WriteString(c, "request")
				So(err, ShouldBeNil)
				_, err = io.ReadFull(in, make([]byte, len(r.line)))
				complete := len(r.line) >= statusEnd
				So(err == nil, ShouldEqual, r.valid || !complete)
				So(near.Close(), ShouldBeNil)
				So(server.Wait(), ShouldBeNil)
			})
		}
	}
}
