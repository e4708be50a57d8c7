package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/audit"
	"magnoliaworks/core/config"
	"magnoliaworks/core/lang"
	"magnoliaworks/core/lang/near"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/server"
)

// askTimeout bounds the wait for each host's answer.
const askTimeout = 2 * time.Second

// ShowWords are the parts of the state that can be shown.
var ShowWords = []string{"hosts", "servers", "data_centres", "collections", "kinds", "budgets", "changes", "audit", "events", "versions"}

// show lists a part of the state; parts that each host knows alone are gathered from all hosts.
func (s *Shell) show(ctx context.Context, c lang.Show) (Output, error) {
	switch c.What {
	case "servers", "events":
		return s.gather(ctx, fmt.Sprintf("show %s %q", c.What, c.Name), func() (Output, error) { return s.showHere(c) })
	case "changes":
		return s.changes(ctx)
	default:
		return s.showHere(c)
	}
}

// showHere lists what this host knows.
func (s *Shell) showHere(c lang.Show) (Output, error) {
	state := s.parts.Config.State()
	switch c.What {
	case "hosts":
		return s.hosts(), nil
	case "servers":
		return s.servers(c.Name), nil
	case "data_centres":
		return s.dataCentres(state), nil
	case "collections":
		return collections(state), nil
	case "kinds":
		return kinds(state, c.Name), nil
	case "budgets":
		return budgets(state), nil
	case "audit":
		return auditTrail(state, c.Name), nil
	case "events":
		return s.events(c.Name), nil
	case "versions":
		return versions(state), nil
	default:
		return Output{}, unknownWord(c.What)
	}
}

func unknownWord(word string) error {
	nearest, _ := near.Find(word, ShowWords)
	return &lang.Error{
		Column:  len("show ") + 1,
		Reason:  fmt.Sprintf("%q is nothing that can be shown", word),
		Nearest: nearest,
	}
}

func (s *Shell) hosts() Output {
	out := table("host", "data_centre", "state", "address", "incarnation")
	for _, m := range s.parts.Routes.Load().View.Members() {
		out.row(m.ID, m.DataCentre, m.State.String(), m.Address, strconv.FormatUint(m.Incarnation, 10))
	}
	return out
}

func (s *Shell) servers(name string) Output {
	out := table("server", "home", "state", "limit", "in_progress", "queued", "usual_ms")
	for _, r := range s.parts.Servers.Inspect() {
		if name != "" && r.ID != name {
			continue
		}
		out.row(serverRow(s.parts.Self, r)...)
	}
	return out
}

func serverRow(self member.Member, r server.Report) []string {
	return []string{
		r.ID, self.ID, r.State,
		fmt.Sprintf("%d/%d", r.Limit, r.Slots),
		strconv.Itoa(r.InProgress),
		strconv.Itoa(r.Queued),
		number(float64(r.UsualServiceTime.Microseconds()) / 1000),
	}
}

func (s *Shell) dataCentres(state config.State) Output {
	out := table("data_centre", "state", "servers", "hosts")
	servers, hosts := make(map[string]int), make(map[string]int)
	for _, c := range state.Collections() {
		for _, service := range c.Services {
			for _, r := range service.Replicas {
				servers[r.DataCentre]++
			}
		}
	}
	for _, m := range s.parts.Routes.Load().View.Available() {
		hosts[m.DataCentre]++
	}
	for _, name := range sortedKeys(servers) {
		place := config.Place{
			Type: config.DataCentrePlace,
			Name: name,
		}
		out.row(name, inOrOut(state.Fleet().IsOutOfService(place)), strconv.Itoa(servers[name]), strconv.Itoa(hosts[name]))
	}
	return out
}

func collections(state config.State) Output {
	out := table("collection", "services", "replicas", "kinds", "snapshot", "version")
	for _, c := range state.Collections() {
		replicas := 0
		for _, service := range c.Services {
			replicas += len(service.Replicas)
		}
		ix, _ := state.Index(c.Name)
		newest, _ := ix.Newest()
		out.row(c.Name, strconv.Itoa(len(c.Services)), strconv.Itoa(replicas), strconv.Itoa(len(c.Kinds)),
			strconv.FormatUint(newest.Version, 10), strconv.FormatUint(state.Version(config.CollectionScope(c.Name)), 10))
	}
	return out
}

