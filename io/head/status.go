// Package head checks the status lines of HTTP replies. For a reply whose status is 000, fasthttp reports 200.
package head

import (
	"bufio"
	"bytes"
	"net"

	"github.com/pkg/errors"
)

const (
	// protocol starts each status line. It is followed by a digit, a space and the status.
	protocol = "HTTP/1."
	// statusStart is the index of the status in a status line, and statusEnd that behind it.
	statusStart = len(protocol) + 2
	statusEnd   = statusStart + 3
)

// CheckStatus waits for the status line of the next reply, which it leaves in the reader, and returns an error unless its status is
// between 100 and 999.
func CheckStatus(in *bufio.Reader) error {
	line, err := in.Peek(statusEnd)
	if err != nil {
		return errors.Wrap(err, "read status of reply")
	}
	return check(line)
}

// check returns an error unless the first bytes of a reply give a status between 100 and 999.
func check(line []byte) error {
	status := line[statusStart:statusEnd]
	if !bytes.HasPrefix(line, []byte(protocol)) || status[0] < '1' || status[0] > '9' || !isDigit(status[1]) || !isDigit(status[2]) {
		return errors.Errorf("%q starts no reply with a valid status", line[:statusEnd])
	}
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// Conn is a connection on which each request is written whole before its reply is read, such as those of fasthttp.HostClient. A read
// fails if it brings the start of a reply without a valid status.
type Conn struct {
	net.Conn
	// start holds the first bytes of the reply to the request written last, up to statusEnd.
	start []byte
}

// NewConn returns a checked connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.start = c.start[:0]
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if missing := statusEnd - len(c.start); missing > 0 {
		c.start = append(c.start, p[:min(n, missing)]...)
		if len(c.start) == statusEnd {
			if invalid := check(c.start); invalid != nil {
				return 0, invalid
			}
		}
	}
	return n, err
}
