package shell

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/config"
	"magnoliaworks/core/lang"
	"magnoliaworks/core/member"
	"magnoliaworks/core/object"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/server"
	"magnoliaworks/core/trace"
)

// Runner runs requests.
type Runner interface {
	// Run returns the answer to a request, or a query.Refusal.
	Run(ctx context.Context, req query.Request) (query.Answer, error)
}

// Asker asks other hosts.
type Asker interface {
	// Ask runs a read-only command on another host and returns its text.
	Ask(ctx context.Context, to member.Member, command string) (string, error)
}

// Inspector tells the state of backend servers that this host is home of.
type Inspector interface {
	// Inspect returns the state of every backend server of this host.
	Inspect() []server.Report
}

// Options are what a shell works with.
type Options struct {
	Self    member.Member
	Runner  Runner
	Asker   Asker
	Servers Inspector
	Store   object.Store
	Config  *config.Current
	Routes  *route.CurrentTable
	Journal *trace.Journal
	NewID   func() string
}

// Shell runs commands on one host.
type Shell struct {
	parts Options
}

// New returns a shell that works with the parts.
func New(parts Options) *Shell {
	return &Shell{
		parts: parts,
	}
}

// Origin tells who gives a command and from where.
type Origin struct {
	Operator string
	From     string
}

// Run runs one command. A command that is wrong gives a *lang.Error.
func (s *Shell) Run(ctx context.Context, origin Origin, text string) (Output, error) {
	command, err := lang.Parse(text)
	if err != nil {
		return Output{}, err
	}
	switch {
	case command.Search != nil:
		return s.search(ctx, origin, *command.Search)
	case command.Show != nil:
		return s.show(ctx, *command.Show)
	case command.Explain != nil:
		return s.explain(ctx, *command.Explain)
	case command.Help != nil:
		return help(), nil
	default:
		return s.change(ctx, origin, command, text)
	}
}

// Answer implements peer.Answerer: it runs a read-only command for another host and returns JSON.
func (s *Shell) Answer(ctx context.Context, text string) (string, error) {
	command, err := lang.Parse(text)
	if err != nil {
		return "", err
	}
	switch {
	case command.Explain != nil:
		return s.explainHere(*command.Explain).JSON()
	case command.Show != nil:
		out, err := s.showHere(*command.Show)
		if err != nil {
			return "", err
		}
		return out.JSON()
	default:
		return "", errors.Errorf("command %q is not answered for other hosts", text)
	}
}

func (s *Shell) search(ctx context.Context, origin Origin, c lang.Search) (Output, error) {
	req := query.Request{
		ID:         s.parts.NewID(),
		Caller:     origin.Operator,
		Collection: c.Collection,
		Kind:       c.Kind,
		Text:       c.Text,
		Limit:      defaultLimit,
	}
	for _, o := range c.Options {
		req = withOption(req, *o)
	}
	answer, err := s.parts.Runner.Run(ctx, req)
	if err != nil {
		return Output{}, errors.Wrapf(err, "request %s", req.ID)
	}
	out := table("hit", "score", "shard", "title")
	out.Text = answerText(answer)
	for _, h := range answer.Hits {
		out.row(h.ID, number(h.Score), h.Shard, h.Title)
	}
	return out, nil
}

// defaultLimit is the number of hits of a search that names none.
const defaultLimit = 10

func withOption(req query.Request, o lang.SearchWith) query.Request {
	switch {
	case o.Limit != nil:
		req.Limit = *o.Limit
	case o.Key != nil:
		req.IdempotencyKey = *o.Key
	case o.Caller != nil:
		req.Caller = *o.Caller
	case o.Deadline != nil:
		req.Timeout = time.Duration(*o.Deadline)
	}
	return req
}

func help() Output {
	out := table("command")
	for _, line := range strings.Split(strings.TrimSpace(forms), "\n") {
		out.row(strings.TrimSpace(line))
	}
	return out
}

const forms = `
search COLLECTION KIND "TEXT" [limit N] [key "K"] [caller "C"] [deadline 250ms]
take out data_centre|host|server NAME [force] [because "REASON"] [dry_run]
bring in data_centre|host|server NAME [because "REASON"] [dry_run]
set kind COLLECTION KIND deadline|min_coverage|priority|max_hits VALUE [because "REASON"] [dry_run]
set budget hedge|retry|cross SHARE [because "REASON"] [dry_run]
put collection "JSON" [because "REASON"] [dry_run]
show hosts|servers|data_centres|collections|kinds|budgets|changes|audit|events [NAME]
explain query|server|host|data_centre NAME
help
`
