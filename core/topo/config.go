// Package topo holds a host's view of the platform: the operator's configuration of routes, services and limits,
// the registered backend servers, and the evacuated data centres, which get no requests.
package topo

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// routesByHost holds the routes by host name in lower case, those with the longest prefix first.
	routesByHost map[string][]*Route
	// accounts is nil if the configuration names no client accounts.
	accounts *accounts
	problems []string
}

// Limits bound the requests and the connections of callers.
type Limits struct {
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int
	// IdleTimeout is the time for which a caller's connection may be idle.
	IdleTimeout time.Duration
}

// Service is a group of replicas, any of which can answer a request to the service.
type Service struct {
	Name string
	// MaxConnections is the largest number of connections to one replica, over all hosts.
	MaxConnections int
	// WarmupRate is the number of requests per second that a cold replica may get from all hosts together; 0 means no
	// limit.
	WarmupRate float64
}

// NewConfig returns a version of the configuration with the given routes and services. Of routes with the same host and
// prefix the first one wins.
func NewConfig(version uint64, routes []*Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:      version,
		Limits:       limits,
		Services:     make(map[string]Service, len(services)),
		routesByHost: make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// HasRoute reports whether there is a route of that name.
func (c *Config) HasRoute(name string) bool {
	for _, routes := range c.routesByHost {
		for _, r := range routes {
			if r.Name == name {
				return true
			}
		}
	}
	return false
}

// SearchRoutes returns the routes to each shard set, by the set's first service. It is nil if the configuration names no client
// accounts, since only those make routes compete by priority.
func (c *Config) SearchRoutes() map[string][]*Route {
	if !c.HasAccounts() {
		return nil
	}
	bySet := make(map[string][]*Route)
	for _, routes := range c.routesByHost {
		for _, r := range routes {
			if set, ok := r.Target.(ShardSet); ok && len(set.Services) > 0 {
				bySet[set.Services[0]] = append(bySet[set.Services[0]], r)
			}
		}
	}
	return bySet
}

// Match returns the route for a Host header and a path: the one of that host with the longest prefix of the path.
// ok is false if there is none.
func (c *Config) Match(host, path string) (r *Route, ok bool) {
	for _, r := range c.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host name of a Host header in lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
