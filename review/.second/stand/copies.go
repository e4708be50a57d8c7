package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/stand/site"
)

// The deployment and the two impairments of the case copies. The shares, the doses and the length are those of the site files for
// srv_grey with shed and for garble with extra late.
const (
	copiesHosts    = 2
	copiesServices = 25
	copiesReplicas = 3
	shedReplicas   = 0.8
	shedAnswers    = 0.6
	copyReplicas   = 0.5
	copyAnswers    = 0.04
	copiesLength   = 5 * time.Second
	copiesPause    = 12 * time.Second
	copiesTimes    = 5
	// orderGap is the time between two requests for a service.
	orderGap = 100 * time.Millisecond
)

// copies sends requests that may run once to services whose replicas turn some requests away although they have free slots, and
// send some answers a second time, late, where the next answer on that connection is expected.
func copies(r *rig, trouble bool) (bool, error) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2))
	chance := func(share float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
	var impaired atomic.Bool
	var replicas []*replica
	handler := func(sheds, copies bool) func(*replica, *replicaConn, request) bool {
		return func(p *replica, c *replicaConn, q request) bool {
			load := fmt.Sprintf("X-Server-Load: 1,0,%d\r\n", p.slots)
			var text []byte
			if sheds && impaired.Load() && chance(shedAnswers) {
				text = answer(503, q.id, "X-Not-Executed: 1\r\n"+load, nil)
				p.rig.record.write("replica %s connection %d: turns %s away", p.id, c.number, q.id)
			} else {
				p.run(c, q)
				time.Sleep(20 * time.Millisecond)
				text = answer(200, q.id, p.stamp(q.id)+load, []byte("order "+q.id))
			}
			if copies && impaired.Load() && chance(copyAnswers) {
				c.extra = text
			}
			_, err := c.Write(text)
			return err == nil
		}
	}
	r.configure(func(c *site.Config) {
		for i := range copiesServices {
			name := fmt.Sprintf("orders-%d", i+1)
			c.Services = append(c.Services, site.Service{
				Name:           name,
				MaxConnections: maxConns,
			})
			c.Routes = append(c.Routes, site.Route{
				Name: name, Host: name + ".example", Prefix: "/", Type: "non_idempotent", TimeoutMS: 4000, ObjectiveMS: 800,
				MaxAttempts: 3, Service: name,
			})
		}
	})
	for i := range copiesServices * copiesReplicas {
		p, err := r.startReplica(fmt.Sprintf("orders-%d", i/copiesReplicas+1), fmt.Sprintf("i-%02d", i+1), 6,
			handler(chance(shedReplicas), chance(copyReplicas)))
		if err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	if err := r.reserveSeeds(copiesHosts); err != nil {
		return false, err
	}
	for i := range copiesHosts {
		if _, err := r.startHost(fmt.Sprintf("host-%d", i+1)); err != nil {
			return false, err
		}
	}
	if !r.waitReady(20 * time.Second) {
		return false, errors.New("the hosts were not ready")
	}
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	var clients, requests sync.WaitGroup
	var answersMu sync.Mutex
	answers := make(map[string]int)
	for n := range copiesServices {
		clients.Go(func() {
			name := fmt.Sprintf("orders-%d.example", n+1)
			for i := 1; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(orderGap):
				}
				id := fmt.Sprintf("%04x%012x", n+1, i)
				requests.Go(func() {
					r.record.write("client sends %s", id)
					got := send(r.hosts[i%copiesHosts].callers, http.MethodPost, name, "/print", id, []byte("order"), 4*time.Second)
					r.record.write("client: answer to %s: %d %v", id, got.status, got.err)
					answersMu.Lock()
					answers[id] = got.status
					answersMu.Unlock()
				})
			}
		})
	}
	for range copiesTimes {
		time.Sleep(copiesPause)
		impaired.Store(trouble)
		r.record.write("impairment begins: %v", trouble)
		time.Sleep(copiesLength)
		impaired.Store(false)
		r.record.write("impairment ends")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	requests.Wait()
	time.Sleep(time.Second)
	return judgeOnce(r, replicas, answers), nil
}

// judgeOnce reports whether a request ran twice, or ran although its answer promises that it has not run.
func judgeOnce(r *rig, replicas []*replica, answers map[string]int) bool {
	twice, refused, served := 0, 0, 0
	for id, status := range answers {
		runs := 0
		for _, p := range replicas {
			p.mu.Lock()
			runs += p.runs[id]
			p.mu.Unlock()
		}
		promised := status == 408 || status == 421 || status == 429 || status == 503
		if status == http.StatusOK {
			served++
		}
		if runs > 1 {
			twice++
			r.record.write("TWICE: %s ran %d times, answered %d", id, runs, status)
		}
		if runs > 0 && promised {
			refused++
			r.record.write("REFUSED: %s ran %d times and was answered %d", id, runs, status)
		}
	}
	r.record.write("%d requests, %d served, %d ran twice, %d refused that ran", len(answers), served, twice, refused)
	return twice+refused > 0
}
