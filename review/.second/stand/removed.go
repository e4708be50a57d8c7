package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"magnoliaworks/stand/site"
)

// The deployment and the disruption of the case removed. drain, touch and the length of a cut are those of the sheet.
const (
	removedHosts    = 3
	removedReplicas = 4
	removedTimes    = 8
	storeCut        = 4 * time.Second
	touch           = 4 * time.Second
	drain           = 3 * time.Second
	// removalAfter is the time from the end of a cut to the removal of a replica's entry, and stays how much longer than drain the
	// replica goes on.
	removalAfter = 900 * time.Millisecond
	stays        = 600 * time.Millisecond
	orderWork    = 200 * time.Millisecond
	removedGap   = 10 * time.Millisecond
)

// removed cuts the hosts from the store again and again, and has a replica leave after each cut whose entry is removed without notice.
// It goes on for as long as the page says, and a little longer, and then exits.
func removed(r *rig, trouble bool) (bool, error) {
	var proxies []*proxy
	r.storeAddress = func() (string, error) {
		p, address, err := newProxy(r, r.site.StoreAddress())
		proxies = append(proxies, p)
		return address, err
	}
	type arrival struct {
		replica string
		at      time.Time
	}
	var mu sync.Mutex
	arrivals := make(map[string]arrival)
	handle := func(p *replica, c *replicaConn, q request) bool {
		mu.Lock()
		arrivals[q.id] = arrival{
			replica: p.id,
			at:      time.Now(),
		}
		mu.Unlock()
		p.run(c, q)
		time.Sleep(orderWork)
		_, err := c.Write(answer(200, q.id, p.stamp(q.id)+fmt.Sprintf("X-Server-Load: 1,0,%d\r\n", p.slots), []byte("order "+q.id)))
		return err == nil
	}
	r.configure(func(c *site.Config) {
		c.Services = []site.Service{{Name: "orders", MaxConnections: 110}}
		c.Routes = []site.Route{{
			Name: "order", Host: "orders.example", Prefix: "/", Type: "non_idempotent", TimeoutMS: 4000, ObjectiveMS: 800,
			MaxAttempts: 3, Service: "orders",
		}}
	})
	var replicas []*replica
	startReplica := func() error {
		p, err := r.startReplica("orders", fmt.Sprintf("i-%d", len(replicas)+1), 20, handle)
		replicas = append(replicas, p)
		return err
	}
	for range removedReplicas {
		if err := startReplica(); err != nil {
			return false, err
		}
	}
	if err := r.reserveSeeds(removedHosts); err != nil {
		return false, err
	}
	for i := range removedHosts {
		if _, err := r.startHost(fmt.Sprintf("host-%d", i+1)); err != nil {
			return false, err
		}
	}
	if !r.waitReady(20 * time.Second) {
		return false, errors.New("the hosts were not ready")
	}
	time.Sleep(touch)

	type sent struct {
		at     time.Time
		status int
	}
	orders := make(map[string]sent)
	stop := make(chan struct{})
	var clients, requests sync.WaitGroup
	clients.Go(func() {
		for i := 1; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(removedGap):
			}
			requests.Go(func() {
				id, at := fmt.Sprintf("%016x", i), time.Now()
				r.record.write("client sends %s to host %d", id, i%removedHosts+1)
				got := send(r.hosts[i%removedHosts].callers, http.MethodPost, "orders.example", "/print", id, []byte("order"), 4*time.Second)
				r.record.write("client: answer to %s: %d %v", id, got.status, got.err)
				mu.Lock()
				defer mu.Unlock()
				orders[id] = sent{
					at:     at,
					status: got.status,
				}
			})
		}
	})
	late, lost := 0, 0
	for n := range removedTimes {
		if err := startReplica(); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		for _, p := range proxies {
			p.set(trouble)
		}
		r.record.write("hosts are cut from the store: %v", trouble)
		time.Sleep(storeCut)
		for _, p := range proxies {
			p.set(false)
		}
		healed := time.Now()
		r.record.write("the cut has ended")
		time.Sleep(removalAfter)
		leaving := replicas[n]
		r.site.Store.Delete("servers", leaving.id)
		confirmed := time.Now()
		r.record.write("the store has removed the entry of replica %s", leaving.id)
		time.Sleep(drain + stays)
		leaving.exit()
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		for id, a := range arrivals {
			order, answered := orders[id]
			if a.replica != leaving.id || !answered || order.at.Sub(confirmed) <= drain || order.at.Sub(healed) <= touch {
				continue
			}
			late++
			r.record.write("DRAIN: order %s, sent %.3f s after the confirmation and %.3f s after the cut, reached replica %s after %.3f s: answered %d",
				id, order.at.Sub(confirmed).Seconds(), order.at.Sub(healed).Seconds(), leaving.id, a.at.Sub(confirmed).Seconds(), order.status)
			if order.status != http.StatusOK {
				lost++
			}
		}
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	requests.Wait()
	r.record.write("%d orders, %d reached a replica that had left, %d of them were begun and not answered with success", len(orders), late, lost)
	return late > 0, nil
}
