package topo

import "time"

// Route maps requests with a host name and a path prefix to a target, and sets how they are handled.
type Route struct {
	Name string
	// Host is the host name in the Host header of the requests, without the port; its case is ignored.
	Host string
	// Prefix is the start of the path of the requests.
	Prefix string
	// Idempotent is set if a request may be executed more than once, so that retries and hedges are allowed.
	Idempotent bool
	// Timeout is the longest time for which a request may wait for its answer; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer has its full value to the caller, and a later one less than
	// that; 0 means that none is configured.
	LatencyObjective time.Duration
	// MaxAttempts is the largest number of replicas on which a request may run, per shard.
	MaxAttempts int
	// Priority ranks requests under overload; 0 is the most urgent.
	Priority int
	// Public is set if requests need no key of a client account.
	Public bool
	Target Target
}

// Target is the destination of a route's requests: a SingleService, a TrafficSplit or a ShardSet.
type Target interface {
	target()
}

// SingleService sends each request to one service.
type SingleService struct {
	Service string
}

// TrafficSplit sends each request to one of several services, chosen in proportion to their weights.
type TrafficSplit struct {
	Services []WeightedService
}

// WeightedService is a service of a TrafficSplit with its weight relative to the others.
type WeightedService struct {
	Service string
	Weight  float64
}

// ShardSet sends each request to all services of a shard set, one service for each shard, and merges their replies.
type ShardSet struct {
	Services []string
	// TopK is the largest number of records in a merged answer.
	TopK int
	// MinCoverage is the smallest share of the shards, between 0 and 1, that must have replied for an answer.
	MinCoverage float64
}

func (SingleService) target() {}
func (TrafficSplit) target()  {}
func (ShardSet) target()      {}

// ServiceAt returns the service at a position in the cumulative weights, where 0 is their start and 1 their end.
// Position 1 belongs to the last service.
func (s TrafficSplit) ServiceAt(position float64) string {
	total := 0.0
	for _, p := range s.Services {
		total += p.Weight
	}
	remaining := position * total
	for _, p := range s.Services {
		if remaining -= p.Weight; remaining < 0 {
			return p.Service
		}
	}
	return s.Services[len(s.Services)-1].Service
}
