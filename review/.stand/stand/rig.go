package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// rig holds the processes and stand-ins of one case.
type rig struct {
	record  *record
	trouble bool
	folder  string
	store   *store
	tasks   errgroup.Group
	// done is closed when the case ends.
	done chan struct{}

	mu       sync.Mutex
	replicas []*replica
	hosts    []*host
	runs     []run
	sequence int
	// reserved holds the addresses that freeAddress has returned.
	reserved map[string]bool
}

// run is one request that a replica began to work on.
type run struct {
	at      time.Time
	replica *replica
	id      string
	method  string
	target  string
	body    string
}

func newRig(record *record) (*rig, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{
		record:   record,
		trouble:  os.Getenv("TROUBLE") != "0",
		folder:   folder,
		done:     make(chan struct{}),
		reserved: make(map[string]bool),
	}
	r.store, err = newStore(r)
	return r, err
}

// close ends all processes and stand-ins and removes the temporary folder.
func (r *rig) close() {
	close(r.done)
	r.killHosts()
	r.mu.Lock()
	replicas := r.replicas
	r.mu.Unlock()
	for _, s := range replicas {
		s.close()
	}
	if r.store != nil {
		r.store.close()
	}
	_ = r.tasks.Wait()
	_ = os.RemoveAll(r.folder)
}

// killHosts ends all processes.
func (r *rig) killHosts() {
	r.mu.Lock()
	hosts := r.hosts
	r.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
}

// newID returns a request ID.
func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return fmt.Sprintf("%08x%08x", time.Now().Unix(), r.sequence)
}

// began records that a replica began to work on a request.
func (r *rig) began(x run) {
	r.record.writef("run       %s by %s (%s)", x.id, x.replica.id, x.replica.service)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
}

// allRuns returns all runs so far.
func (r *rig) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// runsByID returns all runs so far by request ID.
func (r *rig) runsByID() map[string][]run {
	byID := make(map[string][]run)
	for _, x := range r.allRuns() {
		byID[x.id] = append(byID[x.id], x)
	}
	return byID
}

// freeAddress returns a loopback address with a free port below the ports of outgoing connections, so that none of these
// takes it before the host listens there.
func (r *rig) freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		r.mu.Lock()
		taken := r.reserved[address]
		r.reserved[address] = true
		r.mu.Unlock()
		if taken {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port found")
}
