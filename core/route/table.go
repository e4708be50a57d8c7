package route

import (
	"magnoliaworks/core/config"
	"magnoliaworks/core/member"
	"magnoliaworks/core/server"
)

// homesPerServer is the number of hosts that may take work for a server while views of the fleet differ.
const homesPerServer = 2

// Table is derived from one configuration state and one view of the fleet. It is immutable.
type Table struct {
	Config config.State
	View   member.View
	self   member.Member
	// servers holds every backend server, also those out of service.
	servers map[string]Server
	// replicas holds the servers in service by collection and service.
	replicas map[serviceKey][]Server
}

type serviceKey struct {
	collection string
	service    string
}

// NewTable derives a table for the host self.
func NewTable(state config.State, view member.View, self member.Member) *Table {
	t := &Table{
		Config:   state,
		View:     view,
		self:     self,
		servers:  make(map[string]Server),
		replicas: make(map[serviceKey][]Server),
	}
	fleet := state.Fleet()
	hosts := newHosts(fleet, view)
	for _, c := range state.Collections() {
		for _, service := range c.Services {
			t.addService(c.Name, service, fleet, hosts)
		}
	}
	return t
}

func (t *Table) addService(collection string, service config.Service, fleet config.Fleet, hosts hosts) {
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
			Homes:          member.Rank(hosts.near(r.DataCentre), r.ID, homesPerServer),
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

// Find returns a backend server; ok is false when the configuration lacks it.
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
	var homed []server.Spec
	for _, s := range t.servers {
		if spec := t.spec(s); spec.Assignment == server.Home {
			homed = append(homed, spec)
		}
	}
	return homed
}

func (t *Table) spec(s Server) server.Spec {
	return server.Spec{
		ID:          s.ID,
		Address:     s.Address,
		DataCentre:  s.DataCentre,
		Slots:       s.Slots,
		Connections: s.MaxConnections,
		Assignment:  t.permit(s),
	}
}

func (t *Table) permit(s Server) server.Assignment {
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

// hosts are the hosts that may be homes.
type hosts struct {
	all      []member.Member
	byCentre map[string][]member.Member
}

func newHosts(fleet config.Fleet, view member.View) hosts {
	h := hosts{
		byCentre: make(map[string][]member.Member),
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
		h.byCentre[m.DataCentre] = append(h.byCentre[m.DataCentre], m)
	}
	return h
}

// near returns the hosts of a data centre, or all hosts when it has none.
func (h hosts) near(dataCentre string) []member.Member {
	if near := h.byCentre[dataCentre]; len(near) > 0 {
		return near
	}
	return h.all
}
