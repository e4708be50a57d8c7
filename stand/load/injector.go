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
	// stragglerSlowdown multiplies the service times of straggling servers.
	stragglerSlowdown = 20
	// idleClaimSlowdown multiplies the service times of servers that falsely report no load.
	idleClaimSlowdown = 10
	// slowStoreDelay is the latency that a slow store adds to each call.
	slowStoreDelay = 300 * time.Millisecond
	// lostReplyPercent is the probability, in percent, that the store loses the reply to a write.
	lostReplyPercent = 40
	// overloadRateFactor multiplies the request rate during an overload.
	overloadRateFactor = 4
	// snapshotRollout is the time in which all replicas of a collection load a new snapshot, one after the other.
	snapshotRollout = 1500 * time.Millisecond
	// evacuationDuration and hostPauseDuration are the durations of faults that name no end.
	evacuationDuration = 4 * time.Second
	hostPauseDuration  = 2 * time.Second
	// faultyServerStride puts a fault on every tenth server.
	faultyServerStride = 10
	// restartStride restarts every fifth server.
	restartStride = 5
)

// injector starts and stops a fault. A nil stop means that the fault ends by itself.
type injector struct {
	start func(ctx context.Context, r *runner) error
	stop  func(ctx context.Context, r *runner) error
	// defaultDuration applies to a fault that names no end; 0 means until the end of the experiment.
	defaultDuration time.Duration
}

// injectors holds the injector of every fault in FaultNames.
var injectors map[string]injector

func init() {
	injectors = map[string]injector{
		"straggler":       everyNthServer(faultyServerStride, func(s *stand.Server) { s.SetSlowdown(stragglerSlowdown) }, func(s *stand.Server) { s.SetSlowdown(1) }),
		"server_leave":    everyNthServer(faultyServerStride, func(s *stand.Server) { s.SetDraining(true) }, func(s *stand.Server) { s.SetDraining(false) }),
		"replica_loss":    {start: stopFirstReplicas, stop: restartFirstReplicas},
		"repartition":     {start: func(ctx context.Context, r *runner) error { return r.publishSnapshot(ctx, true) }},
		"snapshot_change": {start: func(ctx context.Context, r *runner) error { return r.publishSnapshot(ctx, false) }},
		"cold_restart":    {start: restartServersCold},
		"health_lies": everyNthServer(faultyServerStride, func(s *stand.Server) { s.SetReportsIdle(true); s.SetSlowdown(idleClaimSlowdown) },
			func(s *stand.Server) { s.SetReportsIdle(false); s.SetSlowdown(1) }),
		"silent_connections": {start: func(_ context.Context, r *runner) error {
			r.platform.Network.SilenceServers(func() bool { return r.oneIn(2) })
			return nil
		}},
		"centre_out_and_back": {start: takeDataCentreOut, stop: bringDataCentreIn, defaultDuration: evacuationDuration},
		"store_down":          storeFault(stand.StoreFaults{Down: true}),
		"store_slow":          storeFault(stand.StoreFaults{ExtraLatency: slowStoreDelay}),
		"store_lost_reply":    storeFault(stand.StoreFaults{LostReplyPercent: lostReplyPercent}),
		"store_stale_read":    storeFault(stand.StoreFaults{StaleReads: true}),
		"host_restart":        {start: func(_ context.Context, r *runner) error { return r.fleet.Restart(0) }},
		"host_pause": {
			start:           func(_ context.Context, r *runner) error { r.pauseHost(true); return nil },
			stop:            func(_ context.Context, r *runner) error { r.pauseHost(false); return nil },
			defaultDuration: hostPauseDuration,
		},
		"peer_link_loss": {
			start: func(_ context.Context, r *runner) error { r.cutPeerLink(true); return nil },
			stop:  func(_ context.Context, r *runner) error { r.cutPeerLink(false); return nil },
		},
		"overload": {
			start: func(_ context.Context, r *runner) error { r.rateFactor.Store(overloadRateFactor); return nil },
			stop:  func(_ context.Context, r *runner) error { r.rateFactor.Store(1); return nil },
		},
	}
}

