package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand/site"
)

const (
	// maxSeriesGap bounds the time between versions in close series, and maxVersionGap that between others.
	maxSeriesGap  = 800 * time.Millisecond
	maxVersionGap = 8 * time.Second
)

// addedRoute is the route that versions add and drop.
func addedRoute() site.Route {
	return site.Route{
		Name: "added", Host: addedHost, Prefix: "/", Type: "idempotent", TimeoutMS: 1000, ObjectiveMS: 300, MaxAttempts: 2, Service: "desk",
	}
}

// changeVersions stores versions of the configuration until some time. They move the route moving and add or drop the route added.
func (s *soak) changeVersions(ctx context.Context, until time.Time) error {
	random := rand.New(rand.NewPCG(s.config.Seed, 95))
	service := 0
	for time.Now().Before(until) && ctx.Err() == nil {
		if random.IntN(3) > 0 {
			service = 1 - service
			s.site.MoveRoute("moving", movingServices[service])
		}
		if random.IntN(2) == 0 {
			s.site.ChangeConfig(toggleAddedRoute)
		}
		gap := maxSeriesGap
		if random.IntN(3) > 0 {
			gap = maxVersionGap
		}
		_ = timer.Sleep(ctx, time.Duration(random.Int64N(int64(gap))))
	}
	return nil
}

func toggleAddedRoute(c *site.Config) {
	kept := slices.DeleteFunc(slices.Clone(c.Routes), func(r site.Route) bool { return r.Host == addedHost })
	if len(kept) == len(c.Routes) {
		kept = append(kept, addedRoute())
	}
	c.Routes = kept
}

// routing is what a version of the configuration says of moving and added routes.
type routing struct {
	// seen is the time from which the store has held the version.
	seen    time.Time
	version int
	// services holds the service of each route by its host name.
	services map[string]string
}

// routings holds what the store has held, in order. It is safe for concurrent use.
type routings struct {
	mu   sync.Mutex
	held []routing
}

// record records a configuration that the store holds from now on.
func (rs *routings) record(spec []byte) error {
	var c site.Config
	if err := json.Unmarshal(spec, &c); err != nil {
		return err
	}
	next := routing{
		seen:     time.Now(),
		version:  c.Version,
		services: make(map[string]string),
	}
	for _, r := range c.Routes {
		next.services[r.Host] = r.Service
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.held = append(rs.held, next)
	return nil
}

// since returns what the store has held at any time from at on.
func (rs *routings) since(at time.Time) []routing {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	first := len(rs.held)
	for first > 0 && (first == len(rs.held) || rs.held[first].seen.After(at)) {
		first--
	}
	return slices.Clone(rs.held[first:])
}

// checkVersion checks that a host in touch has handled a request as a version allows that the store has held at any time from
// versionTime before the request was sent.
func (s *soak) checkVersion(h *host, a site.Request, answer site.Answer, sent time.Time) {
	if a.Host != movingHost && a.Host != addedHost {
		return
	}
	ran := s.site.ExecutionLog.RanAt(a.ID)
	refused := len(ran) == 0 && answer.Status == fasthttp.StatusNotFound && len(answer.Signatures) == 0
	inTouch := s.storeTouch.soundSince(sent.Add(-convergenceTime)) && h.touch.soundSince(sent.Add(-convergenceTime))
	allowed := s.routings.since(sent.Add(-versionTime))
	if (!refused && len(ran) == 0) || !inTouch || len(allowed) == 0 || allowed[0].seen.After(sent.Add(-versionTime)) {
		return
	}
	s.updateReport(func(r *Report) { r.VersionChecks++ })
	handled := ran
	if refused {
		handled = []string{""}
	}
	for _, service := range handled {
		if !slices.ContainsFunc(allowed, func(r routing) bool { return r.services[a.Host] == service }) {
			s.addViolation("version", a.ID, describeStale(h, a, service, allowed[0], sent))
		}
	}
}

// describeStale describes a request that was handled as an older version allows: run by a service, or answered 404 if service is empty.
func describeStale(h *host, a site.Request, service string, current routing, sent time.Time) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "host %s: %s ", h.settings.ID, a.Host)
	if service == "" {
		b.WriteString("was answered 404")
	} else {
		b.WriteString("ran at " + service)
	}
	_, _ = fmt.Fprintf(&b, ", sent %s after the confirmation of version %d, by which it goes to %q",
		sent.Sub(current.seen).Round(time.Millisecond), current.version, current.services[a.Host])
	return b.String()
}
