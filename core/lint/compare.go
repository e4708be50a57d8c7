package lint

import (
	"fmt"
	"slices"
	"strings"
)

// Change is a difference from the version in force, with what it does to callers. Loss is set if callers lose something by it.
type Change struct {
	Entry string
	Text  string
	Loss  bool
}

// Compare returns what differs in next from the version in force. It names no key.
func Compare(inForce, next Config) []Change {
	c := &comparer{
		before: newRouteTable(inForce.Routes),
		after:  newRouteTable(next.Routes),
	}
	c.compareRoutes(inForce.Routes, next.Routes)
	c.compareServices(inForce.Services, next.Services)
	c.compareAccounts(inForce, next)
	c.compareLimits(inForce.Limits, next.Limits)
	return c.changes
}

// CheckVersion returns what is wrong with the version of next, if anything.
func CheckVersion(inForce, next Config) []Finding {
	var found findings
	if next.Version <= inForce.Version {
		found.add(Error, at(Whole, NoIndex, Version), "version %d isn't above the version in force, %d, so that hosts ignore it", next.Version, inForce.Version)
	}
	return found
}

type comparer struct {
	before, after routeTable
	changes       []Change
}

func (c *comparer) add(loss bool, entry, format string, args ...any) {
	c.changes = append(c.changes, Change{
		Entry: entry,
		Text:  fmt.Sprintf(format, args...),
		Loss:  loss,
	})
}

// routeTable finds routes by the pattern of host and prefix.
type routeTable map[string]Route

func newRouteTable(routes []Route) routeTable {
	t := make(routeTable, len(routes))
	for _, r := range routes {
		if _, taken := t[r.pattern()]; !taken {
			t[r.pattern()] = r
		}
	}
	return t
}

// matches reports whether requests can match a route: no other one before it has its pattern.
func (t routeTable) matches(r Route) bool { return t[r.pattern()].Name == r.Name }

func (r Route) pattern() string { return strings.ToLower(r.Host) + r.Prefix }

// match returns the route that gets the requests under a route's prefix: that with the longest prefix of it, itself left out.
func (t routeTable) match(r Route) (Route, bool) {
	for prefix := strings.TrimSuffix(r.Prefix, "/"); ; {
		i := strings.LastIndexByte(prefix, '/')
		if i < 0 {
			return Route{}, false
		}
		if found, ok := t[strings.ToLower(r.Host)+prefix[:i+1]]; ok {
			return found, true
		}
		prefix = prefix[:i]
	}
}

// byName returns the elements by their name; the first of a name counts.
func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, e := range list {
		if _, taken := m[name(e)]; !taken {
			m[name(e)] = e
		}
	}
	return m
}

func (c *comparer) compareServices(before, after []Service) {
	name := func(s Service) string { return s.Name }
	old, now := byName(before, name), byName(after, name)
	for _, s := range before {
		if _, stays := now[s.Name]; !stays {
			c.add(false, "service "+s.Name, "is removed: its replicas get nothing any more")
		}
	}
	for _, s := range after {
		if now[s.Name] != s {
			continue
		}
		was, known := old[s.Name]
		entry := "service " + s.Name
		if !known {
			c.add(false, entry, "is new")
			continue
		}
		if was.MaxConnections != s.MaxConnections {
			c.add(s.MaxConnections < was.MaxConnections, entry, "%d connections to a replica instead of %d", s.MaxConnections, was.MaxConnections)
		}
		if was.WarmupRate != s.WarmupRate {
			c.add(false, entry, "a cold replica gets up to %g requests a second instead of %g", s.WarmupRate, was.WarmupRate)
		}
	}
}

