// Package soak runs the real program as separate processes against stand-ins of the users' platform,
// brings faults from outside, and checks the promises by what callers and backend servers see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand/site"
)

const (
	// convergenceTime is the time without trouble after which hosts must know what the store knows.
	convergenceTime = 4 * time.Second
	// startupTime is the time in which hosts become ready.
	startupTime = 4 * time.Second
	// recoveryTimeout is the time after a kill of all hosts within which requests must be answered again.
	recoveryTimeout = 12 * time.Second
	// inFlightTime is the time in which answers that have left a host reach its callers.
	inFlightTime = 200 * time.Millisecond
	// callersPerHost is the number of callers for each host.
	callersPerHost = 4
	// maxFaultGap bounds the time between two faults; they overlap.
	maxFaultGap = 1500 * time.Millisecond
)

// Config describes one soak.
type Config struct {
	Seed  uint64
	For   time.Duration
	Hosts int
	// Program is the binary of the host, and Directory the place of its settings and logs.
	Program   string
	Directory string
}

// Report is what a soak saw.
type Report struct {
	Seed         uint64         `json:"seed"`
	Faults       map[string]int `json:"faults"`
	Requests     int            `json:"requests"`
	Statuses     map[int]int    `json:"statuses"`
	Unanswered   int            `json:"unanswered"`
	NotConnected int            `json:"not_connected"`
	Recovered    string         `json:"recovered"`
	Violations   []Violation    `json:"violations"`
}

// Violation is one broken promise.
type Violation struct {
	After   string `json:"after"`
	What    string `json:"what"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

type soak struct {
	config        Config
	site          *site.Site
	storeProxy    *proxy
	serverProxies map[string]*proxy
	serverIDs     []string
	shardSets     [][]string
	hosts         []*host
	tasks         errgroup.Group
	started       time.Time

	mu     sync.Mutex
	report Report
}

// Run runs one soak and returns what it saw. Processes that it started have ended when it returns.
func Run(ctx context.Context, c Config) (Report, error) {
	s := &soak{
		config:        c,
		serverProxies: make(map[string]*proxy),
		started:       time.Now(),
		report: Report{
			Seed:     c.Seed,
			Faults:   make(map[string]int),
			Statuses: make(map[int]int),
		},
	}
	err := s.startAll()
	if err == nil {
		err = s.runFaults(ctx)
	}
	s.stopAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	for what, n := range s.recordedFaults() {
		s.report.Violations = append(s.report.Violations, Violation{
			What:   what,
			Detail: fmt.Sprintf("%d arrivals at servers that should get none or fewer", n),
		})
	}
	return s.report, err
}

// runFaults brings faults in series that overlap while callers ask, and kills all hosts at the end.
func (s *soak) runFaults(ctx context.Context) error {
	_ = timer.Sleep(ctx, startupTime)
	callers, end := context.WithCancel(ctx)
	var driving, troubles errgroup.Group
	for i := range callersPerHost * len(s.hosts) {
		driving.Go(func() error { return s.runCaller(callers, i) })
	}
	random := rand.New(rand.NewPCG(s.config.Seed, 99))
	kinds := faults()
	for until := time.Now().Add(s.config.For); time.Now().Before(until) && ctx.Err() == nil; {
		f := kinds[random.IntN(len(kinds))]
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		s.updateReport(func(r *Report) { r.Faults[f.name]++ })
		troubles.Go(func() error { return s.injectFault(ctx, f, own) })
		_ = timer.Sleep(ctx, time.Duration(random.Int64N(int64(maxFaultGap))))
	}
	err := troubles.Wait()
	if err == nil {
		err = s.recover(ctx)
	}
	end()
	if waitErr := driving.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (s *soak) injectFault(ctx context.Context, f fault, random *rand.Rand) error {
	if !f.planned {
		s.site.Disturb(true)
		defer s.site.Disturb(false)
	}
	return f.run(ctx, s, random)
}

// recover kills all hosts at once and waits until requests are answered again.
func (s *soak) recover(ctx context.Context) error {
	s.site.Disturb(true)
	defer s.site.Disturb(false)
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		_ = h.waitExit()
		if err := h.start(); err != nil {
			return err
		}
	}
	killed := time.Now()
	// Answers that were on their way when the hosts were killed arrive within this time.
	_ = timer.Sleep(ctx, inFlightTime)
	before := s.answered()
	for s.answered() == before {
		if time.Since(killed) > recoveryTimeout {
			s.addViolation("recover", "", "nothing is answered "+recoveryTimeout.String()+" after all hosts were killed")
			return nil
		}
		if err := timer.Sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	s.updateReport(func(r *Report) { r.Recovered = time.Since(killed).Round(time.Millisecond).String() })
	return nil
}

func (s *soak) answered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Statuses[200]
}

// randomHost returns a host; one that is being restarted is waited for by its own fault.
func (s *soak) randomHost(random *rand.Rand) *host { return s.hosts[random.IntN(len(s.hosts))] }

func (s *soak) updateReport(change func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.report)
}

func (s *soak) addViolation(what, request, detail string) {
	s.updateReport(func(r *Report) {
		r.Violations = append(r.Violations, Violation{
			After:   time.Since(s.started).Round(time.Millisecond).String(),
			What:    what,
			Request: request,
			Detail:  detail,
		})
	})
}

func (s *soak) recordedFaults() map[string]int {
	if s.site == nil {
		return nil
	}
	return s.site.Record.Faults()
}

// stopAll ends every process and stand-in that the soak started.
func (s *soak) stopAll() {
	for _, h := range s.hosts {
		if h.process != nil && h.process.Process != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			_ = h.process.Wait()
		}
		_ = h.log.Close()
	}
	_ = s.tasks.Wait()
	for _, p := range s.serverProxies {
		_ = p.stop()
	}
	if s.storeProxy != nil {
		_ = s.storeProxy.stop()
	}
	if s.site != nil {
		if err := s.site.Stop(); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		}
	}
}
