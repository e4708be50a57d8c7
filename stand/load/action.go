package load

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/config"
	"magnoliaworks/core/deploy"
	"magnoliaworks/core/shell"
	"magnoliaworks/core/timer"
	"magnoliaworks/stand"
)

const (
	// stragglerFactor is the factor by which straggling servers are slower.
	stragglerFactor = 20
	// liarFactor is the factor by which servers that claim to be idle are slower.
	liarFactor = 10
	// slowStore is the time that a slow store adds to each call.
	slowStore = 300 * time.Millisecond
	// lostReplies is the chance in percent that a slow store loses the reply to a write.
	lostReplies = 40
	// overloadFactor multiplies the rate.
	overloadFactor = 4
	// takeOver is the time that the replicas of a collection need to take over a snapshot.
	takeOver = 1500 * time.Millisecond
	// centreAway and pauseTime are the lengths of faults that name no end.
	centreAway = 4 * time.Second
	pauseTime  = 2 * time.Second
	// everyTenth selects a share of servers.
	everyTenth = 10
	// everyFifth selects a share of servers.
	everyFifth = 5
)

// action switches a fault on and off. An off that is nil means that the fault ends by itself.
type action struct {
	on  func(ctx context.Context, r *run) error
	off func(ctx context.Context, r *run) error
	// length is the length of a fault that names no end; 0 means to the end of the experiment.
	length time.Duration
}

var actions map[string]action

func init() {
	actions = map[string]action{
		"straggler":       eachServer(everyTenth, func(s *stand.Server) { s.SetSlowdown(stragglerFactor) }, func(s *stand.Server) { s.SetSlowdown(1) }),
		"server_leave":    eachServer(everyTenth, func(s *stand.Server) { s.SetDraining(true) }, func(s *stand.Server) { s.SetDraining(false) }),
		"replica_loss":    {on: loseReplicas, off: returnReplicas},
		"repartition":     {on: func(ctx context.Context, r *run) error { return r.publish(ctx, true) }},
		"snapshot_change": {on: func(ctx context.Context, r *run) error { return r.publish(ctx, false) }},
		"cold_restart":    {on: restartCold},
		"health_lies": eachServer(everyTenth, func(s *stand.Server) { s.SetReportsIdle(true); s.SetSlowdown(liarFactor) },
			func(s *stand.Server) { s.SetReportsIdle(false); s.SetSlowdown(1) }),
		"silent_connections": {on: func(_ context.Context, r *run) error {
			r.platform.Network.SilenceServers(func() bool { return r.chance(2) })
			return nil
		}},
		"centre_out_and_back": {on: centreOut, off: centreIn, length: centreAway},
		"store_down":          store(stand.StoreFaults{Down: true}),
		"store_slow":          store(stand.StoreFaults{ExtraLatency: slowStore}),
		"store_lost_reply":    store(stand.StoreFaults{LostReplyPercent: lostReplies}),
		"store_stale_read":    store(stand.StoreFaults{StaleReads: true}),
		"host_restart":        {on: func(_ context.Context, r *run) error { return r.fleet.Restart(0) }},
		"host_pause": {
			on:     func(_ context.Context, r *run) error { r.hold(true); return nil },
			off:    func(_ context.Context, r *run) error { r.hold(false); return nil },
			length: pauseTime,
		},
		"peer_link_loss": {
			on:  func(_ context.Context, r *run) error { r.cut(true); return nil },
			off: func(_ context.Context, r *run) error { r.cut(false); return nil },
		},
		"overload": {
			on:  func(_ context.Context, r *run) error { r.factor.Store(overloadFactor); return nil },
			off: func(_ context.Context, r *run) error { r.factor.Store(1); return nil },
		},
	}
}

func eachServer(every int, on, off func(*stand.Server)) action {
	each := func(do func(*stand.Server)) func(context.Context, *run) error {
		return func(_ context.Context, r *run) error {
			for i, s := range r.platform.Servers() {
				if i%every == 0 {
					do(s)
				}
			}
			return nil
		}
	}
	return action{
		on:  each(on),
		off: each(off),
	}
}

