// Package quota keeps the requests of each client account within its allowance over all hosts. Hosts hold leases of slots, which
// one host divides among them; docs/design/allowances.md describes how and why the sum stays within the allowance.
// The load that it answers: accounts of very different size whose callers are spread over all hosts, and accounts that send
// many times their allowance.
package quota

import (
	"time"

	"magnoliaworks/core/topo"
)

// Bounds are the terms by which all allowances are measured.
type Bounds struct {
	// Window is the span within which requests are counted. Overage, a share of the allowance, and Slack, in requests, widen it.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Slots returns the number of requests of an account that may be executed within any window, over all hosts.
func (b Bounds) Slots(account topo.Account) int {
	return int((account.Rate*b.Window.Seconds()+account.Burst)*(1+b.Overage) + b.Slack)
}

// reserve returns the number of an account's slots that are kept for hosts that have just started: what the allowance is widened
// by, but maxReserveShare of all slots at most.
func (b Bounds) reserve(account topo.Account) int {
	slots := float64(b.Slots(account))
	widened := slots - account.Rate*b.Window.Seconds() - account.Burst
	return int(min(widened, maxReserveShare*slots))
}

const (
	maxReserveShare = 0.25
	// renewalPerHost is the interval between a host's reports for each host of the fleet, so that a divider gets ten reports
	// a second at any size; minRenewal is the least interval.
	renewalPerHost = 100 * time.Millisecond
	minRenewal     = 4 * time.Second
	// renewalsPerLease is the validity of a lease in intervals between reports. It leaves a host that is cut off two of them.
	renewalsPerLease = 3
	// tokenValidity is the time within which a token is used.
	tokenValidity = time.Second
)

// renewal returns the interval between the reports of a host in a fleet of that many hosts.
func renewal(hosts int) time.Duration { return max(time.Duration(hosts)*renewalPerHost, minRenewal) }

// promise returns the time for which a report binds its sender, if leases are valid for that long.
func promise(validity, window time.Duration) time.Duration { return 2*validity + window }

// elapsed returns the time from since to now by the steady clock or the wall clock, whichever is longer: the steady clock may
// stand still while a host is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
