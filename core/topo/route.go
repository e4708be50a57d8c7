package topo

import "time"

// Route tells where requests with a host name and a path prefix go, and how they are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that the operator wants a request kept waiting; 0 means no bound.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer earns its full worth; 0 means that none is stated.
	LatencyObjective time.Duration
	// MaxAttempts is the largest number of replicas on which one request may run, for each shard.
	MaxAttempts int
	// Priority orders requests under overload; 0 is the most urgent.
	Priority int
	Target   Target
}

// Target tells which services a route's requests go to. Its cases are SingleService, TrafficSplit and ShardSet.
type Target interface {
	target()
}

// SingleService sends each request to one service.
type SingleService struct {
	Service string
}

// TrafficSplit distributes requests among services in proportion to their weights.
type TrafficSplit struct {
	Services []WeightedService
}

// WeightedService is one service of a TrafficSplit.
type WeightedService struct {
	Service string
	Weight  float64
}

// ShardSet sends each request to every service of a shard set and merges the parts.
type ShardSet struct {
	Services []string
	// TopK is the number of records in an answer.
	TopK int
	// MinCoverage is the least share of shards that an answer may stand on.
	MinCoverage float64
}

func (SingleService) target() {}
func (TrafficSplit) target()  {}
func (ShardSet) target()      {}

// ServiceAt returns the service at a position between 0 and 1 of the summed weights.
func (s TrafficSplit) ServiceAt(position float64) string {
	total := 0.0
	for _, p := range s.Services {
		total += p.Weight
	}
	at := position * total
	for _, p := range s.Services {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}
	return s.Services[len(s.Services)-1].Service
}
