package topo

import (
	"maps"
	"slices"
	"strings"
)

// State is all that a host knows of the platform. It is immutable.
type State struct {
	config    *Config
	servers   map[string]Server
	evacuated map[string]bool
	// replicas holds the servers that may get work, by service and ordered by ID.
	replicas map[string][]Server
}

// Config returns the operator's configuration, or nil while it is not known.
func (s *State) Config() *Config { return s.config }

// Server returns a registered server; ok is false when there is none of that ID.
func (s *State) Server(id string) (server Server, ok bool) {
	server, ok = s.servers[id]
	return server, ok
}

// Servers returns all registered servers ordered by ID.
func (s *State) Servers() []Server {
	return slices.SortedFunc(maps.Values(s.servers), compareServers)
}

// Replicas returns the servers of a service that may get work; the slice must not be changed.
func (s *State) Replicas(service string) []Server { return s.replicas[service] }

// Eligible reports whether a server may get work.
func (s *State) Eligible(id string) bool {
	server, ok := s.servers[id]
	return ok && !server.Draining && !s.evacuated[server.DataCentre]
}

// Evacuated reports whether a data centre is to get nothing.
func (s *State) Evacuated(dataCentre string) bool { return s.evacuated[dataCentre] }

// WithConfig returns a state in which c is in force, unless a newer configuration is.
func (s *State) WithConfig(c *Config) *State {
	if s.config != nil && s.config.Version >= c.Version {
		return s
	}
	next := *s
	next.config = c
	return &next
}

// WithServers returns a state in which exactly these servers are registered.
func (s *State) WithServers(servers map[string]Server) *State {
	next := *s
	next.servers = servers
	next.derive()
	return &next
}

// WithEvacuated returns a state in which exactly these data centres get nothing.
func (s *State) WithEvacuated(dataCentres map[string]bool) *State {
	next := *s
	next.evacuated = dataCentres
	next.derive()
	return &next
}

func (s *State) derive() {
	s.replicas = make(map[string][]Server)
	for id, server := range s.servers {
		if s.Eligible(id) {
			s.replicas[server.Service] = append(s.replicas[server.Service], server)
		}
	}
	for _, list := range s.replicas {
		slices.SortFunc(list, compareServers)
	}
}

func compareServers(a, b Server) int { return strings.Compare(a.ID, b.ID) }