func store(f stand.StoreFaults) action {
	return action{
		on: func(_ context.Context, r *run) error {
			r.platform.Store.SetFaults(f)
			return nil
		},
		off: func(_ context.Context, r *run) error {
			r.platform.Store.SetFaults(stand.StoreFaults{})
			return nil
		},
	}
}

// firstReplicas returns the first replica of every service.
func (r *run) firstReplicas() []*stand.Server {
	var first []*stand.Server
	for _, c := range r.platform.Deployment.Collections {
		for i := range c.Services {
			first = append(first, r.platform.Server(deploy.ReplicaID(deploy.ServiceName(c.Name, i), 0)))
		}
	}
	return first
}

func loseReplicas(_ context.Context, r *run) error {
	for _, s := range r.firstReplicas() {
		s.Stop()
	}
	return nil
}

func returnReplicas(_ context.Context, r *run) error {
	for _, s := range r.firstReplicas() {
		if err := s.RestartCold(); err != nil {
			return err
		}
	}
	return nil
}

func restartCold(_ context.Context, r *run) error {
	for i, s := range r.platform.Servers() {
		if i%everyFifth != 0 {
			continue
		}
		s.Stop()
		if err := s.RestartCold(); err != nil {
			return err
		}
	}
	return nil
}

// publish brings a new snapshot to the first collection; its replicas take it over one after the other and then drop the old one.
func (r *run) publish(ctx context.Context, split bool) error {
	collection := r.platform.Deployment.Collections[0]
	version, err := r.platform.Publish(collection.Name, split)
	if err != nil {
		return err
	}
	var replicas []*stand.Server
	for i := range collection.Services {
		for k := range collection.Replicas {
			replicas = append(replicas, r.platform.Server(deploy.ReplicaID(deploy.ServiceName(collection.Name, i), k)))
		}
	}
	for _, s := range replicas {
		s.SetSnapshots(version-1, version)
		if err := timer.Sleep(ctx, takeOver/time.Duration(len(replicas))); err != nil {
			return nil
		}
	}
	for _, s := range replicas {
		s.SetSnapshots(version, version)
	}
	return nil
}

func (r *run) hold(on bool) { r.platform.Network.Hold(r.fleet.Settings(1).ID, on) }

func (r *run) cut(on bool) {
	centres := r.platform.Deployment.DataCentres
	r.platform.Network.Cut(centres[0], centres[1], on)
}

func centreOut(ctx context.Context, r *run) error { return r.moveCentre(ctx, "take out", true) }

func centreIn(ctx context.Context, r *run) error { return r.moveCentre(ctx, "bring in", false) }

// moveCentre gives the command to the hosts in turn until one says that it was accepted.
func (r *run) moveCentre(ctx context.Context, verb string, out bool) error {
	centre := r.platform.Deployment.DataCentres[0]
	command := fmt.Sprintf("%s data_centre %s because %q", verb, centre, "experiment")
	origin := shell.Origin{
		Operator: "load",
		From:     "experiment",
	}
	for try := 0; ctx.Err() == nil; try++ {
		if r.accepted(centre) == out {
			break
		}
		host := r.fleet.Host(try % len(r.fleet.settings))
		if _, err := host.Command(ctx, origin, command); err != nil {
			r.log.Debug("command not accepted", "command", command, "error", err)
			if timer.Sleep(ctx, commandPause) != nil {
				return errors.Wrap(ctx.Err(), command)
			}
		}
	}
	for _, s := range r.platform.Servers() {
		if s.DataCentre() == centre {
			s.SetOutOfService(out)
		}
	}
	return nil
}

// commandPause is the wait before a refused command is given again.
const commandPause = 200 * time.Millisecond

// accepted reports whether the stored configuration has the data centre out.
func (r *run) accepted(centre string) bool {
	key := config.Key(config.FleetScope)
	o, err := config.Decode(key, r.platform.Store.Value(key))
	return err == nil && o.Fleet.IsOutOfService(config.Place{
		Type: config.DataCentrePlace,
		Name: centre,
	})
}
