package route

import (
	"magnoliaworks/core/config"
	"magnoliaworks/core/member"
	"magnoliaworks/core/server"
)

// homesPerServer is the number of hosts that accept work for a server: its home, and a standby while views of the fleet differ.
const homesPerServer = 2

// Table is the routing table that follows from one configuration state and one view of the fleet. It is immutable.
type Table struct {
	Config config.State
	// View determines the homes, among the hosts that are in service.
	View member.View
	self member.Member
	// servers holds every backend server by ID, also those out of service.
	servers map[string]Server
	// replicas holds the servers in service by collection and service.
	replicas map[serviceKey][]Server
}

type serviceKey struct {
	collection string
	service    string
}

// NewTable returns the routing table of the host self.
func NewTable(state config.State, view member.View, self member.Member) *Table {
	t := &Table{
		Config:   state,
		View:     view,
		self:     self,
		servers:  make(map[string]Server),
		replicas: make(map[serviceKey][]Server),
	}
	fleet := state.Fleet()
	candidates := newHomeCandidates(fleet, view)
	for _, c := range state.Collections() {
		for _, service := range c.Services {
			t.addService(c.Name, service, fleet, candidates)
		}
	}
	return t
}

func (t *Table) addService(collection string, service config.Service, fleet config.Fleet, candidates homeCandidates) {
	key := serviceKey{
		collection: collection,
		service:    service.Name,
	}
	for _, r := range service.Replicas {
		s := Server{
			ID:             r.ID,
			Address:        r.Address,
			DataCentre:     r.DataCentre,
			Collection:     collection,
			Service:        service.Name,
			Slots:          service.Slots,
			MaxConnections: service.MaxConnections,
			OutOfService:   !fleet.InService(r),
			Homes:          member.Rank(candidates.forDataCentre(r.DataCentre), r.ID, homesPerServer),
		}
		t.servers[r.ID] = s
		if !s.OutOfService {
			t.replicas[key] = append(t.replicas[key], s)
		}
	}
}

// Replicas returns the servers of a service that are in service; the slice must not be changed.
func (t *Table) Replicas(collection, service string) []Server {
	return t.replicas[serviceKey{
		collection: collection,
		service:    service,
	}]
}

// Find returns a backend server; ok is false when it is not in the configuration.
func (t *Table) Find(id string) (s Server, ok bool) {
	s, ok = t.servers[id]
	return s, ok
}

// Server implements server.Directory.
func (t *Table) Server(id string) (server.Spec, bool) {
	s, ok := t.servers[id]
	if !ok {
		return server.Spec{}, false
	}
	return t.spec(s), true
}

// HomeServers implements server.Directory.
func (t *Table) HomeServers() []server.Spec {
	var homeServers []server.Spec
	for _, s := range t.servers {
		if spec := t.spec(s); spec.Assignment == server.Home {
			homeServers = append(homeServers, spec)
		}
	}
	return homeServers
}

func (t *Table) spec(s Server) server.Spec {
	return server.Spec{
		ID:             s.ID,
		Address:        s.Address,
		DataCentre:     s.DataCentre,
		Slots:          s.Slots,
		MaxConnections: s.MaxConnections,
		Assignment:     t.assignment(s),
	}
}

// assignment returns the role of this host for a server.
func (t *Table) assignment(s Server) server.Assignment {
	if s.OutOfService {
		return server.OutOfService
	}
	for i, h := range s.Homes {
		switch {
		case h.ID != t.self.ID:
			continue
		case i == 0:
			return server.Home
		default:
			return server.Standby
		}
	}
	return server.Unassigned
}

// homeCandidates are the hosts that may be homes: those that are available and not taken out of service.
type homeCandidates struct {
	all          []member.Member
	byDataCentre map[string][]member.Member
}

func newHomeCandidates(fleet config.Fleet, view member.View) homeCandidates {
	h := homeCandidates{
		byDataCentre: make(map[string][]member.Member),
	}
	for _, m := range view.Available() {
		place := config.Place{
			Type: config.HostPlace,
			Name: m.ID,
		}
		if fleet.IsOutOfService(place) {
			continue
		}
		h.all = append(h.all, m)
		h.byDataCentre[m.DataCentre] = append(h.byDataCentre[m.DataCentre], m)
	}
	return h
}

// forDataCentre returns the hosts of a data centre, or all hosts when it has none.
func (h homeCandidates) forDataCentre(dataCentre string) []member.Member {
	if local := h.byDataCentre[dataCentre]; len(local) > 0 {
		return local
	}
	return h.all
}
