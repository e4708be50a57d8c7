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
	// indirectProbes is the number of hosts asked to probe a silent one.
	indirectProbes = 2
	// suspicionTime is the time that a suspect host has to contradict.
	suspicionTime = 2 * time.Second
	// forgetTime is the time after which an unreachable host is forgotten.
	forgetTime = 2 * time.Hour
	// lostProbeEvery is the number of probes between two probes of an unreachable host.
	lostProbeEvery = 4
	// nearRounds is the number of probes within a data centre for each one to another; news crosses with those,
	// and bytes between data centres are dear.
	nearRounds = 3
	// minFar is the least number of hosts of other data centres that a round probes.
	minFar = 4
	// pauseLimit is the lateness of a tick that means that this process was paused.
	pauseLimit = 400 * time.Millisecond
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
	// paused is called after this process was paused.
	paused func()
	order  []Member
	round  int
}

// NewDetector returns a detector that keeps table up to date. paused is called after a pause of the process.
func NewDetector(table *Table, prober Prober, t *timer.Service, paused func()) *Detector {
	return &Detector{
		table:  table,
		prober: prober,
		timer:  t,
		paused: paused,
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
			d.afterPause(tick)
			d.table.Expire(tick.At, suspicionTime, forgetTime)
			if target, ok := d.next(); ok {
				group.Go(func() error {
					d.probe(ctx, target)
					return nil
				})
			}
		}
	}
}

func (d *Detector) afterPause(tick timer.Tick) {
	if tick.Late < pauseLimit {
		return
	}
	d.table.RestartTimeouts(tick.At)
	d.paused()
}

// next returns the members of this data centre and some of others in random order, each once a round,
// and now and then an unreachable one.
func (d *Detector) next() (Member, bool) {
	d.round++
	if d.round%lostProbeEvery == 0 {
		if lost, ok := d.anyLost(); ok {
			return lost, true
		}
	}
	for range 2 {
		for len(d.order) > 0 {
			candidate := d.order[0]
			d.order = d.order[1:]
			if m, ok := d.table.View().Get(candidate.ID); ok && m.reachable() {
				return m, true
			}
		}
		d.shuffle()
	}
	return Member{}, false
}

func (d *Detector) shuffle() {
	self := d.table.Self()
	var near, far []Member
	for _, m := range d.table.View().Members() {
		switch {
		case m.ID == self.ID || !m.reachable():
		case m.DataCentre == self.DataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	far = far[:min(len(far), max(len(near)/nearRounds, minFar))]
	d.order = append(near, far...)
	rand.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
}

func (d *Detector) anyLost() (Member, bool) {
	var lost []Member
	for _, m := range d.table.View().Members() {
		if m.State == Unreachable {
			lost = append(lost, m)
		}
	}
	if len(lost) == 0 {
		return Member{}, false
	}
	return lost[rand.IntN(len(lost))], true
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
	helpers := d.helpers(to)
	reached := make(chan bool, len(helpers))
	group := new(errgroup.Group)
	for _, via := range helpers {
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

func (d *Detector) helpers(to Member) []Member {
	self := d.table.Self().ID
	var helpers []Member
	for _, m := range d.table.View().Available() {
		if m.ID != self && m.ID != to.ID {
			helpers = append(helpers, m)
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(indirectProbes, len(helpers))]
}

func (m Member) reachable() bool { return m.State == Alive || m.State == Suspect || m.State == Leaving }
