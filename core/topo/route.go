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
	// Objective is the time within which an answer earns its full worth; 0 means that none is stated.
	Objective time.Duration
	// Attempts is the largest number of replicas on which one request may run, for each shard.
	Attempts int
	// Priority orders requests under overload; 0 is the most urgent.
	Priority int
	Target   Target
}

// Target tells which services a route's requests go to. Its cases are One, Split and Shards.
type Target interface {
	target()
}

// One sends each request to one service.
type One struct {
	Service string
}

// Split distributes requests among services in proportion to their weights.
type Split struct {
	Parts []Weighted
}

// Weighted is one service of a Split.
type Weighted struct {
	Service string
	Weight  float64
}

// Shards sends each request to every service of a shard set and merges the parts.
type Shards struct {
	Services []string
	// Top is the number of records in an answer.
	Top int
	// MinCoverage is the least share of shards that an answer may stand on.
	MinCoverage float64
}

func (One) target()    {}
func (Split) target()  {}
func (Shards) target() {}

// Share returns the service at a position between 0 and 1 of the summed weights.
func (s Split) Share(position float64) string {
	total := 0.0
	for _, p := range s.Parts {
		total += p.Weight
	}
	at := position * total
	for _, p := range s.Parts {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}
	return s.Parts[len(s.Parts)-1].Service
}
