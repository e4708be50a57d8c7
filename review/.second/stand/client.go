package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// result is what a client saw of a request: the status, or 0 if the connection ended without a complete answer.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// probe asks a readiness address, as the platform does.
func probe(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && response.StatusCode == 200
}

// send sends a request on a new connection and waits for the answer, for half a second more than the time limit.
func send(address, method, host, path, id string, body []byte, limit time.Duration) result {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	r := exchange(c, bufio.NewReader(c), method, host, path, id, body, limit)
	r.took = time.Since(began)
	return r
}

// exchange sends a request on a connection and reads the answer.
func exchange(c net.Conn, in *bufio.Reader, method, host, path, id string, body []byte, limit time.Duration) result {
	_ = c.SetDeadline(time.Now().Add(limit + 500*time.Millisecond))
	length := ""
	if len(body) > 0 || method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		method, path, host, id, limit.Milliseconds(), length, body)
	if err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return result{err: err}
	}
	return result{
		status: response.StatusCode,
		header: response.Header,
		body:   data,
	}
}
