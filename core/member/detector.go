package member

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
)

const (
	// probePeriod is the time between two probes of a host.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds a direct probe and, once more, the indirect ones.
	probeTimeout = 500 * time.Millisecond
	// indirectProbeCount is the number of hosts asked to probe a silent one.
	indirectProbeCount = 2
	// suspicionTimeout is the time that a suspect host has to contradict.
	suspicionTimeout = 2 * time.Second
	// removalTimeout is the time after which an unreachable host is forgotten.
	removalTimeout = 2 * time.Hour
	// unreachableProbeInterval is the number of probes between two probes of an unreachable host.
	unreachableProbeInterval = 4
	// localRoundsPerRemote is the number of probes within a data centre for each one to another; news crosses with those,
	// and bytes between data centres are dear.
	localRoundsPerRemote = 3
	// minRemotePerRound is the least number of hosts of other data centres that a round probes.
	minRemotePerRound = 4
	// pauseThreshold is the lateness of a tick that means that this process was paused.
	pauseThreshold = 400 * time.Millisecond
)

// Prober reaches other hosts.
type Prober interface {
	// Ping exchanges news with a member and returns an error when it does not answer in time.
	Ping(ctx context.Context, to Member) error
	// PingVia asks a member to ping another one and returns an error when that does not answer in time.
	PingVia(ctx context.Context, via, to Member) error
}

// Detector probes random members and declares those unreachable that stay silent.
type Detector struct {
	table  *Table
	prober Prober
	timer  *timer.Service
	// onPause is called after this process was onPause.
	onPause func()
	targets []Member
	probes  int
}

// NewDetector returns a detector that keeps table up to date. paused is called after a pause of the process.
func NewDetector(table *Table, prober Prober, t *timer.Service, onPause func()) *Detector {
	return &Detector{
		table:   table,
		prober:  prober,
		timer:   t,
		onPause: onPause,
	}
}

// Run probes until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticks := d.timer.Subscribe(ctx, probePeriod)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case tick := <-ticks:
			d.checkPause(tick)
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

func (d *Detector) checkPause(tick timer.Tick) {
	if tick.Late < pauseThreshold {
		return
	}
	d.table.RestartTimeouts(tick.At)
	d.onPause()
}

// nextTarget returns the members of this data centre and some of others in random order, each once a round,
// and now and then an unreachable one.
func (d *Detector) nextTarget() (Member, bool) {
	d.probes++
	if d.probes%unreachableProbeInterval == 0 {
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
	remote = remote[:min(len(remote), max(len(local)/localRoundsPerRemote, minRemotePerRound))]
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

// pingIndirect reports whether any of a few other hosts reaches the member.
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

func (m Member) reachable() bool { return m.State == Alive || m.State == Suspect || m.State == Leaving }
