package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// playLoneHosts checks FAILBACK: two of six hosts start later than the others, and all seeds in their settings are down. Then a
// further replica starts, cold. It crashes at twice the rate that the rule permits, which is four times the rate that it tolerates.
func playLoneHosts(r *rig) (verdict, error) {
	const (
		hostCount    = 6
		addedCount   = 2
		warmupRate   = 10.0
		warmupFactor = 1.5
		warmupSlack  = 5
		bound        = warmupRate*warmupFactor + warmupSlack
		warmup       = 3 * time.Second
		rate         = 300
		work         = 50 * time.Millisecond
		timeout      = 2 * time.Second
	)
	for i := range 3 {
		if _, err := r.startReplica(fmt.Sprintf("i-%02d", i), "print-queue", "east", work); err != nil {
			return verdict{}, err
		}
	}
	r.configure(1, []routeSpec{{
		name:     "orders",
		prefix:   "/orders/",
		kind:     "non_idempotent",
		service:  "print-queue",
		timeout:  timeout,
		attempts: 2,
	}}, map[string]float64{"print-queue": warmupRate})
	var hosts []*host
	for i := range hostCount {
		h, err := r.newHost(fmt.Sprintf("frontend-east-%d", i+1), "east")
		if err != nil {
			return verdict{}, err
		}
		hosts = append(hosts, h)
	}
	seeds := []string{hosts[0].control, hosts[1].control, hosts[2].control}
	for _, h := range hosts[:hostCount-addedCount] {
		if err := h.start(seeds); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		for i := range seeds {
			var err error
			if seeds[i], err = r.freeAddress(); err != nil {
				return verdict{}, err
			}
		}
	}
	for _, h := range hosts[hostCount-addedCount:] {
		if err := h.start(seeds); err != nil {
			return verdict{}, err
		}
	}
	for _, h := range hosts {
		if err := waitUntil("host "+h.name+" ready", 10*time.Second, h.ready); err != nil {
			return verdict{}, err
		}
	}
	// All machines are in touch, and each process has long ended its start.
	time.Sleep(8 * time.Second)
	var cold *replica
	var mu sync.Mutex
	answers := make(map[string]answer)
	var clients errgroup.Group
	for n, began := 0, time.Now(); time.Since(began) < 6*time.Second; n++ {
		if cold == nil && time.Since(began) > 2*time.Second {
			var err error
			if cold, err = r.startColdReplica("i-new", "print-queue", "east", work, warmup, 2*bound); err != nil {
				return verdict{}, err
			}
		}
		clients.Go(func() error {
			id, h := r.newID(), hosts[n%len(hosts)]
			r.record.writef("sent      %s POST /orders/%d to %s", id, n, h.name)
			message := request("POST", hostName, fmt.Sprintf("/orders/%d", n), id, timeout, "Content-Type: text/plain\r\n", "print one plate")
			a, err := roundTrip(h.frontend, message, timeout)
			if err != nil {
				r.record.writef("answered  %s: %v", id, err)
				return nil
			}
			r.record.writef("answered  %s: %v", id, a)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
			return nil
		})
		time.Sleep(time.Second / rate)
	}
	_ = clients.Wait()
	most := cold.mostArrivals()
	r.record.writef("replica   %s got up to %d requests in one second while it was cold", cold.id, most)
	lost := 0
	for id, x := range r.runsByID() {
		if x[0].replica == cold && answers[id].status != http.StatusOK {
			lost++
			r.record.writef("lost      %s ran on the replica that crashed, and was answered: %v", id, answers[id])
		}
	}
	return verdict{
		broken: float64(most) > bound,
		text: fmt.Sprintf("the cold replica got up to %d requests in one second, and the rule permits %.0f; crashed: %t; %d orders that it had begun were not answered with success",
			most, bound, cold.isStopped(), lost),
	}, nil
}

// mostArrivals returns the largest number of requests that arrived within one second while the replica was cold.
func (s *replica) mostArrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.arrivals {
		if at.After(s.coldUntil) {
			break
		}
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

func (s *replica) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}
