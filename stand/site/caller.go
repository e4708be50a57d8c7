package site

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// chunkBytes is the length of the chunks of a request's body.
const chunkBytes = 100

// Request is a request of a caller. Method is GET if empty.
type Request struct {
	ID     string
	Method string
	Host   string
	Path   string
	// Key is the key of the caller's account, sent if not empty.
	Key string
	// Fields are further header lines, each with its CR LF.
	Fields string
	Body   string
	// Chunked sends the body in chunks instead of with a length.
	Chunked bool
	Timeout time.Duration
}

// method returns the HTTP method.
func (r Request) method() string { return cmp.Or(r.Method, "GET") }

// framedBody returns the header line that frames the body, a blank line and the body.
func (r Request) framedBody() string {
	if !r.Chunked {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	}
	var out strings.Builder
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for rest := r.Body; rest != ""; {
		n := min(len(rest), chunkBytes)
		_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	out.WriteString("0\r\n\r\n")
	return out.String()
}

// Answer is what a host answers to a caller.
type Answer struct {
	Status        int
	MissingShards int
	Signatures    []string
	Body          []byte
	// RetryAfter is the advised wait before the next attempt, in seconds with a fraction.
	RetryAfter string
	// Close is set when the host closes the connection after this answer.
	Close bool
	// Elapsed is the time that Receive waited for the answer.
	Elapsed time.Duration
}

// PromisesNotRun reports whether the status tells the caller that the request was not executed and never will be.
func (a Answer) PromisesNotRun() bool {
	switch a.Status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Caller is a caller's connection to a host.
type Caller struct {
	site   *Site
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a caller's connection to a host.
func (s *Site) Dial(address string) (*Caller, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := s.Network.Endpoint("callers", "callers").Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{
		site:   s,
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

// Close ends the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Send writes a request without waiting for its answer.
func (c *Caller) Send(request Request) error {
	c.site.keys.send(request)
	if request.Key != "" {
		request.Fields += "Authorization: Bearer " + request.Key + "\r\n"
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s",
		request.method(), request.Path, request.Host, request.ID, request.Timeout.Milliseconds(), request.Fields, request.framedBody())
	return err
}

// Receive reads the answer to a request. It gives up one second after the request's timeout.
func (c *Caller) Receive(request Request) (Answer, error) {
	started := time.Now()
	if err := c.conn.SetReadDeadline(started.Add(request.Timeout + time.Second)); err != nil {
		return Answer{}, err
	}
	var response fasthttp.Response
	response.SkipBody = request.method() == "HEAD"
	if err := response.Read(c.reader); err != nil {
		return Answer{}, err
	}
	answer := Answer{
		Status:     response.StatusCode(),
		Body:       append([]byte(nil), response.Body()...),
		RetryAfter: string(response.Header.Peek("Retry-After")),
		Close:      response.ConnectionClose(),
		Elapsed:    time.Since(started),
	}
	answer.MissingShards, _ = strconv.Atoi(string(response.Header.Peek("X-Shards-Missing")))
	if signatures := string(response.Header.Peek("X-Shard-Stamps")); signatures != "" {
		answer.Signatures = strings.Split(signatures, ", ")
	} else if signature := string(response.Header.Peek("X-Server-Stamp")); signature != "" {
		answer.Signatures = []string{signature}
	}
	return answer, nil
}

// Do sends a request and reads its answer.
func (c *Caller) Do(request Request) (Answer, error) {
	if err := c.Send(request); err != nil {
		return Answer{}, err
	}
	return c.Receive(request)
}

// Check compares an answer with the execution log and returns an error if it is incorrect. Servers must have executed the
// request as the caller sent it, whatever the answer. An answer that PromisesNotRun must mean
// that nothing was executed. With topK 0 the answer must be one server's reply, unchanged; otherwise it must be merged
// from the topK greatest records of the replies that it names. Answers with other statuses pass.
func (s *Site) Check(request Request, answer Answer, topK int) error {
	if err := s.checkExecuted(request); err != nil {
		return err
	}
	if err := s.keys.check(s.ExecutionLog, request, answer); err != nil {
		return err
	}
	switch {
	case answer.PromisesNotRun() && s.ExecutionLog.Runs(request.ID) > 0:
		return errors.Errorf("request %s was answered %d, which means not executed, but was executed %d times",
			request.ID, answer.Status, s.ExecutionLog.Runs(request.ID))
	case answer.Status != fasthttp.StatusOK:
		return nil
	case topK == 0:
		return s.checkPassthrough(request, answer)
	}
	return s.checkMerged(request, answer, topK)
}

// checkExecuted checks that servers executed the request with the method, target and body that the caller sent.
func (s *Site) checkExecuted(request Request) error {
	sent := Execution{
		Method: request.method(),
		Target: request.Path,
		Body:   request.Body,
	}
	for _, executed := range s.ExecutionLog.Executions(request.ID) {
		if executed != sent {
			return errors.Errorf("request %s was sent as %+q and executed as %+q", request.ID, sent, executed)
		}
	}
	return nil
}

// checkPassthrough checks that the answer is the signed reply of one server to this request, unchanged.
func (s *Site) checkPassthrough(request Request, answer Answer) error {
	if len(answer.Signatures) != 1 {
		return errors.Errorf("answer to %s has %d signatures, not one", request.ID, len(answer.Signatures))
	}
	reply, ok := s.ExecutionLog.reply(answer.Signatures[0])
	if request.method() == "HEAD" {
		reply.Body = nil
	}
	if !ok || reply.RequestID != request.ID || !bytes.Equal(reply.Body, answer.Body) || reply.Status != answer.Status {
		return errors.Errorf("answer to %s is not the reply that the server signed", request.ID)
	}
	return nil
}

// checkMerged checks that the body holds the topK greatest records of the signed replies, at most one of each service,
// and that these services and the missing ones form a shard set of some stored configuration.
func (s *Site) checkMerged(request Request, answer Answer, topK int) error {
	var services []string
	var records []string
	for _, signature := range answer.Signatures {
		reply, ok := s.ExecutionLog.reply(signature)
		if !ok || reply.RequestID != request.ID || reply.Status != fasthttp.StatusOK {
			return errors.Errorf("signature %q in the answer to %s is not that of a reply to it with status 200", signature, request.ID)
		}
		if slices.Contains(services, reply.Service) {
			return errors.Errorf("answer to %s has two replies of service %s", request.ID, reply.Service)
		}
		services = append(services, reply.Service)
		for rest := reply.Body; len(rest) >= 16; rest = rest[16:] {
			records = append(records, string(rest[:16]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	if want := strings.Join(records[:min(topK, len(records))], ""); want != string(answer.Body) {
		return errors.Errorf("body of the answer to %s does not hold the greatest records of its replies", request.ID)
	}
	if !s.hasShardSet(services, answer.MissingShards) {
		return errors.Errorf("services %v and %d missing shards in the answer to %s match no shard set", services, answer.MissingShards, request.ID)
	}
	return nil
}

// hasShardSet reports whether a stored configuration had a shard set of these services and missing others.
func (s *Site) hasShardSet(services []string, missing int) bool {
	s.shardSetsMu.Lock()
	defer s.shardSetsMu.Unlock()
	for _, set := range s.shardSets {
		if len(set) != len(services)+missing {
			continue
		}
		containsAll := true
		for _, service := range services {
			containsAll = containsAll && slices.Contains(set, service)
		}
		if containsAll {
			return true
		}
	}
	return false
}
