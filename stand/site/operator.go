package site

import "time"

// Register writes a server's entry with a new sequence number, its state (ready or draining) and its remaining warm-up time.
func (s *Site) Register(id, state string, warmupLeft time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.putEntry(id, state, warmupLeft, s.sequence)
}

// RegisterLate writes the first entry of a server once more, as a store that executes a write late.
func (s *Site) RegisterLate(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putEntry(id, "ready", 0, 1)
}

// putEntry writes a server's entry with a sequence number. The caller holds mu.
func (s *Site) putEntry(id, state string, warmupLeft time.Duration, sequence int) {
	server := s.servers[id]
	s.Store.Put("servers", id, Entry{
		Service:      server.service,
		Address:      server.advertised,
		Zone:         server.dataCentre,
		Version:      server.version,
		Concurrency:  4,
		State:        state,
		WarmupLeftMS: warmupLeft.Milliseconds(),
		Sequence:     sequence,
		Born:         server.born,
	})
}

// Drain makes a server leave: it registers as draining, or with removeEntry its entry is deleted without notice.
func (s *Site) Drain(id string, removeEntry bool) {
	s.servers[id].Set(func(s *Server) { s.drainingSince = time.Now() })
	if removeEntry {
		s.Store.Delete("servers", id)
		return
	}
	s.Register(id, "draining", 0)
}

// Reboot registers a server as ready after a new start under the same ID and at the same address.
func (s *Site) Reboot(id string) {
	s.servers[id].Set(func(s *Server) { s.born++ })
	s.Register(id, "ready", 0)
}

// Undrain ends the draining of a server and registers it as ready.
func (s *Site) Undrain(id string) {
	s.servers[id].Set(func(s *Server) { s.drainingSince = time.Time{} })
	s.Register(id, "ready", 0)
}

// EndEvacuation puts a data centre back in service.
func (s *Site) EndEvacuation(dataCentre string) {
	for _, server := range s.servers {
		if server.dataCentre == dataCentre {
			server.Set(func(s *Server) { s.evacuatedSince = time.Time{} })
		}
	}
	s.Store.Delete("evacuations", dataCentre)
}

// ChangeConfig changes the configuration and stores it as a new version.
func (s *Site) ChangeConfig(change func(c *Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.Config)
	s.Apply()
}

// MoveRoute stores a version of the configuration in which a route leads to another service. The services that it leaves must be
// those of no other route.
func (s *Site) MoveRoute(name, service string) {
	s.ChangeConfig(func(c *Config) {
		for i := range c.Routes {
			if c.Routes[i].Name != name {
				continue
			}
			for _, server := range s.servers {
				switch server.service {
				case service:
					server.Set(func(s *Server) { s.unroutedSince = time.Time{} })
				case c.Routes[i].Service:
					server.Set(func(s *Server) { s.unroutedSince = time.Now() })
				}
			}
			c.Routes[i].Service = service
		}
	})
}

// Evacuate takes a data centre out of service.
func (s *Site) Evacuate(dataCentre string) {
	for _, server := range s.servers {
		if server.dataCentre == dataCentre {
			server.Set(func(s *Server) { s.evacuatedSince = time.Now() })
		}
	}
	s.Store.Put("evacuations", dataCentre, struct{}{})
}

// Apply stores the configuration as a new version. Unlike ChangeConfig it does not lock the configuration.
func (s *Site) Apply() {
	s.Config.Version += 3
	s.shardSetsMu.Lock()
	defer s.shardSetsMu.Unlock()
	for _, r := range s.Config.Routes {
		if len(r.Shards) > 0 {
			s.shardSets = append(s.shardSets, r.Shards)
		}
	}
	s.keys.store(s.Config)
	s.Store.Put("config", "main", s.Config)
}
