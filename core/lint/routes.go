package lint

import (
	"math"
	"strings"
)

func (k *checker) checkRoutes() {
	if len(k.config.Routes) == 0 {
		k.found.add(Error, at(Whole, NoIndex, Entry), "there are no routes, so every request gets 404")
	}
	names, patterns := make(map[string]int), make(map[string]int)
	for i, r := range k.config.Routes {
		place := func(f Field) Place { return at(RouteEntry, i, f) }
		if first, twice := names[r.Name]; r.Name == "" {
			k.found.add(Error, place(Name), "the route has no name")
		} else if twice {
			k.found.add(Error, place(Name), "route %q is already entry %d", r.Name, first)
		} else {
			names[r.Name] = i
		}
		if r.Host == "" || strings.ContainsAny(r.Host, "/: ") {
			k.found.add(Error, place(Host), "%q is no host name without a port, so that no request matches", r.Host)
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			k.found.add(Error, place(Prefix), "%q must begin and end with a slash", r.Prefix)
		}
		pattern := strings.ToLower(r.Host) + r.Prefix
		if first, twice := patterns[pattern]; twice {
			k.found.add(Error, place(Prefix), "route %q can never match: route %q has the same host and prefix and stands before it", r.Name, k.config.Routes[first].Name)
		} else {
			patterns[pattern] = i
		}
		k.checkTimes(i, r)
		k.checkTarget(i, r)
	}
}

// checkTimes checks the type of a route, its times and its attempts.
func (k *checker) checkTimes(i int, r Route) {
	place := func(f Field) Place { return at(RouteEntry, i, f) }
	if !r.Idempotent && !r.Once {
		k.found.add(Error, place(Type), "the type must be idempotent or non_idempotent")
	}
	switch {
	case r.Timeout <= 0:
		k.found.add(Error, place(Timeout), "the timeout must be above 0")
	case r.Objective <= 0:
		k.found.add(Error, place(Objective), "the objective must be above 0")
	case r.Timeout < r.Objective:
		k.found.add(Error, place(Timeout), "the timeout of %s is below the objective of %s", r.Timeout, r.Objective)
	}
	if r.MaxAttempts < 1 {
		k.found.add(Error, place(Attempts), "%d attempts; one at least", r.MaxAttempts)
	}
	if r.Priority < 0 {
		k.found.add(Error, place(Priority), "a negative priority; 0 is the highest")
	}
	if k.replicas == nil {
		return
	}
	for _, name := range r.services() {
		if n := k.replicas[name]; n > 0 && r.MaxAttempts > n {
			k.found.add(Warning, place(Attempts), "%d attempts, but service %q has %d replicas", r.MaxAttempts, name, n)
			return
		}
	}
}

// checkTarget checks where a route leads.
func (k *checker) checkTarget(i int, r Route) {
	place := func(f Field) Place { return at(RouteEntry, i, f) }
	targets := 0
	for _, set := range []bool{r.Service != "", len(r.Split) > 0, len(r.Shards) > 0} {
		if set {
			targets++
		}
	}
	switch {
	case targets == 0:
		k.found.add(Error, place(Target), "route %q leads to no service", r.Name)
	case targets > 1:
		k.found.add(Error, place(Target), "route %q leads to more than one of a service, a split and shards", r.Name)
	}
	if r.Service != "" {
		k.checkName(place(Target), r.Service)
	}
	k.checkSplit(i, r)
	k.checkShards(i, r)
}

// checkName finds names without a service, and services without replicas.
func (k *checker) checkName(p Place, name string) {
	if _, ok := k.services[name]; !ok {
		k.found.add(Error, p, "there is no service %q", name)
	} else if k.replicas != nil && k.replicas[name] == 0 {
		k.found.add(Warning, p, "service %q has no replica now", name)
	}
}

func (k *checker) checkSplit(i int, r Route) {
	seen, sum := make(map[string]bool), 0.0
	for j, part := range r.Split {
		place := at(RouteEntry, i, Split).element(j)
		k.checkName(place, part.Service)
		switch {
		case part.Weight < 0 || math.IsInf(part.Weight, 0) || math.IsNaN(part.Weight):
			k.found.add(Error, place, "the weight of %q is no number of 0 or more", part.Service)
		case part.Weight == 0:
			k.found.add(Warning, place, "%q has the weight 0, so it gets nothing", part.Service)
		}
		if seen[part.Service] {
			k.found.add(Warning, place, "%q is a part already; it gets both shares", part.Service)
		}
		seen[part.Service] = true
		sum += max(part.Weight, 0)
	}
	if len(r.Split) > 0 && sum == 0 {
		k.found.add(Error, at(RouteEntry, i, Split), "all weights are 0, so no part gets anything")
	}
}

func (k *checker) checkShards(i int, r Route) {
	place := func(f Field) Place { return at(RouteEntry, i, f) }
	seen, reachable := make(map[string]bool), 0
	for j, name := range r.Shards {
		k.checkName(place(Shards).element(j), name)
		if seen[name] {
			k.found.add(Error, place(Shards).element(j), "%q is a shard already; no answer may count it twice", name)
		}
		if _, ok := k.services[name]; ok && !seen[name] && (k.replicas == nil || k.replicas[name] > 0) {
			reachable++
		}
		seen[name] = true
	}
	if len(r.Shards) == 0 {
		if r.TopK != 0 || r.MinCoverage != 0 {
			k.found.add(Warning, place(Entry), "route %q has no shards, so the number of records and the coverage have no effect", r.Name)
		}
		return
	}
	if r.Once {
		k.found.add(Error, place(Type), "requests over shards may be repeated, so the type must be idempotent")
	}
	if r.TopK < 1 {
		k.found.add(Error, place(TopK), "%d records in an answer; one at least", r.TopK)
	}
	share := float64(reachable) / float64(len(r.Shards))
	switch {
	case r.MinCoverage <= 0 || r.MinCoverage > 1:
		k.found.add(Error, place(MinCoverage), "the coverage must be above 0 and at most 1")
	case share < r.MinCoverage:
		level := Error
		if k.replicas != nil {
			// Replicas may start before the configuration is in force.
			level = Warning
		}
		k.found.add(level, place(MinCoverage), "%d of %d shards can be reached, below the coverage of %g, so no request succeeds", reachable, len(r.Shards), r.MinCoverage)
	}
}
