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
	// maxLine bounds one line of a log in bytes.
	maxLine = 1 << 20
	// contextBefore is the time before a request in which events about its servers may explain it.
	contextBefore = 5 * time.Second
)

// Merged are the lines of many hosts in the order of their time.
type Merged struct {
	Lines []Line
	// Malformed counts lines that could not be read.
	Malformed int
}

// Read adds the lines of a reader; host names who wrote lines that don't tell.
func (l *Merged) Read(r io.Reader, host string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		line, err := ParseLine(scanner.Bytes(), host)
		if err != nil {
			l.Malformed++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return errors.Wrapf(scanner.Err(), "read log of %s", host)
}

// Select returns the lines about a request, a server and a host; empty names select all.
func (l *Merged) Select(request, server, host string) []Line {
	var selected []Line
	for _, line := range l.Lines {
		if (request == "" || line.Get("request") == request) &&
			(server == "" || line.Get("server") == server || line.Get("subject") == server) &&
			(host == "" || line.Host == host) {
			selected = append(selected, line)
		}
	}
	return selected
}

// Explanation is what became of one request.
type Explanation struct {
	ID        string `json:"id"`
	Host      string `json:"host"`
	Outcome   string `json:"outcome"`
	Cause     string `json:"cause"`
	ElapsedMs string `json:"took_ms"`
	Version   string `json:"version"`
	// Steps are the decisions for the request; Around are events about its servers and the store shortly before and meanwhile.
	Steps   []Line `json:"steps"`
	Context []Line `json:"around"`
}

// Explain returns what became of a request; ok is false when no line tells of it.
func (l *Merged) Explain(id string) (r Explanation, ok bool) {
	r.ID = id
	r.Steps = l.Select(id, "", "")
	if len(r.Steps) == 0 {
		return r, false
	}
	servers := make(map[string]bool)
	for _, s := range r.Steps {
		r.Host = s.Host
		if server := s.Get("server"); server != "" {
			servers[server] = true
		}
		if s.Message == "ended" {
			r.Outcome, r.Cause = s.Get("outcome"), s.Get("cause")
			r.ElapsedMs, r.Version = s.Get("took_ms"), s.Get("version")
		}
	}
	last := r.Steps[len(r.Steps)-1].At
	for _, line := range l.Lines {
		subject := line.Get("subject")
		near := line.Host == r.Host && line.At.After(last.Add(-contextBefore)) && !line.At.After(last)
		if near && (servers[subject] || subject == "store" || subject == "configuration") {
			r.Context = append(r.Context, line)
		}
	}
	return r, true
}

// Write prints what became of a request in a few plain lines.
func (r Explanation) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s on host %s: %s after %s ms, configuration %s\n", r.ID, r.Host, r.Outcome, r.ElapsedMs, r.Version)
	if r.Cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", r.Cause)
	}
	for _, s := range r.Steps {
		if notable(s.Message) {
			fmt.Fprintf(&b, "  %8s ms  %-8s shard %s, server %s: %s (expected %s ms)\n",
				s.Get("after_ms"), s.Message, s.Get("shard"), s.Get("server"), s.Get("detail"), s.Get("expected_ms"))
		}
	}
	if len(r.Context) > 0 {
		b.WriteString("shortly before, on the same host:\n")
	}
	for _, line := range r.Context {
		fmt.Fprintf(&b, "  %s  %s: %s: %s\n", line.At.Format("15:04:05.000"), line.Get("subject"), line.Message, line.Get("cause"))
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write explanation")
}

// notable reports whether a step tells more than that a first call was made.
func notable(step string) bool { return step != "first" && step != "ended" }
