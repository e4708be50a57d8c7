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
	// Run returns the answer to a request; the error is a query.Refusal.
	Run(ctx context.Context, req query.Request) (query.Answer, error)
}

// Asker sends commands to other hosts.
type Asker interface {
	// Ask runs a read-only command on another host and returns its output as JSON.
	Ask(ctx context.Context, to member.Member, command string) (string, error)
}

// Inspector reports the state of the backend servers whose home is this host, which manages their connections and queues.
type Inspector interface {
	// Inspect returns the state of each of these servers, ordered by ID.
	Inspect() []server.Report
}

// Options are the dependencies of a Shell.
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
	options Options
}

// New returns a shell with the given dependencies.
func New(options Options) *Shell {
	return &Shell{
		options: options,
	}
}

// Origin states which operator issued a command, and from where.
type Origin struct {
	Operator string
	From     string
}

// Run runs one command. For a command that does not parse, the error is a *lang.Error.
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

// Answer implements peer.Answerer: it runs a read-only command for another host and returns the output as JSON.
func (s *Shell) Answer(ctx context.Context, text string) (string, error) {
	command, err := lang.Parse(text)
	if err != nil {
		return "", err
	}
	switch {
	case command.Explain != nil:
		return s.explainLocal(*command.Explain).JSON()
	case command.Show != nil:
		out, err := s.showLocal(*command.Show)
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
		ID:         s.options.NewID(),
		Caller:     origin.Operator,
		Collection: c.Collection,
		Kind:       c.Kind,
		Text:       c.Text,
		Limit:      defaultLimit,
	}
	for _, o := range c.Options {
		req = withOption(req, *o)
	}
	answer, err := s.options.Runner.Run(ctx, req)
	if err != nil {
		return Output{}, errors.Wrapf(err, "request %s", req.ID)
	}
	out := newTable("hit", "score", "shard", "title")
	out.Text = answerText(answer)
	for _, h := range answer.Hits {
		out.addRow(h.ID, formatNumber(h.Score), h.Shard, h.Title)
	}
	return out, nil
}

// defaultLimit is the largest number of hits of a search that sets no limit.
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
	out := newTable("command")
	for _, line := range strings.Split(strings.TrimSpace(commandForms), "\n") {
		out.addRow(strings.TrimSpace(line))
	}
	return out
}

// commandForms lists the form of each command, one a line.
const commandForms = `
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