// everyNthServer returns an injector that applies start and stop to every n-th server.
func everyNthServer(n int, start, stop func(*stand.Server)) injector {
	each := func(do func(*stand.Server)) func(context.Context, *runner) error {
		return func(_ context.Context, r *runner) error {
			for i, s := range r.platform.Servers() {
				if i%n == 0 {
					do(s)
				}
			}
			return nil
		}
	}
	return injector{
		start: each(start),
		stop:  each(stop),
	}
}

// storeFault returns an injector that sets f on the store and clears it.
func storeFault(f stand.StoreFaults) injector {
	return injector{
		start: func(_ context.Context, r *runner) error {
			r.platform.Store.SetFaults(f)
			return nil
		},
		stop: func(_ context.Context, r *runner) error {
			r.platform.Store.SetFaults(stand.StoreFaults{})
			return nil
		},
	}
}

// firstReplicas returns the first replica of every service.
func (r *runner) firstReplicas() []*stand.Server {
	var first []*stand.Server
	for _, c := range r.platform.Deployment.Collections {
		for i := range c.Services {
			first = append(first, r.platform.Server(deploy.ReplicaID(deploy.ServiceName(c.Name, i), 0)))
		}
	}
	return first
}

func stopFirstReplicas(_ context.Context, r *runner) error {
	for _, s := range r.firstReplicas() {
		s.Stop()
	}
	return nil
}

func restartFirstReplicas(_ context.Context, r *runner) error {
	for _, s := range r.firstReplicas() {
		if err := s.RestartCold(); err != nil {
			return err
		}
	}
	return nil
}

func restartServersCold(_ context.Context, r *runner) error {
	for i, s := range r.platform.Servers() {
		if i%restartStride != 0 {
			continue
		}
		s.Stop()
		if err := s.RestartCold(); err != nil {
			return err
		}
	}
	return nil
}

// publishSnapshot publishes a snapshot of the first collection, with every shard split in two if split is set.
// The replicas load it one after the other, and then all drop the old snapshot.
func (r *runner) publishSnapshot(ctx context.Context, split bool) error {
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
		if err := timer.Sleep(ctx, snapshotRollout/time.Duration(len(replicas))); err != nil {
			return nil
		}
	}
	for _, s := range replicas {
		s.SetSnapshots(version, version)
	}
	return nil
}

func (r *runner) pauseHost(on bool) { r.platform.Network.Hold(r.fleet.Settings(1).ID, on) }

func (r *runner) cutPeerLink(on bool) {
	centres := r.platform.Deployment.DataCentres
	r.platform.Network.Cut(centres[0], centres[1], on)
}

func takeDataCentreOut(ctx context.Context, r *runner) error {
	return r.setDataCentreOut(ctx, "take out", true)
}

func bringDataCentreIn(ctx context.Context, r *runner) error {
	return r.setDataCentreOut(ctx, "bring in", false)
}

// setDataCentreOut sends the command to the hosts in turn until the stored configuration shows it as accepted.
// verb is "take out" or "bring in". It then tells the servers, which record requests that arrive while taken out.
func (r *runner) setDataCentreOut(ctx context.Context, verb string, out bool) error {
	centre := r.platform.Deployment.DataCentres[0]
	command := fmt.Sprintf("%s data_centre %s because %q", verb, centre, "experiment")
	origin := shell.Origin{
		Operator: "load",
		From:     "experiment",
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if r.isOutInStore(centre) == out {
			break
		}
		host := r.fleet.Host(attempt % len(r.fleet.settings))
		if _, err := host.Command(ctx, origin, command); err != nil {
			r.log.Debug("command not accepted", "command", command, "error", err)
			if timer.Sleep(ctx, commandRetryDelay) != nil {
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

// commandRetryDelay is the wait before a command that failed is sent to the next host.
const commandRetryDelay = 200 * time.Millisecond

// isOutInStore reports whether the data centre is taken out in the stored configuration.
func (r *runner) isOutInStore(centre string) bool {
	key := config.Key(config.FleetScope)
	o, err := config.Decode(key, r.platform.Store.Value(key))
	return err == nil && o.Fleet.IsOutOfService(config.Place{
		Type: config.DataCentrePlace,
		Name: centre,
	})
}
