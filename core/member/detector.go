package member

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
)

const (
	// probePeriod is the time between two probes that this host sends.
	probePeriod = 500 * time.Millisecond
	// probeTimeout is the timeout of a direct probe, and again of the indirect probes that follow it.
	probeTimeout = 500 * time.Millisecond
	// indirectProbeCount is the number of hosts asked to probe a member that does not answer.
	indirectProbeCount = 2
	// suspicionTimeout is the time that a suspect host has to refute the suspicion.
	suspicionTimeout = 2 * time.Second
	// removalTimeout is the time after which a leaving, unreachable or left host is removed from the view.
	removalTimeout = 2 * time.Hour
	// probesPerUnreachable is the number of probes of which one goes to an unreachable host, if there is any.
	probesPerUnreachable = 4
	// localProbesPerRemote is the number of probes within the data centre for each probe of a host in another one.
	// Remote probes carry updates between data centres, but traffic between data centres is expensive.
	localProbesPerRemote = 3
	// minRemotePerRound is the number of hosts of other data centres that a round probes at least, if there are as many.
	minRemotePerRound = 4
	// pauseThreshold is the lateness of a tick from which on this process is taken to have been paused.
	pauseThreshold = 400 * time.Millisecond
)

// Prober pings other hosts.
type Prober interface {
	// Ping exchanges updates with a member. It returns an error if the member does not answer before ctx ends.
	Ping(ctx context.Context, to Member) error
	// PingVia asks the member via to ping the member to. It returns an error if either does not answer before ctx ends.
	PingVia(ctx context.Context, via, to Member) error
}

// Detector probes members in random order and marks those that do not answer as suspect and then as unreachable.
type Detector struct {
	table  *Table
	prober Prober
	timer  *timer.Service
	// onPause is called after this process was paused.
	onPause func()
	// targets are the members still to be probed in this round.
	targets []Member
	// probes counts the calls of nextTarget.
	probes int
}

// NewDetector returns a detector that updates table. It calls onPause after each pause of this process.
func NewDetector(table *Table, prober Prober, t *timer.Service, onPause func()) *Detector {
	return &Detector{
		table:   table,
		prober:  prober,
		timer:   t,
		onPause: onPause,
	}
}

// Run probes one member every probePeriod until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticks := d.timer.Subscribe(ctx, probePeriod)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case tick := <-ticks:
			d.handleLateTick(tick)
			d.table.Expire(tick.At, suspicionTimeout, removalTimeout)
			if target, ok := d.nextTarget(); ok {
				group.Go(func() error {
					d.probe(ctx, target)
					return nil
				})
			}
		}
	}
}

// handleLateTick restarts all timeouts and calls onPause if the tick is so late that this process must have been
// paused.
func (d *Detector) handleLateTick(tick timer.Tick) {
	if tick.Late < pauseThreshold {
		return
	}
	d.table.RestartTimeouts(tick.At)
	d.onPause()
}

// nextTarget returns the next member to probe, or false if there is none.
// It starts a new round when the current one is over. A round covers all other reachable members of this data centre
// and some of other data centres, in random order; every probesPerUnreachable-th probe goes to a random unreachable
// member instead.
func (d *Detector) nextTarget() (Member, bool) {
	d.probes++
	if d.probes%probesPerUnreachable == 0 {
		if unreachable, ok := d.randomUnreachable(); ok {
			return unreachable, true
		}
	}
	for range 2 {
		for len(d.targets) > 0 {
			candidate := d.targets[0]
			d.targets = d.targets[1:]
			if m, ok := d.table.View().Get(candidate.ID); ok && m.reachable() {
				return m, true
			}
		}
		d.newRound()
	}
	return Member{}, false
}

// newRound sets the targets of a round.
func (d *Detector) newRound() {
	self := d.table.Self()
	var local, remote []Member
	for _, m := range d.table.View().Members() {
		switch {
		case m.ID == self.ID || !m.reachable():
		case m.DataCentre == self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	remote = remote[:min(len(remote), max(len(local)/localProbesPerRemote, minRemotePerRound))]
	d.targets = append(local, remote...)
	rand.Shuffle(len(d.targets), func(i, j int) { d.targets[i], d.targets[j] = d.targets[j], d.targets[i] })
}

func (d *Detector) randomUnreachable() (Member, bool) {
	var unreachable []Member
	for _, m := range d.table.View().Members() {
		if m.State == Unreachable {
			unreachable = append(unreachable, m)
		}
	}
	if len(unreachable) == 0 {
		return Member{}, false
	}
	return unreachable[rand.IntN(len(unreachable))], true
}

// probe pings a member directly and then via other hosts, and marks it as suspect if neither reaches it.
// An unreachable member is only pinged directly.
func (d *Detector) probe(ctx context.Context, to Member) {
	if d.ping(ctx, to) == nil || ctx.Err() != nil || !to.reachable() {
		return
	}
	if d.pingIndirect(ctx, to) || ctx.Err() != nil {
		return
	}
	d.table.Suspect(to)
}

func (d *Detector) ping(ctx context.Context, to Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return d.prober.Ping(ctx, to)
}

// pingIndirect reports whether any of indirectProbeCount other hosts reaches the member.
func (d *Detector) pingIndirect(ctx context.Context, to Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probers := d.indirectProbers(to)
	reached := make(chan bool, len(probers))
	group := new(errgroup.Group)
	for _, via := range probers {
		group.Go(func() error {
			reached <- d.prober.PingVia(ctx, via, to) == nil
			return nil
		})
	}
	_ = group.Wait()
	close(reached)
	for ok := range reached {
		if ok {
			return true
		}
	}
	return false
}

// indirectProbers returns random available members, other than this host and to.
func (d *Detector) indirectProbers(to Member) []Member {
	self := d.table.Self().ID
	var probers []Member
	for _, m := range d.table.View().Available() {
		if m.ID != self && m.ID != to.ID {
			probers = append(probers, m)
		}
	}
	rand.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	return probers[:min(indirectProbeCount, len(probers))]
}

// reachable reports whether the member is a target of regular probes.
func (m Member) reachable() bool { return m.State == Alive || m.State == Suspect || m.State == Leaving }