func kinds(state config.State, collection string) Output {
	out := table("collection", "kind", "deadline", "min_coverage", "idempotence", "priority", "fanout", "hedging", "ledger")
	for _, c := range state.Collections() {
		if collection != "" && c.Name != collection {
			continue
		}
		for _, k := range c.Kinds {
			out.row(c.Name, k.Name, k.Deadline.String(), number(k.MinCoverage), string(k.Idempotence),
				strconv.Itoa(k.Priority), string(k.Fanout), string(k.Hedging), string(k.Ledger))
		}
	}
	return out
}

func budgets(state config.State) Output {
	out := table("budget", "share")
	b := state.Fleet().Budgets
	out.row("hedge", number(b.Hedge))
	out.row("retry", number(b.Retry))
	out.row("cross", number(b.Cross))
	return out
}

func auditTrail(state config.State, operator string) Output {
	out := table("at", "change", "scope", "version", "operator", "from", "command", "before", "after", "reason")
	for _, o := range state.Objects() {
		for _, e := range o.Trail.Select(audit.Filter{Operator: operator}) {
			out.row(e.At.Format(time.RFC3339Nano), e.ChangeID, o.Scope, strconv.FormatUint(e.Version, 10),
				e.Operator, e.From, e.Command, e.Before, e.After, e.Reason)
		}
	}
	sort.SliceStable(out.Rows, func(i, j int) bool { return out.Rows[i][0] < out.Rows[j][0] })
	return out
}

func (s *Shell) events(subject string) Output {
	out := table("at", "host", "part", "subject", "what", "cause")
	for _, e := range s.parts.Journal.Events(subject) {
		out.row(e.At.Format(time.RFC3339Nano), s.parts.Self.ID, e.Part, e.Subject, e.What, e.Cause)
	}
	return out
}

func versions(state config.State) Output {
	out := table("scope", "version")
	for _, v := range state.Versions() {
		out.row(v.Scope, strconv.FormatUint(v.Version, 10))
	}
	return out
}

// changes lists the last change of each scope with the hosts in which it is not in force yet.
func (s *Shell) changes(ctx context.Context) (Output, error) {
	answers := s.askAll(ctx, "show versions")
	state := s.parts.Config.State()
	out := table("scope", "version", "change", "in_force_on", "missing")
	for _, o := range state.Objects() {
		in, missing := 1, ""
		for _, a := range answers {
			if a.err == nil && versionIn(a.out, o.Scope) >= o.Version {
				in++
				continue
			}
			missing += " " + a.host
		}
		change := ""
		if len(o.Trail) > 0 {
			change = o.Trail[len(o.Trail)-1].ChangeID
		}
		out.row(o.Scope, strconv.FormatUint(o.Version, 10), change, fmt.Sprintf("%d of %d", in, len(answers)+1), missing)
	}
	return out, nil
}

func versionIn(out Output, scope string) uint64 {
	for _, row := range out.Rows {
		if row[0] == scope {
			v, _ := strconv.ParseUint(row[1], 10, 64)
			return v
		}
	}
	return 0
}

// hostAnswer is one host's answer to a command.
type hostAnswer struct {
	host string
	out  Output
	err  error
}

// askAll asks all other live hosts at once.
func (s *Shell) askAll(ctx context.Context, command string) []hostAnswer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var others []member.Member
	for _, m := range s.parts.Routes.Load().View.Available() {
		if m.ID != s.parts.Self.ID {
			others = append(others, m)
		}
	}
	answers := make([]hostAnswer, len(others))
	group := new(errgroup.Group)
	for i, m := range others {
		group.Go(func() error {
			answers[i].host = m.ID
			text, err := s.parts.Asker.Ask(ctx, m, command)
			if err == nil {
				err = json.Unmarshal([]byte(text), &answers[i].out)
			}
			answers[i].err = err
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// gather joins this host's table with those of all other live hosts; hosts that did not answer are named.
func (s *Shell) gather(ctx context.Context, command string, here func() (Output, error)) (Output, error) {
	out, err := here()
	if err != nil {
		return Output{}, err
	}
	for _, a := range s.askAll(ctx, command) {
		if a.err != nil {
			out.Text += fmt.Sprintf("host %s did not answer: %v\n", a.host, errors.Cause(a.err))
			continue
		}
		out.Rows = append(out.Rows, a.out.Rows...)
	}
	sort.SliceStable(out.Rows, func(i, j int) bool { return out.Rows[i][0] < out.Rows[j][0] })
	return out, nil
}

func answerText(a query.Answer) string {
	return fmt.Sprintf("request %s: snapshot %d, coverage %d of %d, %s ms",
		a.ID, a.Snapshot, a.Coverage.Answered, a.Coverage.Total, number(float64(a.Took.Microseconds())/1000))
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
