// Package topo describes what the platform's operator has configured: routes, services, limits,
// the backend servers that are registered, and the data centres that are to get nothing.
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
	// byHost holds the routes of each host name, those with the longest prefix first.
	byHost map[string][]*Route
}

// Limits bound what a caller may send and how long its connection may be idle.
type Limits struct {
	MaxBodyBytes int
	IdleTimeout  time.Duration
}

// Service is a group of replicas.
type Service struct {
	Name           string
	MaxConnections int
	// WarmupRate is the number of requests a second that a cold replica bears from the whole fleet; 0 means no bound.
	WarmupRate float64
}

// NewConfig returns a configuration of the given routes and services.
func NewConfig(version uint64, routes []*Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the route of the host name with the longest prefix of the path; ok is false when there is none.
func (c *Config) Match(host, path string) (r *Route, ok bool) {
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the name in a Host header without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
