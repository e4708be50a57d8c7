package shell

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/lang"
)

// explain gathers from all hosts what they know about a query, server, host or data centre.
func (s *Shell) explain(ctx context.Context, c lang.Explain) (Output, error) {
	command := fmt.Sprintf("explain %s %q", c.Type, c.Name)
	out, err := s.gather(ctx, command, func() (Output, error) { return s.explainHere(c), nil })
	if err == nil && len(out.Rows) == 0 {
		return Output{}, errors.Errorf("nothing is recorded about %s %q", c.Type, c.Name)
	}
	return out, err
}

// explainHere returns what this host knows.
func (s *Shell) explainHere(c lang.Explain) Output {
	out := table("at", "host", "what", "where", "cause")
	if c.Type == "query" {
		s.explainQuery(&out, c.Name)
		return out
	}
	s.explainState(&out, c)
	for _, e := range s.parts.Journal.Events(c.Name) {
		out.row(e.At.Format(time.RFC3339Nano), s.parts.Self.ID, e.What, e.Part, e.Cause)
	}
	return out
}

func (s *Shell) explainQuery(out *Output, id string) {
	q, ok := s.parts.Journal.Request(id)
	if !ok {
		return
	}
	out.row(q.At.UTC().Format(time.RFC3339Nano), s.parts.Self.ID, "arrived", q.Collection, "kind "+q.Kind)
	for _, step := range q.Steps {
		out.row(q.At.Add(step.After).UTC().Format(time.RFC3339Nano), s.parts.Self.ID, step.What,
			step.Shard+" "+step.Server, step.Detail)
	}
	out.row(q.At.Add(q.Took).UTC().Format(time.RFC3339Nano), s.parts.Self.ID, q.Outcome, q.Collection, "took "+q.Took.String())
}

// explainState adds a row for the present state of the subject.
func (s *Shell) explainState(out *Output, c lang.Explain) {
	now := time.Now().UTC().Format(time.RFC3339Nano)
	switch c.Type {
	case "server":
		for _, r := range s.parts.Servers.Inspect() {
			if r.ID == c.Name {
				out.row(now, s.parts.Self.ID, "now "+r.State, "server", r.WaitingFor)
			}
		}
	case "host":
		if m, ok := s.parts.Routes.Load().View.Get(c.Name); ok {
			out.row(now, s.parts.Self.ID, "now "+m.State.String(), "member", fmt.Sprintf("incarnation %d", m.Incarnation))
		}
	case "data_centre":
		for _, row := range s.dataCentres(s.parts.Config.State()).Rows {
			if row[0] == c.Name {
				out.row(now, s.parts.Self.ID, "now "+row[1], "config", fmt.Sprintf("%s servers, %s hosts", row[2], row[3]))
			}
		}
		s.explainCentreChanges(out, c.Name)
	}
}

func (s *Shell) explainCentreChanges(out *Output, name string) {
	for _, o := range s.parts.Config.State().Objects() {
		for _, e := range o.Trail {
			if e.After == "data_centre "+name+" out" || e.After == "data_centre "+name+" in" {
				out.row(e.At.Format(time.RFC3339Nano), s.parts.Self.ID, e.After, "audit",
					fmt.Sprintf("change %s of %s: %s", e.ChangeID, e.Operator, e.Reason))
			}
		}
	}
}
