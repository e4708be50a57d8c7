package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/core/canary"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/topo"
)

const (
	// maxRows bounds the rows of evidence on one service.
	maxRows = 64
	// warmShare is the share of an order's duration for which cold servers of its version get nothing, since the old ones are there.
	warmShare = 0.25
)

// exposures holds the exposure of each service with a roll-out in progress. It is safe for concurrent use.
type exposures struct {
	// mu lets one update run at a time. byService is read on each call; the map is not modified, and nil before the first update.
	mu        sync.Mutex
	byService atomic.Pointer[map[string]*exposure]
}

// exposure is what the new version of a service gets from this host, and how its calls go beside those of the old version.
type exposure struct {
	// rollout is the order as it was first seen.
	rollout topo.Rollout
	quota   *canary.Quota

	mu sync.Mutex
	// duration is that of the order, which operators may change.
	duration time.Duration
	// part is the part of the calls for the new version until some time.
	part  float64
	until time.Time
	rows  map[canary.Row]*canary.Row
}

// find returns the exposure of a service, or nil.
func (x *exposures) find(service string) *exposure {
	byService := x.byService.Load()
	if byService == nil {
		return nil
	}
	return (*byService)[service]
}

// updateExposures keeps an exposure for each roll-out in progress.
func (r *Relay) updateExposures(t *table) {
	r.exposures.mu.Lock()
	defer r.exposures.mu.Unlock()
	next := make(map[string]*exposure)
	for service := range t.state.Rollouts() {
		rollout, ok := t.state.Rollout(service)
		if !ok || rollout.State.Ended() {
			continue
		}
		x := r.exposures.find(service)
		if x == nil || x.rollout.Version != rollout.Version || !x.rollout.SeenAt.Equal(rollout.SeenAt) {
			b := r.options.Bounds()
			x = &exposure{
				rollout: rollout,
				quota:   canary.NewQuota(b.ExposureShare, b.ExposureSlack, r.options.Membership.HostCount(), rand.Float64()),
				rows:    make(map[canary.Row]*canary.Row),
			}
		}
		x.mu.Lock()
		x.duration = rollout.Duration
		x.mu.Unlock()
		next[service] = x
	}
	r.exposures.byService.Store(&next)
}

// Steer implements launch.Traffic.
func (r *Relay) Steer(service, version string, part float64, until time.Time) {
	if x := r.exposures.find(service); x != nil && x.rollout.Version == version {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.part, x.until = part, until
	}
}

// Evidence implements launch.Traffic.
func (r *Relay) Evidence(service string) []canary.Row {
	x := r.exposures.find(service)
	if x == nil {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	rows := make([]canary.Row, 0, len(x.rows))
	for _, row := range x.rows {
		rows = append(rows, *row)
	}
	clear(x.rows)
	return rows
}

// partAt returns the part of the calls for the new version, and whether cold servers get none of them yet. Without a fresh word of the
// deciding host the part is 0, also once the time of the order is over, and on a host that can't tell since it has started after the order.
func (x *exposure) partAt(now time.Time) (part float64, waitsForWarm bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	age := x.rollout.Age(now)
	if x.rollout.GivenAfter.IsZero() || now.After(x.until) || age > x.duration {
		return 0, false
	}
	return x.part, age < time.Duration(warmShare*float64(x.duration))
}

// serversFor returns the servers among which the next call for a shard may choose: those of the version in use or, for the part of the
// calls that the roll-out gives it and as far as the quota permits, those of the new version.
func (r *Relay) serversFor(t *table, s *shard, now time.Time) []route.Server {
	onTrial := t.onTrial[s.service]
	if len(onTrial) == 0 {
		return t.replicas[s.service]
	}
	x := r.exposures.find(s.service)
	if x == nil {
		return t.replicas[s.service]
	}
	part, waitsForWarm := x.partAt(now)
	if part <= 0 || rand.Float64() >= part || !x.quota.Permits() {
		return t.replicas[s.service]
	}
	if part >= canary.LoadPart {
		onTrial = onTrial[:(len(onTrial)+1)/2]
	}
	usable := slices.ContainsFunc(onTrial, func(server route.Server) bool {
		known, ok := t.state.Server(server.ID)
		return ok && !(waitsForWarm && known.Cold(now)) && !slices.Contains(s.tried, server.ID) && r.canAdmit(t, server.ID, now)
	})
	if !usable {
		return t.replicas[s.service]
	}
	return onTrial
}

// chargeExposure charges a call to the quota if the server is of a version on trial.
func (r *Relay) chargeExposure(server route.Server) {
	if x := r.exposures.find(server.Service); x != nil && r.isOnTrial(server, x) {
		x.quota.Spend()
	}
}

func (r *Relay) isOnTrial(server route.Server, x *exposure) bool {
	known, ok := r.table.Load().state.Server(server.ID)
	return ok && known.Version == x.rollout.Version
}

// callDetail returns the data centre of a server, and its version if that is on trial, for traces.
func (r *Relay) callDetail(server route.Server) string {
	if x := r.exposures.find(server.Service); x != nil && r.isOnTrial(server, x) {
		return server.DataCentre + ", version " + x.rollout.Version + " on trial"
	}
	return server.DataCentre
}

// observingVersion returns deliver, which it makes count the result of the call first if the service has a roll-out in progress.
func (r *Relay) observingVersion(server route.Server, kind, reason string, sentAt time.Time, deliver func(query.Result)) func(query.Result) {
	x := r.exposures.find(server.Service)
	if x == nil {
		return deliver
	}
	return func(result query.Result) {
		r.observeVersion(x, server, kind, reason, sentAt, result)
		deliver(result)
	}
}

// observeVersion counts the result of a call to a service with a roll-out in progress. The first call of a message that reaches a
// server earns a part of the quota.
func (r *Relay) observeVersion(x *exposure, server route.Server, kind, reason string, sentAt time.Time, result query.Result) {
	now := time.Now()
	bad := true
	switch result := result.(type) {
	case query.Done:
		known, _ := r.table.Load().state.Server(server.ID)
		bad = canary.Slow(now.Sub(sentAt), r.options.Picker.MedianLatency(kind)) && !known.Cold(sentAt)
	case query.NotExecuted:
		if result.Cause != query.Busy {
			return
		}
	}
	if reason == reasonFirst {
		x.quota.Earn()
	}
	key := canary.Row{
		Route:      kind,
		DataCentre: server.DataCentre,
	}
	if r.isOnTrial(server, x) {
		key.Server = server.ID
	}
	x.count(key, bad)
}

// count counts a call in the row with a key, which has no counts.
func (x *exposure) count(key canary.Row, bad bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	row, ok := x.rows[key]
	if !ok {
		if len(x.rows) >= maxRows {
			return
		}
		copied := key
		row = &copied
		x.rows[key] = row
	}
	row.Calls++
	if bad {
		row.Bad++
	}
}
