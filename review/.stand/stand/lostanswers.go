package main

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// playLostAnswers checks CONFIG: for 4.5 s the store loses its answers to watches, while a version of the configuration is
// written. Once the store has been stable for stable_window_ms, a further version moves the route to another service.
func playLostAnswers(r *rig) (verdict, error) {
	const (
		lossFor      = 4500 * time.Millisecond
		stableWindow = 4 * time.Second
		configApply  = 3 * time.Second
		watched      = 12 * time.Second
		period       = 50 * time.Millisecond
	)
	for i := range 2 {
		for _, service := range []string{"permit-office", "survey-intake"} {
			if _, err := r.startReplica(fmt.Sprintf("i-%s-%d", service, i), service, "east", 10*time.Millisecond); err != nil {
				return verdict{}, err
			}
		}
	}
	services := map[string]float64{"permit-office": 0, "survey-intake": 0}
	archive := routeSpec{
		name:     "archive",
		prefix:   "/archive/",
		kind:     "idempotent",
		service:  "permit-office",
		timeout:  2 * time.Second,
		attempts: 2,
	}
	added := archive
	added.name, added.prefix = "added", "/added/"
	r.configure(1, []routeSpec{archive}, services)
	hosts, err := r.startHosts("east", "frontend-east-1", "frontend-east-2", "frontend-east-3")
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var clients errgroup.Group
	send := func(n int) {
		id := r.newID()
		now := time.Now()
		mu.Lock()
		sentAt[id] = now
		mu.Unlock()
		host := hosts[n%len(hosts)]
		r.record.writef("sent      %s GET /archive/%d to %s", id, n, host.name)
		a, err := roundTrip(host.frontend, request("GET", hostName, fmt.Sprintf("/archive/%d", n), id, 2*time.Second, "", ""), 2*time.Second)
		if err != nil {
			r.record.writef("answered  %s: %v", id, err)
			return
		}
		r.record.writef("answered  %s: %v", id, a)
	}
	clients.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return nil
			case <-time.After(period):
				clients.Go(func() error {
					send(n)
					return nil
				})
			}
		}
	})
	time.Sleep(2 * time.Second)
	r.store.mu.Lock()
	r.store.sent, r.store.lost = 0, 0
	r.store.mu.Unlock()
	if r.trouble {
		r.store.loseWatchAnswers(lossFor)
	}
	time.Sleep(time.Second)
	r.configure(2, []routeSpec{archive, added}, services)
	time.Sleep(lossFor - time.Second)
	r.store.mu.Lock()
	lost, answered := r.store.lost, r.store.sent
	r.store.mu.Unlock()
	r.record.writef("store     lost %d of its %d answers", lost, lost+answered)
	time.Sleep(stableWindow + 500*time.Millisecond)
	moved := archive
	moved.service = "survey-intake"
	r.configure(3, []routeSpec{moved, added}, services)
	confirmed := time.Now()
	time.Sleep(watched)
	close(stop)
	_ = clients.Wait()
	late, total, last := 0, 0, time.Duration(0)
	for _, x := range r.allRuns() {
		after := sentAt[x.id].Sub(confirmed)
		if after <= configApply {
			continue
		}
		total++
		if x.replica.service == "permit-office" {
			late++
			last = max(last, after)
			r.record.writef("CONFIG    %s was sent %.1f s after the confirmation and ran at the old service", x.id, after.Seconds())
		}
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("%d of %d requests that were sent over 3 s after the confirmation ran at the old service, the last one sent %.1f s after it",
			late, total, last.Seconds()),
	}, nil
}
