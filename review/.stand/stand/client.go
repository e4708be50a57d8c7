package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// answer is a host's answer to a request.
type answer struct {
	status     int
	stamp      string
	retryAfter time.Duration
	body       string
	// closed is set if the connection ended before a complete answer, and sent if the whole request had been sent before.
	closed, sent bool
}

// String returns the answer for the record.
func (a answer) String() string {
	switch {
	case a.closed:
		return "connection ended without a complete answer"
	case a.stamp == "":
		return strconv.Itoa(a.status)
	default:
		return fmt.Sprintf("%d, stamp %s", a.status, a.stamp)
	}
}

// request returns the bytes of a request.
func request(method, hostName, path, id string, timeout time.Duration, fields, body string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s",
		method, path, hostName, id, timeout.Milliseconds(), fields)
	if body != "" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n" + body)
	return out.Bytes()
}

// errNotConnected reports that no connection was opened, so that nothing was sent.
var errNotConnected = errors.New("no connection")

// roundTrip sends a request on a new connection and reads its answer.
func roundTrip(address string, message []byte, timeout time.Duration) (answer, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}, errNotConnected
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(message); err != nil {
		return answer{closed: true}, nil
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return failure(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return failure(err)
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{
		status:     response.StatusCode,
		stamp:      response.Header.Get("X-Server-Stamp"),
		retryAfter: time.Duration(seconds * float64(time.Second)),
		body:       string(body),
		sent:       true,
	}, nil
}

// failure returns an error if the time limit of the client has passed, and otherwise the end of the connection.
func failure(err error) (answer, error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return answer{}, errors.New("no answer before the time limit")
	}
	return answer{
		closed: true,
		sent:   true,
	}, nil
}
