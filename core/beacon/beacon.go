// Package beacon lets hosts that know no other host find the fleet through the store. Such a host puts up a beacon, an object with its
// address; one host of the fleet looks for beacons and joins their owners, and so do hosts that have a beacon themselves.
package beacon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

const (
	// tickPeriod is the time between two checks whether a look is due.
	tickPeriod = time.Second
	// patience is the time after its start within which a host is expected to be joined through its settings.
	patience = 2 * time.Second
	// fleetPeriod is the time between two looks on behalf of a fleet. For a host that knows no other one it grows from minPeriod to
	// maxPeriod.
	fleetPeriod = 5 * time.Second
	minPeriod   = 2 * time.Second
	maxPeriod   = 30 * time.Second
	// putPeriod is the time after which a beacon that lists lack is put up again; stale lists may lack it for seconds.
	putPeriod = 15 * time.Second
	// holdTime is the time for which a beacon stays up at least. Hosts that have found each other by their beacons may still not
	// know the fleet, which sees a beacon within fleetPeriod and the age of a stale list.
	holdTime = 20 * time.Second
	// maxLooks is the number of looks after which the fleet removes a beacon: its owner has removed it when it was joined, or is gone.
	maxLooks = 6
	// maxJoins is the largest number of hosts that are joined after one look.
	maxJoins = 16
	// callTimeout bounds each call to the store and each join; removeTimeout that to remove the beacon when the host ends.
	callTimeout   = time.Second
	removeTimeout = 300 * time.Millisecond
)

// Beacon is the object of a host that knows no other one.
type Beacon struct {
	// ID is the host's, and Address that at which other hosts reach it.
	ID         string
	Address    string
	DataCentre string
	// Revision is the ordinal of the object in the store, see watch.Ordinal; it is 0 for one that wasn't listed.
	Revision uint64
}

// Store keeps beacons.
type Store interface {
	// List returns all beacons. They may be seconds old.
	List(ctx context.Context) ([]Beacon, error)
	// Put stores a beacon in place of an older one of the same host.
	Put(ctx context.Context, b Beacon) error
	// Remove removes a beacon, if it still has b.Revision or that is 0.
	Remove(ctx context.Context, b Beacon) error
}

// Fleet is what the host knows of other hosts.
type Fleet interface {
	// Alone reports whether no other host is known, and Knows whether a host is known and takes work.
	Alone() bool
	Knows(id string) bool
	// ChecksStore reports whether this host looks at the store on behalf of the fleet.
	ChecksStore() bool
	// Join makes this host and the one at an address known to each other.
	Join(ctx context.Context, address string) error
}

// Keeper puts up the beacon of a host while it knows no other one, and looks for the beacons of others.
type Keeper struct {
	self    Beacon
	store   Store
	fleet   Fleet
	timer   *timer.Service
	journal *trace.Journal

	// state is owned by Run.
	state state
}

// state is what a Keeper remembers between looks.
type state struct {
	startedAt time.Time
	nextLook  time.Time
	// period is the time between two looks of a host that knows no other one.
	period time.Duration
	// up is set while this host's beacon may be in the store. putAt is the time at which it was put up, and removeAt that from
	// which it is removed once another host is known.
	up       bool
	putAt    time.Time
	removeAt time.Time
	// looks counts the looks at which each beacon was found, by its owner and revision.
	looks map[Beacon]int
	// failed is set while calls to the store fail, so that only the first failure is recorded.
	failed bool
}

// New returns a keeper that does nothing until Run is called. self has no revision.
func New(self Beacon, store Store, fleet Fleet, t *timer.Service, journal *trace.Journal) *Keeper {
	return &Keeper{
		self:    self,
		store:   store,
		fleet:   fleet,
		timer:   t,
		journal: journal,
	}
}

// Run keeps the host's beacon and looks for others until ctx ends, and then removes its own.
func (k *Keeper) Run(ctx context.Context) error {
	k.state = state{
		startedAt: time.Now(),
		period:    minPeriod,
		looks:     make(map[Beacon]int),
	}
	ticks := k.timer.Subscribe(ctx, tickPeriod)
	for {
		select {
		case <-ctx.Done():
			endCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
			defer cancel()
			k.removeOwn(endCtx, "the host ends")
			return nil
		case tick := <-ticks:
			k.tick(ctx, tick.At)
		}
	}
}

