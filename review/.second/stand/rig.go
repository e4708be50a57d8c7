package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/stand"
	"magnoliaworks/stand/site"
)

// zone is the only zone of the deployments of this program.
const zone = "east"

// The bounds of the deployments, as SYSTEM.md states them for the small ones.
const (
	grace         = 6 * time.Second
	memoryMB      = 284
	maxConns      = 46
	idleTimeoutMS = 15000
)

// rig is a small deployment: a store, replicas and hosts, with a record of what is sent, answered and run.
type rig struct {
	site   *site.Site
	record *record
	dir    string
	config site.Config
	hosts  []*host
	seeds  []string
	// storeAddress returns the address at which a host finds the store.
	storeAddress func() (string, error)
	tasks        errgroup.Group
	born         int64
}

// newRig starts a store.
func newRig(recordFile string) (*rig, error) {
	s, err := site.NewTCP()
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &rig{
		storeAddress: func() (string, error) { return s.StoreAddress(), nil },

		site: s,
		record: &record{
			out:     out,
			started: time.Now(),
		},
		dir: dir,
		config: site.Config{
			Limits: site.Limits{
				MaxHeaderBytes:  16_384,
				MaxBodyBytes:    262_144,
				HeaderTimeoutMS: 3000,
				IdleTimeoutMS:   idleTimeoutMS,
			},
		},
		born: time.Now().UnixMilli(),
	}, nil
}

// configure stores a version of the configuration.
func (r *rig) configure(change func(c *site.Config)) {
	change(&r.config)
	r.config.Version += 3
	r.site.Store.Put("config", "main", r.config)
}

// register writes the entry of a replica.
func (r *rig) register(p *replica, state string) {
	p.sequence++
	r.site.Store.Put("servers", p.id, site.Entry{
		Service:     p.service,
		Address:     p.address,
		Zone:        zone,
		Version:     "v1",
		Concurrency: p.slots,
		State:       state,
		Sequence:    p.sequence,
		Born:        r.born,
	})
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, h := range r.hosts {
		h.kill()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.out.Close()
}

// reserveSeeds sets the seeds that all hosts get: the peer addresses of the first ones, three at most.
func (r *rig) reserveSeeds(hosts int) error {
	for range min(hosts, 3) {
		address, err := stand.FreeAddress()
		if err != nil {
			return err
		}
		r.seeds = append(r.seeds, address)
	}
	return nil
}

// host is a process of the project's program.
type host struct {
	id       string
	callers  string
	ready    string
	settings string
	process  *exec.Cmd
	ended    chan struct{}
}

// startHost starts a host with the command and the settings of the deploy file.
func (r *rig) startHost(id string) (*host, error) {
	var a [5]string
	for i := range a {
		var err error
		if a[i], err = stand.FreeAddress(); err != nil {
			return nil, err
		}
	}
	store, err := r.storeAddress()
	if err != nil {
		return nil, err
	}
	if len(r.seeds) > len(r.hosts) {
		a[2] = r.seeds[len(r.hosts)]
	}
	data, err := json.Marshal(map[string]any{
		"id": id, "data_centre": zone, "caller_address": a[0], "operator_address": a[1], "peer_address": a[2],
		"peers": r.seeds, "log_format": "json", "leave_wait": "2200ms",
		"platform": map[string]any{
			"caller_address": a[3], "ready_address": a[4], "object_address": store, "grace": grace.String(),
			"retry_share": 0.2, "retry_slack": 56, "retry_window": "10s", "warmup_factor": 1.5, "warmup_slack": 5,
			"processor_share": 0.4, "link_mbps": 1000.0, "max_descriptors": 4100, "memory_mb": memoryMB, "processors": 1,
		},
	})
	if err != nil {
		return nil, err
	}
	h := &host{
		id:       id,
		callers:  a[3],
		ready:    a[4],
		settings: filepath.Join(r.dir, id+".jsonc"),
	}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	return h, h.start(r)
}

func (h *host) start(r *rig) error {
	log, err := os.OpenFile(filepath.Join(r.dir, h.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command("target/magnoliaworks", "serve")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "MAGNOLIAWORKS_CONFIG=" + h.settings}
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	process, ended := h.process, make(chan struct{})
	h.ended = ended
	r.tasks.Go(func() error {
		err := process.Wait()
		r.record.write("host %s ended: %v", h.id, err)
		close(ended)
		return nil
	})
	return nil
}

// alive reports whether the process has not ended.
func (h *host) alive() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *host) kill() {
	if h.process != nil && h.alive() {
		_ = h.process.Process.Kill()
		<-h.ended
	}
}

// waitReady waits until the readiness address of each host answers 200.
func (r *rig) waitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, h := range r.hosts {
		for !probe(h.ready) {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     *os.File
	started time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}
