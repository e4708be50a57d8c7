package dialer

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"magnoliaworks/core/query"
	"magnoliaworks/core/server"
	"magnoliaworks/io/dialer/wire"
	"magnoliaworks/io/head"
)

const (
	// maxBodyBytes bounds the body of a reply.
	maxBodyBytes = 4 << 20
	// writeTimeout bounds the writing of one request.
	writeTimeout = time.Second
	// bodyTimeout bounds the reading of a reply after its first byte.
	bodyTimeout = 2 * time.Second
)

// errMismatchedReply reports a reply whose request ID or attempt is not that of the sub-request sent last.
var errMismatchedReply = errors.New("the reply belongs to another request")

// conn is one connection to a backend server. It implements server.Conn. The buffers are reused by each exchange.
type conn struct {
	transport net.Conn
	address   string
	in        *bufio.Reader
	out       *bufio.Writer
	request   fasthttp.Request
	response  fasthttp.Response
	body      []byte
}

// Send implements server.Conn.
func (c *conn) Send(sub query.SubRequest) error {
	return c.write(SearchPath, &wire.SearchRequest{
		RequestId:      sub.RequestID,
		Attempt:        sub.Attempt,
		Snapshot:       sub.Snapshot,
		Shard:          sub.Shard,
		Kind:           sub.Kind,
		Text:           sub.Text,
		Limit:          uint32(sub.Limit),
		DeadlineMs:     remainingMs(sub.Deadline),
		IdempotencyKey: sub.IdempotencyKey,
	})
}

// Await implements server.Conn.
func (c *conn) Await(sub query.SubRequest, deadline time.Time) (server.Reply, error) {
	var reply wire.SearchReply
	if err := c.read(&reply, deadline); err != nil {
		return server.Reply{}, err
	}
	if reply.GetRequestId() != sub.RequestID || reply.GetAttempt() != sub.Attempt {
		return server.Reply{}, errors.Wrapf(errMismatchedReply, "backend server %s", c.address)
	}
	return server.Reply{
		Snapshot: reply.GetSnapshot(),
		Outcome:  outcomeOf(reply.GetOutcome()),
		Hits:     hitsOf(reply.GetHits(), sub.Shard),
		Status:   statusOf(reply.GetStatus()),
		Detail:   reply.GetDetail(),
	}, nil
}

// Probe implements server.Prober.
func (c *conn) Probe(requestID string, attempt uint32, cancel bool, deadline time.Time) (server.ProbeReply, error) {
	err := c.write(ProbePath, &wire.ProbeRequest{
		RequestId: requestID,
		Attempt:   attempt,
		Cancel:    cancel,
	})
	if err != nil {
		return server.ProbeReply{}, err
	}
	var reply wire.ProbeReply
	if err := c.read(&reply, deadline); err != nil {
		return server.ProbeReply{}, err
	}
	return server.ProbeReply{
		InProgress: reply.GetInProgress(),
		Status:     statusOf(reply.GetStatus()),
	}, nil
}

// Close implements server.Conn.
func (c *conn) Close() error { return c.transport.Close() }

// write sends a message as the body of a POST request to the path.
func (c *conn) write(path string, message proto.Message) error {
	body, err := proto.MarshalOptions{}.MarshalAppend(c.body[:0], message)
	if err != nil {
		return errors.Wrapf(err, "encode request to backend server %s", c.address)
	}
	c.body = body
	c.request.Reset()
	c.request.Header.SetMethod(fasthttp.MethodPost)
	c.request.Header.SetHost(c.address)
	c.request.Header.SetContentType(ContentType)
	c.request.SetRequestURI(path)
	c.request.SetBodyRaw(body)
	if err := c.transport.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrapf(err, "write to backend server %s", c.address)
	}
	if err := c.request.Write(c.out); err != nil {
		return errors.Wrapf(err, "write to backend server %s", c.address)
	}
	return errors.Wrapf(c.out.Flush(), "write to backend server %s", c.address)
}

// read waits until the deadline for the first byte of a reply, reads the rest within bodyTimeout and decodes it into message.
// It returns server.ErrReplyTimeout if no byte arrived by the deadline.
func (c *conn) read(message proto.Message, deadline time.Time) error {
	if err := c.transport.SetReadDeadline(deadline); err != nil {
		return errors.Wrapf(err, "read from backend server %s", c.address)
	}
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return server.ErrReplyTimeout
		}
		return errors.Wrapf(err, "read from backend server %s", c.address)
	}
	if err := c.transport.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return errors.Wrapf(err, "read from backend server %s", c.address)
	}
	if err := head.CheckStatus(c.in); err != nil {
		return errors.Wrapf(err, "read from backend server %s", c.address)
	}
	c.response.Reset()
	if err := c.response.ReadLimitBody(c.in, maxBodyBytes); err != nil {
		return errors.Wrapf(err, "read from backend server %s", c.address)
	}
	if code := c.response.StatusCode(); code != fasthttp.StatusOK {
		return errors.Errorf("backend server %s replied with HTTP status %d", c.address, code)
	}
	return errors.Wrapf(proto.Unmarshal(c.response.Body(), message), "decode reply of backend server %s", c.address)
}

// remainingMs returns the milliseconds until the deadline, at least 1.
func remainingMs(deadline time.Time) uint32 {
	return uint32(max(time.Until(deadline).Milliseconds(), 1))
}