// tick looks for beacons if that is due, and removes this host's holdTime after it was put up, once another host is known.
func (k *Keeper) tick(ctx context.Context, now time.Time) {
	alone := k.fleet.Alone()
	if !alone {
		k.state.period = minPeriod
	}
	if !alone && now.After(k.state.removeAt) {
		k.removeOwn(ctx, "another host is known")
	}
	if now.Before(k.state.nextLook) || now.Sub(k.state.startedAt) < patience {
		return
	}
	switch {
	case alone:
		k.look(ctx, true)
		k.state.nextLook = now.Add(k.state.period/2 + rand.N(k.state.period))
		k.state.period = min(2*k.state.period, maxPeriod)
	case k.fleet.ChecksStore():
		k.look(ctx, false)
		k.state.nextLook = now.Add(fleetPeriod)
	default:
		clear(k.state.looks)
	}
}

// look lists the beacons and joins the owners of some. A host that knows no other one puts up its own if the list lacks it, and
// removes none: it may be cut off from hosts that reach the store.
func (k *Keeper) look(ctx context.Context, alone bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := k.store.List(callCtx)
	k.recordFailure("list", err)
	if err != nil {
		return
	}
	unknown, own := k.split(listed)
	k.join(ctx, unknown)
	switch {
	case !alone:
		k.removeLeftOver(ctx, listed)
	case !own && k.fleet.Alone() && time.Since(k.state.putAt) > putPeriod:
		k.put(ctx)
	}
}

// split returns the beacons of hosts that are not known, and whether this host's is among the listed ones.
func (k *Keeper) split(listed []Beacon) (unknown []Beacon, own bool) {
	for _, b := range listed {
		switch {
		case b.ID == k.self.ID:
			own = own || b.Address == k.self.Address
		case !k.fleet.Knows(b.ID):
			unknown = append(unknown, b)
		}
	}
	return unknown, own
}

// join joins the owners of up to maxJoins beacons.
func (k *Keeper) join(ctx context.Context, beacons []Beacon) {
	rand.Shuffle(len(beacons), func(i, j int) { beacons[i], beacons[j] = beacons[j], beacons[i] })
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	for _, b := range beacons[:min(maxJoins, len(beacons))] {
		group.Go(func() error {
			if err := k.fleet.Join(callCtx, b.Address); err != nil {
				k.journal.Record("beacon", b.ID, "host not reached", err.Error())
				return nil
			}
			k.journal.Record("beacon", b.ID, "host joined", "its beacon states "+b.Address)
			return nil
		})
	}
	_ = group.Wait()
}

// removeLeftOver removes the beacons that were found at maxLooks looks of this host.
func (k *Keeper) removeLeftOver(ctx context.Context, listed []Beacon) {
	looks := make(map[Beacon]int, len(listed))
	for _, b := range listed {
		looks[b] = k.state.looks[b] + 1
		if looks[b] < maxLooks {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.store.Remove(callCtx, b)
		cancel()
		k.recordFailure("remove", err)
		if err == nil {
			k.journal.Record("beacon", b.ID, "removed", "its owner has left it")
		}
	}
	k.state.looks = looks
}

// put puts up this host's beacon. Without an answer it may be up all the same.
func (k *Keeper) put(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.state.up, k.state.putAt, k.state.removeAt = true, time.Now(), time.Now().Add(holdTime)
	err := k.store.Put(callCtx, k.self)
	k.recordFailure("put", err)
	if err == nil {
		k.journal.Record("beacon", k.self.ID, "put up", "no other host is known")
	}
}

// removeOwn removes this host's beacon if it may be in the store. A failed removal is repeated after fleetPeriod.
func (k *Keeper) removeOwn(ctx context.Context, cause string) {
	if !k.state.up {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.store.Remove(callCtx, k.self)
	k.recordFailure("remove", err)
	k.state.removeAt = time.Now().Add(fleetPeriod)
	if err == nil {
		k.state.up, k.state.putAt = false, time.Time{}
		k.journal.Record("beacon", k.self.ID, "removed", cause)
	}
}

// recordFailure records the first of several failed calls.
func (k *Keeper) recordFailure(call string, err error) {
	if err != nil && !k.state.failed {
		k.journal.Record("beacon", "store", "call failed", call+" beacons: "+err.Error())
	}
	k.state.failed = err != nil
}
