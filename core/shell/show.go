package shell

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"magnoliaworks/core/audit"
	"magnoliaworks/core/config"
	"magnoliaworks/core/lang"
	"magnoliaworks/core/lang/near"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/server"
)

// ShowWords are the words that may follow show; each names a part of the state.
// Hosts ask each other for versions to answer show changes; the help does not list it.
var ShowWords = []string{"hosts", "servers", "data_centres", "collections", "kinds", "budgets", "changes", "audit", "events", "versions"}

// show lists a part of the state. Servers and events are collected from all hosts, as each host reports only its own.
func (s *Shell) show(ctx context.Context, c lang.Show) (Output, error) {
	switch c.What {
	case "servers", "events":
		return s.collect(ctx, fmt.Sprintf("show %s %q", c.What, c.Name), func() (Output, error) { return s.showLocal(c) })
	case "changes":
		return s.changes(ctx)
	default:
		return s.showLocal(c)
	}
}

// showLocal lists a part of the state as this host knows it.
func (s *Shell) showLocal(c lang.Show) (Output, error) {
	state := s.options.Config.State()
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

// unknownWord returns the error for a word that cannot follow show.
func unknownWord(word string) error {
	nearest, _ := near.Find(word, ShowWords)
	return &lang.Error{
		Column:  len("show ") + 1,
		Reason:  fmt.Sprintf("%q cannot be shown", word),
		Nearest: nearest,
	}
}

func (s *Shell) hosts() Output {
	out := newTable("host", "data_centre", "state", "address", "incarnation")
	for _, m := range s.options.Routes.Load().View.Members() {
		out.addRow(m.ID, m.DataCentre, m.State.String(), m.Address, strconv.FormatUint(m.Incarnation, 10))
	}
	return out
}

func (s *Shell) servers(name string) Output {
	out := newTable("server", "home", "state", "limit", "in_progress", "queued", "usual_ms")
	for _, r := range s.options.Servers.Inspect() {
		if name != "" && r.ID != name {
			continue
		}
		out.addRow(serverRow(s.options.Self, r)...)
	}
	return out
}

func serverRow(self member.Member, r server.Report) []string {
	return []string{
		r.ID, self.ID, r.State,
		fmt.Sprintf("%d/%d", r.Limit, r.Slots),
		strconv.Itoa(r.InProgress),
		strconv.Itoa(r.Queued),
		formatNumber(float64(r.BaselineServiceTime.Microseconds()) / 1000),
	}
}

func (s *Shell) dataCentres(state config.State) Output {
	out := newTable("data_centre", "state", "servers", "hosts")
	servers, hosts := make(map[string]int), make(map[string]int)
	for _, c := range state.Collections() {
		for _, service := range c.Services {
			for _, r := range service.Replicas {
				servers[r.DataCentre]++
			}
		}
	}
	for _, m := range s.options.Routes.Load().View.Available() {
		hosts[m.DataCentre]++
	}
	for _, name := range sortedKeys(servers) {
		place := config.Place{
			Type: config.DataCentrePlace,
			Name: name,
		}
		out.addRow(name, serviceState(state.Fleet().IsOutOfService(place)), strconv.Itoa(servers[name]), strconv.Itoa(hosts[name]))
	}
	return out
}

func collections(state config.State) Output {
	out := newTable("collection", "services", "replicas", "kinds", "snapshot", "version")
	for _, c := range state.Collections() {
		replicas := 0
		for _, service := range c.Services {
			replicas += len(service.Replicas)
		}
		ix, _ := state.Index(c.Name)
		newest, _ := ix.Newest()
		out.addRow(c.Name, strconv.Itoa(len(c.Services)), strconv.Itoa(replicas), strconv.Itoa(len(c.Kinds)),
			strconv.FormatUint(newest.Version, 10), strconv.FormatUint(state.Version(config.CollectionScope(c.Name)), 10))
	}
	return out
}

func kinds(state config.State, collection string) Output {
	out := newTable("collection", "kind", "deadline", "min_coverage", "idempotence", "priority", "fanout", "hedging", "ledger")
	for _, c := range state.Collections() {
		if collection != "" && c.Name != collection {
			continue
		}
		for _, k := range c.Kinds {
			out.addRow(c.Name, k.Name, k.Deadline.String(), formatNumber(k.MinCoverage), string(k.Idempotence),
				strconv.Itoa(k.Priority), string(k.Fanout), string(k.Hedging), string(k.Ledger))
		}
	}
	return out
}

func budgets(state config.State) Output {
	out := newTable("budget", "share")
	b := state.Fleet().Budgets
	out.addRow("hedge", formatNumber(b.Hedge))
	out.addRow("retry", formatNumber(b.Retry))
	out.addRow("cross", formatNumber(b.Cross))
	return out
}

func auditTrail(state config.State, operator string) Output {
	out := newTable("at", "change", "scope", "version", "operator", "from", "command", "before", "after", "reason")
	for _, o := range state.Objects() {
		for _, e := range o.Trail.Select(audit.Filter{Operator: operator}) {
			out.addRow(e.At.Format(time.RFC3339Nano), e.ChangeID, o.Scope, strconv.FormatUint(e.Version, 10),
				e.Operator, e.From, e.Command, e.Before, e.After, e.Reason)
		}
	}
	sort.SliceStable(out.Rows, func(i, j int) bool { return out.Rows[i][0] < out.Rows[j][0] })
	return out
}

func (s *Shell) events(subject string) Output {
	out := newTable("at", "host", "part", "subject", "what", "cause")
	for _, e := range s.options.Journal.Events(subject) {
		out.addRow(e.At.Format(time.RFC3339Nano), s.options.Self.ID, e.Part, e.Subject, e.What, e.Cause)
	}
	return out
}

func versions(state config.State) Output {
	out := newTable("scope", "version")
	for _, v := range state.Versions() {
		out.addRow(v.Scope, strconv.FormatUint(v.Version, 10))
	}
	return out
}

// changes lists the last change of each scope and the number of hosts on which its version is in force. The column missing
// names the hosts on which it is not, including those that did not answer. Only hosts that accept work are asked.
func (s *Shell) changes(ctx context.Context) (Output, error) {
	answers := s.askOthers(ctx, "show versions")
	state := s.options.Config.State()
	out := newTable("scope", "version", "change", "in_force_on", "missing")
	for _, o := range state.Objects() {
		inForce, missing := 1, ""
		for _, a := range answers {
			if a.err == nil && versionOf(a.output, o.Scope) >= o.Version {
				inForce++
				continue
			}
			missing += " " + a.host
		}
		change := ""
		if len(o.Trail) > 0 {
			change = o.Trail[len(o.Trail)-1].ChangeID
		}
		out.addRow(o.Scope, strconv.FormatUint(o.Version, 10), change, fmt.Sprintf("%d of %d", inForce, len(answers)+1), missing)
	}
	return out, nil
}

// versionOf returns the version of a scope in the output of show versions, or 0 when it is missing.
func versionOf(out Output, scope string) uint64 {
	for _, row := range out.Rows {
		if row[0] == scope {
			v, _ := strconv.ParseUint(row[1], 10, 64)
			return v
		}
	}
	return 0
}

func answerText(a query.Answer) string {
	return fmt.Sprintf("request %s: snapshot %d, coverage %d of %d, %s ms",
		a.ID, a.Snapshot, a.Coverage.Answered, a.Coverage.Total, formatNumber(float64(a.Took.Microseconds())/1000))
}

func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
