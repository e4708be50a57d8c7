package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// playCutCopy checks MIXED: twice for 5 s, five of ten replicas send a second copy of 4 in 100 of their answers. It is late and broken
// off: its first bytes arrive where the next answer is expected.
func playCutCopy(r *rig) (verdict, error) {
	const (
		shards      = 5
		copying     = 5
		copyShare   = 0.04
		copyFrom    = 2 * time.Second
		copyFor     = 5 * time.Second
		copyEvery   = 12 * time.Second
		period      = 4 * time.Millisecond
		length      = 21 * time.Second
		timeout     = 1200 * time.Millisecond
		topK        = 20
		minCoverage = 0.75
	)
	var names []string
	services := make(map[string]float64)
	began := time.Now()
	for i := range 2 * shards {
		service := fmt.Sprintf("chart-desk-%d", i%shards)
		if i < shards {
			names = append(names, service)
			services[service] = 0
		}
		s, err := r.startReplica(fmt.Sprintf("i-%02d", i), service, "east", 10*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		if i < copying && r.trouble {
			s.copies = func() bool {
				since := time.Since(began) % copyEvery
				return since > copyFrom && since < copyFrom+copyFor && rand.Float64() < copyShare
			}
		}
		s.respond = func(x run) (int, string) { return http.StatusOK, shardRecords(x) }
	}
	r.configureShards(names, services, topK, minCoverage, timeout)
	hosts, err := r.startHosts("east", "frontend-east-1", "frontend-east-2", "frontend-east-3", "frontend-east-4", "frontend-east-5", "frontend-east-6")
	if err != nil {
		return verdict{}, err
	}
	began = time.Now()
	var mu sync.Mutex
	wrong, answered := 0, 0
	var clients errgroup.Group
	for n := 0; time.Since(began) < length; n++ {
		clients.Go(func() error {
			id, h := r.newID(), hosts[n%len(hosts)]
			r.record.writef("sent      %s GET /sheets/%d to %s", id, n, h.name)
			a, err := roundTrip(h.frontend, request("GET", hostName, fmt.Sprintf("/sheets/%d", n), id, timeout, "", ""), timeout)
			if err != nil {
				r.record.writef("answered  %s: %v", id, err)
				return nil
			}
			r.record.writef("answered  %s: %v %v", id, a, a.shardStamps)
			if a.status != http.StatusOK {
				return nil
			}
			reason := r.checkParts(id, a, shards, topK)
			mu.Lock()
			defer mu.Unlock()
			answered++
			if reason != "" {
				wrong++
				r.record.writef("MIXED     %s: %s", id, reason)
			}
			return nil
		})
		time.Sleep(period)
	}
	_ = clients.Wait()
	return verdict{
		broken: wrong > 0,
		text:   fmt.Sprintf("%d of %d successes hold a stamp that is no answer to their request, or wrong parts", wrong, answered),
	}, nil
}

// shardRecords returns five records of 16 bytes.
func shardRecords(x run) string {
	var out strings.Builder
	random := rand.New(rand.NewPCG(uint64(len(x.replica.service)), uint64(x.replica.service[len(x.replica.service)-1])))
	for range 5 {
		fmt.Fprintf(&out, "%016x", random.Uint64())
	}
	return out.String()
}

// checkParts returns why a success is wrong, or nothing if it is right.
func (r *rig) checkParts(id string, a answer, shards, topK int) (reason string) {
	stamped := make(map[string]run)
	for _, x := range r.runsByID()[id] {
		stamped[stampOf(x, http.StatusOK)] = x
	}
	seen := make(map[string]bool)
	var records []string
	for _, stamp := range a.shardStamps {
		x, ok := stamped[stamp]
		switch {
		case !ok:
			return fmt.Sprintf("stamp %q is of no answer to this request", stamp)
		case seen[x.replica.service]:
			return "two parts of " + x.replica.service
		}
		seen[x.replica.service] = true
		body := shardRecords(x)
		for ; len(body) >= 16; body = body[16:] {
			records = append(records, body[:16])
		}
	}
	if len(seen)+a.missing != shards {
		return fmt.Sprintf("%d parts and %d missing of %d", len(seen), a.missing, shards)
	}
	if want := greatest(records, topK); want != a.body {
		return "the body is not that of the parts"
	}
	return ""
}

// serveWithCopies answers the requests of a connection like serve. The first bytes of a copy of an answer precede the next one.
func (s *replica) serveWithCopies(c net.Conn) {
	in := bufio.NewReader(c)
	var cut []byte
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		var out bytes.Buffer
		usable := s.answer(&out, run{
			at:      time.Now(),
			replica: s,
			id:      request.Header.Get("X-Request-Id"),
			method:  request.Method,
			target:  request.RequestURI,
			body:    string(body),
		}, request.Header.Get("X-Expect-Instance"))
		if len(cut) > 0 {
			s.rig.record.writef("replica   %s sends %d bytes of a second copy of its last answer", s.id, len(cut))
			if _, err := c.Write(cut); err != nil {
				return
			}
		}
		if _, err := c.Write(out.Bytes()); err != nil || !usable {
			return
		}
		cut = nil
		if s.copies() {
			cut = append(cut, out.Bytes()[:rand.IntN(out.Len())]...)
		}
	}
}
