package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// playFailed503 checks REFUSED: three of seven replicas fail a part of the requests that they run, with a signed 503 that does
// not say that the request has not run. Clients send an order again after a 503, since it promises that.
func playFailed503(r *rig) (verdict, error) {
	const (
		replicaCount = 7
		failingCount = 3
		failingShare = 0.45
		failingFrom  = 2 * time.Second
		failingFor   = 6500 * time.Millisecond
		orders       = 400
		period       = 30 * time.Millisecond
	)
	var failing atomic.Bool
	for i := range replicaCount {
		s, err := r.startReplica(fmt.Sprintf("i-%02d", i), "print-queue", "east", 20*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		if i < failingCount {
			s.respond = func(x run) (int, string) {
				if failing.Load() && rand.Float64() < failingShare {
					return http.StatusServiceUnavailable, "the plate store did not answer in time\n"
				}
				return http.StatusOK, "printed " + x.id
			}
		}
	}
	r.configure(1, []routeSpec{{
		name:     "orders",
		prefix:   "/orders/",
		kind:     "non_idempotent",
		service:  "print-queue",
		timeout:  2 * time.Second,
		attempts: 2,
	}}, map[string]float64{"print-queue": 0})
	hosts, err := r.startHosts("east", "frontend-east-1", "frontend-east-2")
	if err != nil {
		return verdict{}, err
	}
	began := time.Now()
	var refused [orders][]string
	var clients errgroup.Group
	for n := range orders {
		if r.trouble {
			failing.Store(time.Since(began) > failingFrom && time.Since(began) < failingFrom+failingFor)
		}
		clients.Go(func() error {
			path := fmt.Sprintf("/orders/%d", n)
			for attempt := range 2 {
				id := r.newID()
				message := request("POST", hostName, path, id, 2*time.Second, "Content-Type: text/plain\r\n", "print one plate")
				r.record.writef("sent      %s POST %s", id, path)
				a, err := roundTrip(hosts[(n+attempt)%len(hosts)].frontend, message, 2*time.Second)
				if err != nil {
					r.record.writef("answered  %s: %v", id, err)
					return nil
				}
				r.record.writef("answered  %s: %v", id, a)
				switch a.status {
				case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
					refused[n] = append(refused[n], id)
					time.Sleep(max(a.retryAfter, 100*time.Millisecond))
				default:
					return nil
				}
			}
			return nil
		})
		time.Sleep(period)
	}
	_ = clients.Wait()
	byID := r.runsByID()
	prints := make(map[string]int)
	for _, x := range r.allRuns() {
		prints[x.target]++
	}
	falseRefusals, doubled := 0, 0
	for n := range refused {
		for _, id := range refused[n] {
			if len(byID[id]) > 0 {
				falseRefusals++
				r.record.writef("REFUSED   %s was answered as not run and ran on %s", id, byID[id][0].replica.id)
			}
		}
	}
	for target, n := range prints {
		if n > 1 {
			doubled++
			r.record.writef("doubled   order %s ran %d times", strings.TrimPrefix(target, "/orders/"), n)
		}
	}
	return verdict{
		broken: falseRefusals > 0,
		text:   fmt.Sprintf("%d requests were answered as not run and had run; %d of %d orders ran twice", falseRefusals, doubled, orders),
	}, nil
}
