package canary

import (
	"fmt"
	"slices"
	"time"
)

const (
	// momentLength is the length of the moments within which the versions are compared.
	momentLength = time.Second
	// allRoutes names the sum over all routes.
	allRoutes = ""
	// recentMoments is the number of moments, the current one included, that are also judged by themselves, so that calm moments don't
	// hide a version that turns bad.
	recentMoments = 4
	// serverWeight is the evidence against one of several new servers, and restWeight that against the others below which it is that
	// server's fault alone.
	serverWeight = 5
	restWeight   = 1
)

// placeKey identifies a stratum within a moment.
type placeKey struct {
	route      string
	dataCentre string
	host       string
}

// results holds what was found for each server of the new version, by route.
type results map[string]map[string]excess

// add adds the excess of a server for a route.
func (r results) add(route, server string, e excess) {
	if r[route] == nil {
		r[route] = make(map[string]excess)
	}
	r[route][server] = r[route][server].plus(e)
}

// addAll adds other results.
func (r results) addAll(other results) {
	for route, servers := range other {
		for server, e := range servers {
			r.add(route, server, e)
		}
	}
}

// Judge compares the calls to the new version of a service with those to the old one. It belongs to one goroutine.
type Judge struct {
	// moment is the number of the current moment, places its strata, and left holds by route what had nothing to be compared with.
	moment int64
	places map[placeKey]*stratum
	left   map[string]*stratum
	// former is the sum of the results of all former moments, and recent holds those of the last ones, the oldest first.
	former results
	recent []results
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge {
	return &Judge{
		places: make(map[placeKey]*stratum),
		left:   make(map[string]*stratum),
		former: make(results),
	}
}

// Add counts the rows of a host's report, which arrived after some time since the start of the trial.
func (j *Judge) Add(host string, rows []Row, at time.Duration) {
	if moment := int64(at / momentLength); moment > j.moment {
		found, left := j.evaluate()
		j.former.addAll(found)
		j.recent = append(j.recent, found)
		j.recent = j.recent[max(0, len(j.recent)-recentMoments+1):]
		j.left = left
		j.moment = moment
		j.places = make(map[placeKey]*stratum)
	}
	for _, row := range rows {
		key := placeKey{
			route:      row.Route,
			dataCentre: row.DataCentre,
			host:       host,
		}
		s, ok := j.places[key]
		if !ok {
			s = &stratum{}
			j.places[key] = s
		}
		s.add(row.Server, row.Calls, row.Bad)
	}
}

// evaluate returns the results of the current moment and what is left without comparison. Strata of a host that can't be compared are
// pooled for their data centre, then for the route, and there with what earlier moments have left.
func (j *Judge) evaluate() (found results, left map[string]*stratum) {
	found = make(results)
	pooled := make(map[placeKey]*stratum)
	for key, s := range j.places {
		if s.comparable() {
			found.addStratum(key.route, s)
			continue
		}
		key.host = ""
		mergeInto(pooled, key, s)
	}
	left = make(map[string]*stratum)
	for route, s := range j.left {
		mergeInto(left, route, s)
	}
	for key, s := range pooled {
		if s.comparable() {
			found.addStratum(key.route, s)
			continue
		}
		mergeInto(left, key.route, s)
	}
	for route, s := range left {
		if s.comparable() {
			found.addStratum(route, s)
			delete(left, route)
		}
	}
	return found, left
}

// mergeInto adds a stratum to that of a key.
func mergeInto[K comparable](strata map[K]*stratum, key K, s *stratum) {
	sum, ok := strata[key]
	if !ok {
		sum = &stratum{}
		strata[key] = sum
	}
	sum.merge(s)
}

// addStratum adds the excess of each server in a stratum to a route and to all routes.
func (r results) addStratum(route string, s *stratum) {
	all := s.old
	for _, t := range s.fresh {
		all = all.plus(t.calls, t.bad)
	}
	fresh := all.calls - s.old.calls
	for server, t := range s.fresh {
		e := excess{
			calls:    t.calls,
			bad:      t.bad,
			expected: float64(t.calls) * float64(all.bad) / float64(all.calls),
			pool:     float64(t.calls) * float64(all.bad) / float64(fresh),
		}
		r.add(route, server, e)
		r.add(allRoutes, server, e)
	}
}

// Finding is what a judge has found.
type Finding struct {
	// Calls and Bad count the calls to the new version that could be compared, without those of a server that alone is bad.
	Calls int
	Bad   int
	// Weight is the evidence against the new version; the chance that a good one gives as much is at most exp(-Weight).
	Weight float64
	// Route is the route with the most evidence, or empty for all together; RouteBad of its RouteCalls were bad, and Expected would
	// have been if the versions were alike.
	Route      string
	RouteCalls int
	RouteBad   int
	Expected   float64
}

// String returns the figures for logs.
func (f Finding) String() string {
	where := "of all routes"
	if f.Route != allRoutes {
		where = "of route " + f.Route
	}
	return fmt.Sprintf("%d of %d calls %s to the new version were bad, %.1f expected from the old version, weight %.1f; %d of %d in all",
		f.RouteBad, f.RouteCalls, where, f.Expected, f.Weight, f.Bad, f.Calls)
}

// Finding returns what the evidence of all moments shows, or that of the last ones if that is more.
func (j *Judge) Finding() Finding {
	now, _ := j.evaluate()
	all := sumOf(j.former, now)
	faulty := faultyServer(all[allRoutes])
	f := strongest(all, faulty)
	if recent := strongest(sumOf(append(slices.Clone(j.recent), now)...), faulty); recent.Weight > f.Weight {
		recent.Calls, recent.Bad = f.Calls, f.Bad
		return recent
	}
	return f
}

// sumOf returns the sum of the results of some moments.
func sumOf(moments ...results) results {
	sums := make(results)
	for _, m := range moments {
		sums.addAll(m)
	}
	return sums
}

// sumWithout returns the sum of the excess of all servers but one.
func sumWithout(servers map[string]excess, left string) (sum excess) {
	for server, e := range servers {
		if server != left {
			sum = sum.plus(e)
		}
	}
	return sum
}

// faultyServer returns the server that alone is bad, or "" if there is none.
func faultyServer(servers map[string]excess) string {
	worst := ""
	for server, e := range servers {
		if worst == "" || float64(e.bad)-e.expected > float64(servers[worst].bad)-servers[worst].expected {
			worst = server
		}
	}
	if len(servers) > 1 && servers[worst].weight() >= serverWeight && sumWithout(servers, worst).weight() < restWeight {
		return worst
	}
	return ""
}

// strongest returns the strongest evidence that the results give for one route, or for all, without those of a faulty server.
func strongest(sums results, faulty string) Finding {
	var f Finding
	for route, servers := range sums {
		sum := sumWithout(servers, faulty)
		weight := sum.weight()
		if route == allRoutes {
			f.Calls, f.Bad = sum.calls, sum.bad
		}
		if weight > f.Weight || (weight == f.Weight && route == allRoutes) {
			f.Weight, f.Route, f.RouteCalls, f.RouteBad, f.Expected = weight, route, sum.calls, sum.bad, sum.expected
		}
	}
	return f
}
