package shell

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/lang"
)

// explain collects from all hosts what they know about a request, backend server, host or data centre.
func (s *Shell) explain(ctx context.Context, c lang.Explain) (Output, error) {
	command := fmt.Sprintf("explain %s %q", c.Type, c.Name)
	out, err := s.collect(ctx, command, func() (Output, error) { return s.explainLocal(c), nil })
	if err == nil && len(out.Rows) == 0 {
		return Output{}, errors.Errorf("nothing is recorded about %s %q", c.Type, c.Name)
	}
	return out, err
}

// explainLocal returns what this host knows about the subject.
func (s *Shell) explainLocal(c lang.Explain) Output {
	out := newTable("at", "host", "what", "where", "cause")
	if c.Type == "query" {
		s.explainQuery(&out, c.Name)
		return out
	}
	s.explainState(&out, c)
	for _, e := range s.options.Journal.Events(c.Name) {
		out.addRow(e.At.Format(time.RFC3339Nano), s.options.Self.ID, e.What, e.Part, e.Cause)
	}
	return out
}

// explainQuery adds the steps of a request that this host handled.
func (s *Shell) explainQuery(out *Output, id string) {
	r, ok := s.options.Journal.Request(id)
	if !ok {
		return
	}
	out.addRow(r.At.UTC().Format(time.RFC3339Nano), s.options.Self.ID, "arrived", r.Collection, "kind "+r.Kind)
	for _, step := range r.Steps {
		out.addRow(r.At.Add(step.After).UTC().Format(time.RFC3339Nano), s.options.Self.ID, step.What,
			step.Shard+" "+step.Server, step.Detail)
	}
	out.addRow(r.At.Add(r.Took).UTC().Format(time.RFC3339Nano), s.options.Self.ID, r.Outcome, r.Collection, "took "+r.Took.String())
}

// explainState adds a row for the current state of the subject. For a data centre it also adds the
// changes that took it out of service or returned it.
func (s *Shell) explainState(out *Output, c lang.Explain) {
	now := time.Now().UTC().Format(time.RFC3339Nano)
	switch c.Type {
	case "server":
		for _, r := range s.options.Servers.Inspect() {
			if r.ID == c.Name {
				out.addRow(now, s.options.Self.ID, "now "+r.State, "server", r.WaitingFor)
			}
		}
	case "host":
		if m, ok := s.options.Routes.Load().View.Get(c.Name); ok {
			out.addRow(now, s.options.Self.ID, "now "+m.State.String(), "member", fmt.Sprintf("incarnation %d", m.Incarnation))
		}
	case "data_centre":
		for _, row := range s.dataCentres(s.options.Config.State()).Rows {
			if row[0] == c.Name {
				out.addRow(now, s.options.Self.ID, "now "+row[1], "config", fmt.Sprintf("%s servers, %s hosts", row[2], row[3]))
			}
		}
		s.explainDataCentreChanges(out, c.Name)
	}
}

// explainDataCentreChanges adds the audit entries that took the data centre out of service or returned it to service.
func (s *Shell) explainDataCentreChanges(out *Output, name string) {
	for _, o := range s.options.Config.State().Objects() {
		for _, e := range o.Trail {
			if e.After == "data_centre "+name+" out" || e.After == "data_centre "+name+" in" {
				out.addRow(e.At.Format(time.RFC3339Nano), s.options.Self.ID, e.After, "audit",
					fmt.Sprintf("change %s of %s: %s", e.ChangeID, e.Operator, e.Reason))
			}
		}
	}
}
