package logs

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds one line of a log. A longer line ends the reading with an error.
	maxLineBytes = 1 << 20
	// contextBefore is the time before the last step of a request in which events about its servers may explain it.
	contextBefore = 5 * time.Second
)

// Merged holds the lines of many hosts, ordered by time.
type Merged struct {
	Lines []Line
	// Malformed counts lines that could not be parsed.
	Malformed int
}

// Read adds the lines of one log; host is the host of lines that do not name one. Malformed lines are counted and skipped.
// It returns an error if r cannot be read to its end; the lines before the error are kept.
func (m *Merged) Read(r io.Reader, host string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		line, err := ParseLine(scanner.Bytes(), host)
		if err != nil {
			m.Malformed++
			continue
		}
		m.Lines = append(m.Lines, line)
	}
	slices.SortStableFunc(m.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return errors.Wrapf(scanner.Err(), "read log of %s", host)
}

// Select returns the lines that match the request, the server and the host; an empty argument matches all lines.
// A server matches as the target of a step or as the subject of an event.
func (m *Merged) Select(request, server, host string) []Line {
	var selected []Line
	for _, line := range m.Lines {
		if (request == "" || line.Get("request") == request) &&
			(server == "" || line.Get("server") == server || line.Get("subject") == server) &&
			(host == "" || line.Host == host) {
			selected = append(selected, line)
		}
	}
	return selected
}

// Explanation is the outcome of one request and the log lines that led to it.
type Explanation struct {
	ID        string `json:"id"`
	Host      string `json:"host"`
	Outcome   string `json:"outcome"`
	Cause     string `json:"cause"`
	ElapsedMs string `json:"took_ms"`
	Version   string `json:"version"`
	// Account is the client account of the request; empty if the configuration names none.
	Account string `json:"account,omitempty"`
	// Steps are the lines about the request: decisions and its end. Context holds the events about its servers, the store
	// and the configuration on the same host, from contextBefore before the last step up to that step.
	Steps   []Line `json:"steps"`
	Context []Line `json:"around"`
}

// Explain returns the explanation of a request; ok is false when no line is about it.
func (m *Merged) Explain(id string) (e Explanation, ok bool) {
	e.ID = id
	e.Steps = m.Select(id, "", "")
	if len(e.Steps) == 0 {
		return e, false
	}
	servers := make(map[string]bool)
	for _, s := range e.Steps {
		e.Host = s.Host
		if server := s.Get("server"); server != "" {
			servers[server] = true
		}
		if s.Message == "ended" {
			e.Outcome, e.Cause = s.Get("outcome"), s.Get("cause")
			e.ElapsedMs, e.Version = s.Get("took_ms"), s.Get("version")
			e.Account = s.Get("account")
		}
	}
	last := e.Steps[len(e.Steps)-1].At
	for _, line := range m.Lines {
		subject := line.Get("subject")
		related := line.Host == e.Host && line.At.After(last.Add(-contextBefore)) && !line.At.After(last)
		if related && (servers[subject] || subject == "store" || subject == "configuration") {
			e.Context = append(e.Context, line)
		}
	}
	return e, true
}

// Write prints the explanation as text, without first attempts and the line about the end of the request.
func (e Explanation) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s on host %s: %s after %s ms, configuration %s\n", e.ID, e.Host, e.Outcome, e.ElapsedMs, e.Version)
	if e.Account != "" {
		fmt.Fprintf(&b, "account: %s\n", e.Account)
	}
	if e.Cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", e.Cause)
	}
	for _, s := range e.Steps {
		if notable(s.Message) {
			fmt.Fprintf(&b, "  %8s ms  %-8s shard %s, server %s: %s (expected %s ms)\n",
				s.Get("after_ms"), s.Message, s.Get("shard"), s.Get("server"), s.Get("detail"), s.Get("expected_ms"))
		}
	}
	if len(e.Context) > 0 {
		b.WriteString("shortly before, on the same host:\n")
	}
	for _, line := range e.Context {
		fmt.Fprintf(&b, "  %s  %s: %s: %s\n", line.At.Format("15:04:05.000"), line.Get("subject"), line.Message, line.Get("cause"))
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write explanation")
}

// notable reports whether Write prints a step. A first attempt is expected on each shard, and the end is in the heading.
func notable(step string) bool { return step != "first" && step != "ended" }
