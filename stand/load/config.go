// Package load runs experiments: a fleet of hosts with stand-ins, requests at a steady rate, and faults at set times.
package load

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks/core/deploy"
)

// Config describes one experiment.
type Config struct {
	Deployment deploy.Spec
	Seed       uint64
	// Rate is the number of requests a second, with random gaps.
	Rate     float64
	Duration time.Duration
	// Settle is the time before Duration in which the same load runs but latencies are not counted.
	Settle time.Duration
	Faults []Fault
	Policy string
	Hosts  int
	Log    hclog.Logger
}
