package main

import "time"

// hostName is the Host header of the clients.
const hostName = "leno12.example"

// routeSpec is a route of the operator's configuration.
type routeSpec struct {
	name     string
	prefix   string
	kind     string
	service  string
	timeout  time.Duration
	attempts int
}

// configure writes a version of the configuration to the store.
func (r *rig) configure(version int, routes []routeSpec, services map[string]float64) {
	wireRoutes := []map[string]any{}
	for _, route := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"name":              route.name,
			"host":              hostName,
			"path_prefix":       route.prefix,
			"route_type":        route.kind,
			"timeout_ms":        route.timeout.Milliseconds(),
			"target_latency_ms": 800,
			"priority":          2,
			"service":           route.service,
			"attempts":          route.attempts,
		})
	}
	wireServices := []map[string]any{}
	for name, warmup := range services {
		wireServices = append(wireServices, map[string]any{
			"name":            name,
			"health_path":     "/health",
			"max_connections": 110,
			"protocol":        "h1",
			"tls_enabled":     false,
			"warmup_s":        3.0,
			"warmup_per_s":    warmup,
		})
	}
	r.store.put("config", "main", map[string]any{
		"version":  version,
		"routes":   wireRoutes,
		"services": wireServices,
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    262144,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	})
	r.record.writef("store     configuration %d confirmed", version)
}

// startHosts starts the named hosts of one zone with the given number of them as seeds, and waits until all are ready.
func (r *rig) startHosts(zone string, names ...string) ([]*host, error) {
	var hosts []*host
	var seeds []string
	for _, name := range names {
		h, err := r.newHost(name, zone)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.control)
		}
	}
	for _, h := range hosts {
		if err := h.start(seeds); err != nil {
			return nil, err
		}
	}
	for _, h := range hosts {
		if err := waitUntil("host "+h.name+" ready", 10*time.Second, h.ready); err != nil {
			return nil, err
		}
	}
	// Traffic starts 10 s after the machines do on the site.
	time.Sleep(6 * time.Second)
	return hosts, nil
}
