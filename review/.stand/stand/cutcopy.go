package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// playCutCopy checks MIXED: twice for 5 s, two of four replicas send a second copy of 4 in 100 of their answers.
// It is late and broken off: its first bytes arrive where the next answer is expected.
func playCutCopy(r *rig) (verdict, error) {
	const (
		replicaCount = 4
		copying      = 2
		copyShare    = 0.04
		copyFrom     = 2 * time.Second
		copyFor      = 5 * time.Second
		copyEvery    = 10 * time.Second
		work         = 80 * time.Millisecond
		rate         = 200
		length       = 18 * time.Second
		timeout      = 2 * time.Second
	)
	var began time.Time
	for i := range replicaCount {
		s, err := r.startReplica(fmt.Sprintf("i-%02d", i), "print-queue", "east", work)
		if err != nil {
			return verdict{}, err
		}
		if i < copying && r.trouble {
			s.copies = func() bool {
				since := time.Since(began) % copyEvery
				return since > copyFrom && since < copyFrom+copyFor && rand.Float64() < copyShare
			}
		}
	}
	r.configure(1, []routeSpec{{
		name:     "orders",
		prefix:   "/orders/",
		kind:     "non_idempotent",
		service:  "print-queue",
		timeout:  timeout,
		attempts: 2,
	}}, map[string]float64{"print-queue": 0})
	hosts, err := r.startHosts("east", "frontend-east-1", "frontend-east-2", "frontend-east-3", "frontend-east-4", "frontend-east-5", "frontend-east-6")
	if err != nil {
		return verdict{}, err
	}
	began = time.Now()
	var mu sync.Mutex
	answers := make(map[string]answer)
	statuses := make(map[int]int)
	var clients errgroup.Group
	ticks := time.NewTicker(time.Second / rate)
	defer ticks.Stop()
	for n := 0; time.Since(began) < length; n++ {
		<-ticks.C
		clients.Go(func() error {
			id, h := r.newID(), hosts[n%len(hosts)]
			r.record.writef("sent      %s POST /orders/%d to %s", id, n, h.name)
			message := request("POST", hostName, "/orders/"+strconv.Itoa(n), id, timeout, "Content-Type: text/plain\r\n", "print one plate")
			a, err := roundTrip(h.frontend, message, timeout)
			if err != nil {
				r.record.writef("answered  %s: %v", id, err)
				return nil
			}
			r.record.writef("answered  %s: %v", id, a)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
			statuses[a.status]++
			return nil
		})
	}
	_ = clients.Wait()
	time.Sleep(time.Second)
	twice, refused, mixed := 0, 0, 0
	for id, runs := range r.runsByID() {
		a, answered := answers[id]
		if len(runs) > 1 {
			twice++
			r.record.writef("TWICE     %s ran on %s and on %s", id, runs[0].replica.id, runs[1].replica.id)
		}
		switch {
		case answered && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
			refused++
			r.record.writef("REFUSED   %s was answered %d and ran on %s", id, a.status, runs[0].replica.id)
		case a.status == http.StatusOK && a.stamp != stampOf(runs[0], a.status) && a.stamp != stampOf(runs[len(runs)-1], a.status):
			mixed++
			r.record.writef("MIXED     %s has the stamp %q", id, a.stamp)
		}
	}
	r.record.writef("answers by status: %v", statuses)
	return verdict{
		broken: mixed > 0,
		text: fmt.Sprintf("%d of %d successes have a stamp that is of no answer to their request; besides, %d requests were answered as not run and had run, and %d ran twice",
			mixed, statuses[http.StatusOK], refused, twice),
	}, nil
}
