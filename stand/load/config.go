// Package load runs experiments: an open-loop load on a fleet of hosts with stand-ins for the store and the backend
// servers, with faults at given times.
package load

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks/core/deploy"
)

// Config describes one experiment.
type Config struct {
	Deployment deploy.Spec
	// Seed determines arrivals, kinds and service times.
	Seed uint64
	// Rate is the mean number of requests a second; arrivals are a Poisson process.
	Rate float64
	// Duration is the measured time.
	Duration time.Duration
	// Settle is the time before Duration in which the same load runs but only violations are counted.
	Settle time.Duration
	Faults []Fault
	// Policy selects how hosts choose replicas: "full" or "naive".
	Policy string
	Hosts  int
	Log    hclog.Logger
}
