// Package canary decides how a new version of a service is tried beside the old one: how many calls each host may send it, which part
// of the calls goes to it, and whether it is good. It has no input or output.
package canary

import "sync"

const (
	// usableShare is the part of the fleet's share that hosts use. The rest covers requests that hosts count and that are lost on the
	// way.
	usableShare = 0.8
	// usableSlack is the part of the fleet's slack that hosts begin with. The rest covers chance, and hosts that are restarted.
	usableSlack = 0.4
)

// Quota bounds the calls of one host to the new version to a share of the requests that it has brought to the service. The quotas of
// all hosts together keep the share of the fleet, whatever hosts know of each other. It is safe for concurrent use.
type Quota struct {
	mu sync.Mutex
	// share is earned for each request, and credit is what is left of it, in calls.
	share  float64
	credit float64
}

// NewQuota returns the quota of one of some hosts for a share of the fleet's requests and a fixed number more, the slack. draw, a random
// number between 0 and 1, lets hosts with few requests send their share on average.
func NewQuota(share, slack float64, hosts int, draw float64) *Quota {
	return &Quota{
		share:  usableShare * share,
		credit: draw + usableSlack*slack/float64(max(hosts, 1)),
	}
}

// Earn counts a request that has reached a server of the service.
func (q *Quota) Earn() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.credit += q.share
}

// Permits reports whether one more call is within the quota.
func (q *Quota) Permits() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.credit >= 1
}

// Spend charges a call to the new version, of whatever kind. Calls that were permitted at the same time may overdraw the quota, which
// permits no other one until that is earned.
func (q *Quota) Spend() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.credit--
}
