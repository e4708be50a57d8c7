// Package launch carries out the roll-outs that operators order: hosts report how calls to the new version went, the deciding host of
// the service says which part of the calls that version gets, and writes the state of the roll-out to the store.
package launch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/canary"
	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
	"magnoliaworks/core/watch"
)

var (
	// ErrAbsent reports that an order is not in the store.
	ErrAbsent = errors.New("the order does not exist")
	// ErrChanged reports that an order has changed since it was read, so that nothing was written.
	ErrChanged = errors.New("the order has changed")
)

// Store reads orders and writes their states.
type Store interface {
	// Get returns an order, or ErrAbsent.
	Get(ctx context.Context, name string) (watch.Object, error)
	// PutState writes the state of an order if it still has the revision of r. It returns the order as the store has it, or an empty
	// object if the store didn't state it. The error is ErrChanged if nothing was written since the order has changed; after any other
	// error the state may be written, also later, or to another version of the order after a return of the store.
	PutState(ctx context.Context, r topo.Rollout, state topo.RolloutState) (watch.Object, error)
}

// Peers calls other hosts.
type Peers interface {
	// Evidence sends a report to a host and returns its word.
	Evidence(ctx context.Context, to member.Member, report Report) (Word, error)
}

// Report is what a host tells the deciding one.
type Report struct {
	Host string
	// Order names the order, Revision is that which the host knows, and Version the order's version.
	Order    string
	Revision uint64
	Version  string
	// Age is the time since the host first saw the order.
	Age time.Duration
	// Condemned tells why the version is bad, if the host has heard so.
	Condemned string
	Rows      []canary.Row
}

// Word is what a host answers to a report.
type Word struct {
	// Decides is set if the host decides on the order. Otherwise only Condemned and Order count.
	Decides bool
	// Part is the part of the calls for the new version, as far as quotas permit.
	Part float64
	// Condemned tells why the version is bad; it is empty unless it is.
	Condemned string
	// Order is the order if its revision is newer than the report's or the store has lost its state, and else empty.
	Order watch.Object
}

// Traffic directs the calls of this host.
type Traffic interface {
	// Steer sets the part of the calls to a service that go to a version until some time; then it is 0.
	Steer(service, version string, part float64, until time.Time)
	// Evidence returns how calls to a service went since the last time.
	Evidence(service string) []canary.Row
}

// Orders is what this host knows of the orders.
type Orders interface {
	// Learn takes over an object if it is newer than the known one.
	Learn(kind watch.Kind, o watch.Object)
	// Object returns the newest known version of an object; ok is false if none is known.
	Object(kind watch.Kind, name string) (o watch.Object, ok bool)
}

// Membership names the hosts.
type Membership interface {
	// Available returns the hosts that accept new work.
	Available() []member.Member
	// HostCount returns the number of hosts, those included that can't be reached.
	HostCount() int
}

// Options are the dependencies and settings of a Keeper.
type Options struct {
	Self       string
	Store      Store
	Peers      Peers
	Traffic    Traffic
	Orders     Orders
	Membership Membership
	State      *topo.Current
	Timer      *timer.Service
	Journal    *trace.Journal
	// CountEvent counts an event by name.
	CountEvent func(name string)
	// Share returns the share of the requests for a service that a new version may get.
	Share func() float64
	// RollbackTime returns the time within which a bad version has to be left, or 0 if none is set.
	RollbackTime func() time.Duration
}