func (c *comparer) compareAccounts(inForce, next Config) {
	name := func(a Account) string { return a.Name }
	before, after := byName(inForce.Accounts, name), byName(next.Accounts, name)
	switch {
	case len(before) == 0 && len(after) > 0:
		c.add(true, "accounts", "are new: requests without a key get 401, except on public routes")
	case len(before) > 0 && len(after) == 0:
		c.add(false, "accounts", "are gone: every request is served, also without a key, and no allowance binds")
	}
	holders := make(map[string]string)
	for _, a := range next.Accounts {
		for _, key := range a.Keys {
			holders[key] = a.Name
		}
	}
	for _, a := range inForce.Accounts {
		if _, stays := after[a.Name]; !stays && len(after) > 0 {
			c.add(true, "account "+a.Name, "is removed")
		}
		if len(after) > 0 {
			c.compareKeys(a, holders)
		}
	}
	compared := make(map[string]bool)
	for _, a := range next.Accounts {
		if compared[a.Name] {
			continue
		}
		compared[a.Name] = true
		if was, known := before[a.Name]; known {
			c.compareAllowance(was, a)
		} else {
			c.add(false, "account "+a.Name, "is new, with %d keys", len(a.Keys))
		}
	}
}

// compareKeys counts the keys of an account that are taken away or moved.
func (c *comparer) compareKeys(a Account, holders map[string]string) {
	gone, moved := 0, make(map[string]int)
	for _, key := range a.Keys {
		switch holder, held := holders[key]; {
		case !held:
			gone++
		case holder != a.Name:
			moved[holder]++
		}
	}
	if gone > 0 {
		c.add(true, "account "+a.Name, "%d of its %d keys are taken away: requests with them get 401", gone, len(a.Keys))
	}
	targets := make([]string, 0, len(moved))
	for holder := range moved {
		targets = append(targets, holder)
	}
	slices.Sort(targets)
	for _, holder := range targets {
		c.add(true, "account "+a.Name, "%d of its %d keys belong to account %s from now on, and count against its allowance", moved[holder], len(a.Keys), holder)
	}
}

func (c *comparer) compareAllowance(was, a Account) {
	entry := "account " + a.Name
	held := make(map[string]bool, len(was.Keys))
	for _, key := range was.Keys {
		held[key] = true
	}
	added := 0
	for _, key := range a.Keys {
		if !held[key] {
			added++
		}
	}
	if added > 0 {
		c.add(false, entry, "%d keys are added", added)
	}
	if was.Rate != a.Rate {
		lowered := a.Rate > 0 && (was.Rate == 0 || a.Rate < was.Rate)
		c.add(lowered, entry, "its allowance is %s instead of %s%s", allowance(a.Rate), allowance(was.Rate), effect(lowered, ": requests above it get 429"))
	}
	if was.Burst != a.Burst && a.Rate > 0 {
		c.add(a.Burst < was.Burst, entry, "it may send %g requests at once beyond its rate instead of %g", a.Burst, was.Burst)
	}
	if was.Priority != a.Priority {
		c.add(a.Priority > was.Priority, entry, "its priority is %d instead of %d (0 is the highest)", a.Priority, was.Priority)
	}
}

func allowance(rate float64) string {
	if rate == 0 {
		return "without limit"
	}
	return fmt.Sprintf("%g requests a second", rate)
}

// effect returns text if it applies.
func effect(applies bool, text string) string {
	if applies {
		return text
	}
	return ""
}

func (c *comparer) compareLimits(was, l Limits) {
	lower := func(a, b int64) bool { return a > 0 && (b == 0 || a < b) }
	if was.MaxHeaderBytes != l.MaxHeaderBytes {
		lost := lower(int64(l.MaxHeaderBytes), int64(was.MaxHeaderBytes))
		c.add(lost, "limits", "headers of up to %d bytes instead of %d%s", l.MaxHeaderBytes, was.MaxHeaderBytes, effect(lost, ": larger ones get 431"))
	}
	if was.MaxBodyBytes != l.MaxBodyBytes {
		lost := lower(int64(l.MaxBodyBytes), int64(was.MaxBodyBytes))
		c.add(lost, "limits", "bodies of up to %d bytes instead of %d%s", l.MaxBodyBytes, was.MaxBodyBytes, effect(lost, ": larger ones get 413"))
	}
	if was.HeaderTimeout != l.HeaderTimeout {
		c.add(lower(int64(l.HeaderTimeout), int64(was.HeaderTimeout)), "limits", "a header may take %s instead of %s", l.HeaderTimeout, was.HeaderTimeout)
	}
	if was.IdleTimeout != l.IdleTimeout {
		c.add(lower(int64(l.IdleTimeout), int64(was.IdleTimeout)), "limits", "connections may be idle for %s instead of %s", l.IdleTimeout, was.IdleTimeout)
	}
}
