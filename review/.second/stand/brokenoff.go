package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaworks/stand/site"
)

// The deployment and the impairment of the case brokenOff. Share, dose and length are those of the site files for garble with extra.
const (
	brokenHosts    = 2
	brokenReplicas = 8
	brokenShare    = 0.5
	brokenAnswers  = 0.02
	brokenLength   = 5 * time.Second
	brokenPause    = 5 * time.Second
	brokenTimes    = 3
	// fetchGap is the time between two requests, and recordLength the length of a whole answer's body in bytes.
	fetchGap     = 10 * time.Millisecond
	recordLength = 3000
)

// brokenOff sends requests to a service of which some replicas break off some answers in the body and then send the whole answer once
// more on the connection.
func brokenOff(r *rig, trouble bool) (bool, error) {
	var impaired atomic.Bool
	bodyOf := func(id string) []byte { return bytes.Repeat([]byte(id+"."), recordLength/len(id))[:recordLength] }
	handler := func(breaks bool) func(*replica, *replicaConn, request) bool {
		return func(p *replica, c *replicaConn, q request) bool {
			p.run(c, q)
			time.Sleep(20 * time.Millisecond)
			text := answer(200, q.id, p.stamp(q.id)+fmt.Sprintf("X-Server-Load: 1,0,%d\r\n", p.slots), bodyOf(q.id))
			if breaks && impaired.Load() && rand.Float64() < brokenAnswers {
				end := len(text) - 1 - rand.IntN(recordLength-1)
				p.rig.record.write("replica %s connection %d: breaks off the answer to %s at byte %d of %d and sends it again", p.id, c.number, q.id, end, len(text))
				text = append(bytes.Clone(text[:end]), text...)
			}
			_, err := c.Write(text)
			return err == nil
		}
	}
	r.configure(func(c *site.Config) {
		c.Services = []site.Service{{Name: "archive", MaxConnections: 110}}
		c.Routes = []site.Route{{
			Name: "fetch", Host: "archive.example", Prefix: "/", Type: "idempotent", TimeoutMS: 5000, ObjectiveMS: 800,
			MaxAttempts: 3, Service: "archive",
		}}
	})
	for i := range brokenReplicas {
		if _, err := r.startReplica("archive", fmt.Sprintf("i-%d", i+1), 6, handler(i < brokenReplicas*brokenShare)); err != nil {
			return false, err
		}
	}
	if err := r.reserveSeeds(brokenHosts); err != nil {
		return false, err
	}
	for i := range brokenHosts {
		if _, err := r.startHost(fmt.Sprintf("host-%d", i+1)); err != nil {
			return false, err
		}
	}
	if !r.waitReady(20 * time.Second) {
		return false, errors.New("the hosts were not ready")
	}
	time.Sleep(3 * time.Second)

	var requests sync.WaitGroup
	var served, mixed atomic.Int64
	for i, until := 1, time.Now().Add(brokenTimes*(brokenPause+brokenLength)+brokenPause); time.Now().Before(until); i++ {
		phase := time.Until(until) % (brokenPause + brokenLength)
		impaired.Store(trouble && phase > brokenPause)
		time.Sleep(fetchGap)
		requests.Go(func() {
			id := fmt.Sprintf("%016x", i)
			r.record.write("client sends %s", id)
			got := send(r.hosts[i%brokenHosts].callers, http.MethodGet, "archive.example", "/x", id, nil, 5*time.Second)
			r.record.write("client: answer to %s: %d, stamp %q, %d bytes, %v", id, got.status, got.header.Get("X-Server-Stamp"), len(got.body), got.err)
			if got.status != http.StatusOK {
				return
			}
			served.Add(1)
			if whole := bodyOf(id); !bytes.Equal(whole, got.body) {
				mixed.Add(1)
				same := 0
				for same < min(len(whole), len(got.body)) && whole[same] == got.body[same] {
					same++
				}
				r.record.write("MIXED: the success for %s holds other bytes than the replica's answer from byte %d of %d on: %.60q", id, same, len(whole), got.body[same:])
			}
		})
	}
	requests.Wait()
	r.record.write("%d served, %d of them with a body that is not the replica's whole body", served.Load(), mixed.Load())
	return mixed.Load() > 0, nil
}
