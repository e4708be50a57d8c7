package topo

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is a host's view of the platform: configuration, servers, evacuated data centres and roll-outs. It is immutable.
type State struct {
	config    *Config
	servers   map[string]Server
	evacuated map[string]bool
	// rollouts holds the orders by service; nil means that the deployment has none. inUse holds the version of each service that
	// gets the calls. ordered holds the services for which an order has been known.
	rollouts map[string]Rollout
	inUse    map[string]string
	ordered  map[string]bool
	// needless holds the times at which orders for the version in use were first seen, by service.
	needless map[string]time.Time
	// replicas holds the eligible servers by service, ordered by ID.
	replicas map[string][]Server
}

// Config returns the operator's configuration, or nil if none has been received yet.
func (s *State) Config() *Config { return s.config }

// Server returns the registered server of that ID; ok is false if there is none.
func (s *State) Server(id string) (server Server, ok bool) {
	server, ok = s.servers[id]
	return server, ok
}

// Servers returns all registered servers ordered by ID.
func (s *State) Servers() []Server {
	return slices.SortedFunc(maps.Values(s.servers), compareServerIDs)
}

// Replicas returns the eligible servers of a service, ordered by ID; the slice must not be modified.
func (s *State) Replicas(service string) []Server { return s.replicas[service] }

// Eligible reports whether a server may get requests: it is registered and not draining, and its data centre is not
// evacuated.
func (s *State) Eligible(id string) bool {
	server, ok := s.servers[id]
	return ok && !server.Draining && !s.evacuated[server.DataCentre]
}

// Evacuated reports whether the operators have taken a data centre out of service, so that it gets no requests.
func (s *State) Evacuated(dataCentre string) bool { return s.evacuated[dataCentre] }

// WithConfig returns a state with the configuration c, or s itself if its configuration is of the same or a newer
// version.
func (s *State) WithConfig(c *Config) *State {
	if s.config != nil && s.config.Version >= c.Version {
		return s
	}
	next := *s
	next.config = c
	return &next
}

// WithServers returns a state in which exactly these servers are registered, by ID.
func (s *State) WithServers(servers map[string]Server) *State {
	next := *s
	next.servers = servers
	next.deriveReplicas()
	return &next
}

// WithEvacuated returns a state in which exactly these data centres are evacuated.
func (s *State) WithEvacuated(dataCentres map[string]bool) *State {
	next := *s
	next.evacuated = dataCentres
	next.deriveReplicas()
	return &next
}

// deriveReplicas recomputes inUse and replicas from the other fields.
func (s *State) deriveReplicas() {
	s.inUse = s.deriveVersions()
	s.replicas = make(map[string][]Server)
	for id, server := range s.servers {
		if s.Eligible(id) {
			s.replicas[server.Service] = append(s.replicas[server.Service], server)
		}
	}
	for _, list := range s.replicas {
		slices.SortFunc(list, compareServerIDs)
	}
}

func compareServerIDs(a, b Server) int { return strings.Compare(a.ID, b.ID) }
