// Package lint checks a configuration before it is sent, and compares it with the one in force. It does no I/O; the platform's names
// and formats are not its own, so that findings name places by kind, index and field.
package lint

import "time"

// Config is a configuration as its operator wrote it: in order, and with entries that contradict each other.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route is a route as written. Of Service, Split and Shards one is set if the route is right.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent and Once say which type is written; neither is set for an unknown one.
	Idempotent  bool
	Once        bool
	Timeout     time.Duration
	Objective   time.Duration
	MaxAttempts int
	Priority    int
	// Public routes need no key.
	Public      bool
	Service     string
	Split       []Part
	Shards      []string
	TopK        int
	MinCoverage float64
}

// Part is a part of a traffic split.
type Part struct {
	Service string
	Weight  float64
}

// Service is a group of replicas.
type Service struct {
	Name           string
	MaxConnections int
	// WarmupRate is the rate that a cold replica bears, and WarmupTime the time for which it is cold; 0 if not stated.
	WarmupRate float64
	WarmupTime time.Duration
}

// Account is a client account with its keys and its allowance; a Rate of 0 means no limit.
type Account struct {
	Name     string
	Keys     []string
	Rate     float64
	Burst    float64
	Priority int
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// services returns the services to which a route leads, in order.
func (r Route) services() []string {
	switch {
	case len(r.Shards) > 0:
		return r.Shards
	case len(r.Split) > 0:
		names := make([]string, len(r.Split))
		for i, p := range r.Split {
			names[i] = p.Service
		}
		return names
	case r.Service != "":
		return []string{r.Service}
	default:
		return nil
	}
}
