package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaworks/core/member"
	"magnoliaworks/core/route"
	"magnoliaworks/core/topo"
)

// table holds the servers that may get work, as candidates for the picker. It is immutable.
type table struct {
	state   *topo.State
	servers []route.Server
	// replicas holds the servers by service, and onTrial those of versions whose roll-out is not completed, which get few calls.
	replicas map[string][]route.Server
	onTrial  map[string][]route.Server
	// searchRoutes holds the routes to each shard set, by its first service.
	searchRoutes map[string][]*topo.Route
	// configSince is the time from which this host has the version of the configuration in force.
	configSince time.Time
}

// newTable returns the table of the servers in the state that may get work; it is empty without a configuration.
func newTable(state *topo.State, self, dataCentre string) *table {
	t := &table{
		state:    state,
		replicas: make(map[string][]route.Server),
		onTrial:  make(map[string][]route.Server),
	}
	config := state.Config()
	if config == nil {
		return t
	}
	t.searchRoutes = config.SearchRoutes()
	// The picker skips servers without a home; this host calls every server itself.
	homes := []member.Member{{ID: self}}
	for _, s := range state.Servers() {
		service, ok := config.Services[s.Service]
		if !ok || !state.Eligible(s.ID) {
			continue
		}
		candidate := route.Server{
			ID:             s.ID,
			Address:        s.Address,
			DataCentre:     s.DataCentre,
			Service:        s.Service,
			Slots:          s.Slots,
			MaxConnections: service.MaxConnections,
			Incarnation:    s.Incarnation,
			Homes:          homes,
		}
		switch state.Admission(s.ID) {
		case topo.Open:
			t.replicas[s.Service] = append(t.replicas[s.Service], candidate)
		case topo.OnTrial:
			t.onTrial[s.Service] = append(t.onTrial[s.Service], candidate)
		default:
			continue
		}
	}
	seed := xxhash.Sum64String(self)
	for _, replicas := range t.replicas {
		for i := range replicas {
			replicas[i].Replicas = len(replicas)
		}
		route.MarkPreferred(seed, replicas, dataCentre)
		t.servers = append(t.servers, replicas...)
	}
	for _, replicas := range t.onTrial {
		for i := range replicas {
			replicas[i].Replicas = len(replicas)
		}
		t.servers = append(t.servers, replicas...)
	}
	return t
}

// dateConfig sets configSince: to that of the table before if it has the same version, else to now.
func (t *table) dateConfig(before *table, now time.Time) {
	t.configSince = now
	if old, config := before.state.Config(), t.state.Config(); old != nil && config != nil && old.Version == config.Version {
		t.configSince = before.configSince
	}
}

// preferenceSeed returns the seed of this host's order of preference among the remote servers of a service.
// It is 0, for no order, while each server has a connection to spare for every host.
func (r *Relay) preferenceSeed(t *table, service string) uint64 {
	if t.state.Config().Services[service].MaxConnections > r.options.Membership.HostCount() {
		return 0
	}
	return xxhash.Sum64String(r.options.Self)
}

// servicesWithout returns the services without a server in a data centre.
func (t *table) servicesWithout(services []string, dataCentre string) []string {
	var missing []string
	for _, service := range services {
		if !t.hasServer(service, dataCentre) {
			missing = append(missing, service)
		}
	}
	return missing
}

// part is a number of services that have servers in the data centre of a host.
type part struct {
	host     member.Member
	services []string
}

// server returns the replica of a service with that ID, on trial or not, or an unknown server if it is not in service any more.
func (t *table) server(service, id string) route.Server {
	for _, replicas := range [][]route.Server{t.replicas[service], t.onTrial[service]} {
		for _, s := range replicas {
			if s.ID == id {
				return s
			}
		}
	}
	return route.Server{}
}

// partition divides services among hosts of different data centres: the first part holds all those with a server in the
// data centre that has most of them, the next one those of the rest, and so on. Of equal data centres, that of the host that
// comes first is taken. Services without a server in any of them are left out.
func (t *table) partition(services []string, hosts []member.Member) []part {
	var parts []part
	for len(services) > 0 {
		best := part{}
		for _, host := range hosts {
			candidate := part{
				host:     host,
				services: t.servicesWith(services, host.DataCentre),
			}
			if len(candidate.services) > len(best.services) {
				best = candidate
			}
		}
		if len(best.services) == 0 {
			break
		}
		parts = append(parts, best)
		services = t.servicesWithout(services, best.host.DataCentre)
	}
	return parts
}

// servicesWith returns the services with a server in a data centre.
func (t *table) servicesWith(services []string, dataCentre string) []string {
	var found []string
	for _, service := range services {
		if t.hasServer(service, dataCentre) {
			found = append(found, service)
		}
	}
	return found
}

func (t *table) hasServer(service, dataCentre string) bool {
	for _, s := range t.replicas[service] {
		if s.DataCentre == dataCentre {
			return true
		}
	}
	return false
}
