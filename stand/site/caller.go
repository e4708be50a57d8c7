package site

import (
	"bufio"
	"bytes"
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

// Request is a request of a caller.
type Request struct {
	ID      string
	Method  string
	Host    string
	Path    string
	Body    string
	Timeout time.Duration
}

// Answer is what a caller got.
type Answer struct {
	Status        int
	MissingShards int
	Signatures    []string
	Body          []byte
	// RetryAfter is the advised wait.
	RetryAfter string
	// Close is set when the host will close the connection.
	Close   bool
	Elapsed time.Duration
}

// Caller is a caller's connection to a host.
type Caller struct {
	site *Site
	conn net.Conn
	in   *bufio.Reader
}

// Dial opens a connection to a host's listener for callers.
func (s *Site) Dial(address string) (*Caller, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := s.Network.Endpoint("callers", "callers").Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{
		site: s,
		conn: conn,
		in:   bufio.NewReader(conn),
	}, nil
}

// Close ends the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Send writes a request.
func (c *Caller) Send(a Request) error {
	method := a.Method
	if method == "" {
		method = "GET"
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, a.Path, a.Host, a.ID, a.Timeout.Milliseconds(), len(a.Body), a.Body)
	return err
}

// Receive reads an answer within the wait of its request.
func (c *Caller) Receive(a Request) (Answer, error) {
	started := time.Now()
	if err := c.conn.SetReadDeadline(started.Add(a.Timeout + time.Second)); err != nil {
		return Answer{}, err
	}
	var response fasthttp.Response
	if err := response.Read(c.in); err != nil {
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
	if proofs := string(response.Header.Peek("X-Shard-Stamps")); proofs != "" {
		answer.Signatures = strings.Split(proofs, ", ")
	} else if proof := string(response.Header.Peek("X-Server-Stamp")); proof != "" {
		answer.Signatures = []string{proof}
	}
	return answer, nil
}

// Do sends a request and reads its answer.
func (c *Caller) Do(a Request) (Answer, error) {
	if err := c.Send(a); err != nil {
		return Answer{}, err
	}
	return c.Receive(a)
}

// Check compares an answer with what the servers did. It returns nil when the answer is true.
func (s *Site) Check(a Request, answer Answer, top int) error {
	switch {
	case answer.Status == fasthttp.StatusServiceUnavailable && s.ExecutionLog.Runs(a.ID) > 0:
		return errors.Errorf("request %s was refused as not run and ran %d times", a.ID, s.ExecutionLog.Runs(a.ID))
	case answer.Status != fasthttp.StatusOK:
		return nil
	case top == 0:
		return s.checkOne(a, answer)
	}
	return s.checkGathered(a, answer, top)
}

func (s *Site) checkOne(a Request, answer Answer) error {
	if len(answer.Signatures) != 1 {
		return errors.Errorf("answer to %s has %d proofs", a.ID, len(answer.Signatures))
	}
	part, ok := s.ExecutionLog.part(answer.Signatures[0])
	if !ok || part.Request != a.ID || !bytes.Equal(part.Body, answer.Body) || part.Status != answer.Status {
		return errors.Errorf("answer to %s is not the server's", a.ID)
	}
	return nil
}

func (s *Site) checkGathered(a Request, answer Answer, top int) error {
	var services []string
	var records []string
	for _, proof := range answer.Signatures {
		part, ok := s.ExecutionLog.part(proof)
		if !ok || part.Request != a.ID || part.Status != fasthttp.StatusOK {
			return errors.Errorf("proof %q in the answer to %s is of no part", proof, a.ID)
		}
		if slices.Contains(services, part.Service) {
			return errors.Errorf("answer to %s has two parts of %s", a.ID, part.Service)
		}
		services = append(services, part.Service)
		for b := part.Body; len(b) >= 16; b = b[16:] {
			records = append(records, string(b[:16]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	if want := strings.Join(records[:min(top, len(records))], ""); want != string(answer.Body) {
		return errors.Errorf("body of the answer to %s is not the greatest records of its parts", a.ID)
	}
	if !s.named(services, answer.MissingShards) {
		return errors.Errorf("parts %v and %d missing in the answer to %s are no shard set", services, answer.MissingShards, a.ID)
	}
	return nil
}

// named reports whether a configuration named a set of these services and so many others.
func (s *Site) named(services []string, missing int) bool {
	s.setsMu.Lock()
	defer s.setsMu.Unlock()
	for _, set := range s.sets {
		if len(set) != len(services)+missing {
			continue
		}
		all := true
		for _, service := range services {
			all = all && slices.Contains(set, service)
		}
		if all {
			return true
		}
	}
	return false
}
