package lint

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// minShareChange is the smallest change of a part's share of a split that is told.
const minShareChange = 0.001

// compareRoutes compares routes by host and prefix, which callers know, not by name.
func (c *comparer) compareRoutes(before, after []Route) {
	for _, r := range before {
		if _, stays := c.after[r.pattern()]; stays || !c.before.matches(r) {
			continue
		}
		if other, ok := c.after.match(r); ok {
			c.add(!slices.Equal(other.services(), r.services()), r.entry(), "is removed: its requests go to route %s, to %s", other.Name, other.target())
		} else {
			c.add(true, r.entry(), "is removed: its requests get 404")
		}
	}
	for _, r := range after {
		if !c.after.matches(r) {
			continue
		}
		was, known := c.before[r.pattern()]
		if known {
			c.compareRoute(was, r)
			continue
		}
		if other, ok := c.before.match(r); ok {
			c.add(false, r.entry(), "is new: it takes requests from route %s and sends them to %s", other.Name, r.target())
		} else {
			c.add(false, r.entry(), "is new and leads to %s", r.target())
		}
	}
}

// compareRoute compares two versions of a route.
func (c *comparer) compareRoute(was, r Route) {
	entry := r.entry()
	if was.Name != r.Name {
		c.add(false, entry, "was called %s; what hosts have learnt of its latencies starts anew", was.Name)
	}
	c.compareTargets(was, r)
	if was.Timeout != r.Timeout {
		lowered := r.Timeout < was.Timeout
		c.add(lowered, entry, "callers wait %s at most instead of %s%s", r.Timeout, was.Timeout, effect(lowered, ": slower answers are lost"))
	}
	if was.Objective != r.Objective {
		c.add(false, entry, "its objective is %s instead of %s", r.Objective, was.Objective)
	}
	if was.MaxAttempts != r.MaxAttempts {
		c.add(r.MaxAttempts < was.MaxAttempts, entry, "a request goes to %d replicas at most instead of %d", r.MaxAttempts, was.MaxAttempts)
	}
	if was.Idempotent && r.Once {
		c.add(true, entry, "requests are not repeated any more: a lost reply fails its request")
	}
	if was.Once && r.Idempotent {
		c.add(true, entry, "requests may run more than once from now on")
	}
	if was.Priority != r.Priority {
		c.add(r.Priority > was.Priority, entry, "its priority is %d instead of %d (0 is the highest)", r.Priority, was.Priority)
	}
	if was.Public != r.Public {
		c.add(was.Public, entry, "%s", map[bool]string{
			true:  "needs no key any more",
			false: "needs a key from now on: requests without one get 401",
		}[r.Public])
	}
}

// compareTargets compares the services to which two versions of a route lead.
func (c *comparer) compareTargets(was, r Route) {
	entry := r.entry()
	switch {
	case len(was.Shards) > 0 && len(r.Shards) > 0:
		added, removed := without(r.Shards, was.Shards), without(was.Shards, r.Shards)
		if len(added) > 0 || len(removed) > 0 {
			c.add(false, entry, "has %d shards instead of %d; new: %s; removed: %s", len(r.Shards), len(was.Shards), list(added), list(removed))
		}
	case !slices.Equal(was.services(), r.services()):
		c.add(false, entry, "goes to %s instead of %s", r.target(), was.target())
	default:
		now, before := shares(r.Split), shares(was.Split)
		for i, part := range r.Split {
			if math.Abs(now[i]-before[i]) >= minShareChange {
				c.add(false, entry, "%s gets %.1f %% of the requests instead of %.1f %%", part.Service, 100*now[i], 100*before[i])
			}
		}
	}
	if len(was.Shards) == 0 || len(r.Shards) == 0 {
		return
	}
	if was.TopK != r.TopK {
		c.add(r.TopK < was.TopK, entry, "answers hold %d records instead of %d", r.TopK, was.TopK)
	}
	if was.MinCoverage != r.MinCoverage {
		raised := r.MinCoverage > was.MinCoverage
		c.add(raised, entry, "an answer needs the share %g of the shards instead of %g%s", r.MinCoverage, was.MinCoverage,
			effect(raised, ": more requests fail while shards are missing"))
	}
}

// shares returns the shares of the parts of a split.
func shares(parts []Part) []float64 {
	sum := 0.0
	for _, p := range parts {
		sum += p.Weight
	}
	list := make([]float64, len(parts))
	for i, p := range parts {
		if sum > 0 {
			list[i] = p.Weight / sum
		}
	}
	return list
}

// entry names a route as an operator would.
func (r Route) entry() string { return fmt.Sprintf("route %s (%s%s)", r.Name, r.Host, r.Prefix) }

// shownServices is the largest number of services that a text names.
const shownServices = 3

// target names the services to which a route leads.
func (r Route) target() string {
	names := r.services()
	if len(r.Shards) > 0 {
		return fmt.Sprintf("%d shards (%s)", len(names), list(names))
	}
	if len(names) == 0 {
		return "no service"
	}
	return list(names)
}

// without returns the names that other lacks.
func without(names, other []string) []string {
	known := make(map[string]bool, len(other))
	for _, name := range other {
		known[name] = true
	}
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return known[name] })
}

// list names a few of the services, and the number of the others.
func list(names []string) string {
	switch more := len(names) - shownServices; {
	case len(names) == 0:
		return "none"
	case more > 0:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:shownServices], ", "), more)
	default:
		return strings.Join(names, ", ")
	}
}
