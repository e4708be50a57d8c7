package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"magnoliaworks/stand"
)

// replica is a stand-in of a replica. It reads one request after the other from each connection and answers as handle says.
type replica struct {
	rig      *rig
	id       string
	service  string
	address  string
	slots    int
	sequence int
	handle   func(p *replica, c *replicaConn, q request) (keep bool)

	listener net.Listener

	mu    sync.Mutex
	runs  map[string]int
	conns map[net.Conn]bool
}

// replicaConn is a connection to a replica.
type replicaConn struct {
	net.Conn
	reader *bufio.Reader
	number int
	// extra is sent where the next answer is expected.
	extra []byte
}

// request is a request as it came.
type request struct {
	method, target string
	head           string
	header         map[string]string
	body           []byte
	id             string
	deadline       time.Duration
}

// startReplica starts a replica and registers it as ready.
func (r *rig) startReplica(service, id string, slots int, handle func(*replica, *replicaConn, request) bool) (*replica, error) {
	address, err := stand.FreeAddress()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &replica{
		rig:     r,
		id:      id,
		service: service,
		address: address,
		slots:   slots,
		handle:  handle,
		runs:    make(map[string]int),
		conns:   make(map[net.Conn]bool),

		listener: l,
	}
	r.tasks.Go(func() error {
		for number := 1; ; number++ {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			conn := &replicaConn{
				Conn:   c,
				reader: bufio.NewReaderSize(c, 64<<10),
				number: number,
			}
			p.mu.Lock()
			p.conns[c] = true
			p.mu.Unlock()
			r.tasks.Go(func() error {
				p.serve(conn)
				return nil
			})
		}
	})
	r.register(p, "ready")
	return p, nil
}

func (p *replica) serve(c *replicaConn) {
	defer func() { _ = c.Close() }()
	for {
		q, err := readRequest(c.reader)
		if err != nil {
			return
		}
		if c.extra != nil {
			p.rig.record.write("replica %s connection %d: extra copy of an earlier answer", p.id, c.number)
			extra := c.extra
			c.extra = nil
			if _, err := c.Write(extra); err != nil {
				return
			}
		}
		if q.header["x-expect-instance"] != p.id {
			if _, err := c.Write(answer(421, q.id, "X-Not-Executed: 1\r\nX-Instance-Id: "+p.id+"\r\n", nil)); err != nil {
				return
			}
			continue
		}
		if !p.handle(p, c, q) {
			return
		}
	}
}

// exit ends the replica with all that it works on.
func (p *replica) exit() {
	p.rig.record.write("replica %s exits", p.id)
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// run records that the replica begins to work on a request.
func (p *replica) run(c *replicaConn, q request) {
	p.mu.Lock()
	p.runs[q.id]++
	p.mu.Unlock()
	p.rig.record.write("replica %s connection %d: runs %s", p.id, c.number, q.id)
}

// stamp is the header line by which the replica signs an answer.
func (p *replica) stamp(id string) string { return "X-Server-Stamp: " + p.id + "." + id + "\r\n" }

// readRequest reads a request with its body.
func readRequest(in *bufio.Reader) (request, error) {
	q := request{
		header: make(map[string]string),
	}
	var head strings.Builder
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return q, err
		}
		head.WriteString(line)
		line = strings.TrimRight(line, "\r\n")
		if first {
			q.method, q.target, _ = strings.Cut(line, " ")
			q.target, _, _ = strings.Cut(q.target, " HTTP/")
			continue
		}
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		q.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	q.head, q.id = head.String(), q.header["x-request-id"]
	if ms, err := strconv.Atoi(q.header["x-deadline-ms"]); err == nil {
		q.deadline = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(q.header["content-length"]); err == nil {
		q.body = make([]byte, n)
		if _, err := io.ReadFull(in, q.body); err != nil {
			return q, err
		}
	}
	return q, nil
}

// answer returns an answer with a length.
func answer(status int, id, fields string, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
}
