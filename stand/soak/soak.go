// Package soak runs the program as separate processes against stand-ins of the users' platform, injects random faults
// from outside, and checks the guarantees from what callers and backend servers observe.
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
	// convergenceTime is the time without disturbances after which hosts must know the state of the store.
	convergenceTime = 4 * time.Second
	// startupTime is the time in which hosts become ready after their start.
	startupTime = 4 * time.Second
	// recoveryTimeout is the time after a kill and restart of all hosts within which requests must be answered again.
	recoveryTimeout = 12 * time.Second
	// inFlightTime is the time in which an answer that a host has sent reaches the caller.
	inFlightTime = 200 * time.Millisecond
	// maxStaleAge bounds the age of the data of stale lists.
	maxStaleAge = 10 * time.Second
	// callersPerHost is the number of callers for each host.
	callersPerHost = 4
	// versionTime is the time after the confirmation of a version of the configuration from which hosts that have been in touch for
	// convergenceTime act on it.
	versionTime = 3 * time.Second
	// maxFaultGap bounds the time between the starts of two faults; faults overlap.
	maxFaultGap = 1500 * time.Millisecond
)

// Config describes one soak run.
type Config struct {
	// Seed determines which faults and requests are drawn.
	Seed uint64
	// For is the time in which faults are started.
	For   time.Duration
	Hosts int
	// Program is the path of the host's binary, Directory that of the hosts' settings and logs.
	Program   string
	Directory string
}

// Report is the result of a soak run. Faults counts the started faults by name, Crowds the connections of clients outside of the
// limits by their manner, Statuses the answers by HTTP status.
// VersionChecks counts the requests of which it was checked that they were handled as a version in force allows.
// Recovered is the time from the restart of all hosts, after the kill at the end, until the first answer.
type Report struct {
	Seed         uint64         `json:"seed"`
	Faults       map[string]int `json:"faults"`
	Crowds       map[string]int `json:"crowds"`
	Requests     int            `json:"requests"`
	Statuses     map[int]int    `json:"statuses"`
	Unanswered   int            `json:"unanswered"`
	NotConnected int            `json:"not_connected"`
	Recovered    string         `json:"recovered"`
	Violations   []Violation    `json:"violations"`

	VersionChecks int `json:"version_checks"`
}

// Violation is one violated guarantee: the time since the start of the run, the guarantee, and the request.
type Violation struct {
	After   string `json:"after"`
	What    string `json:"what"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// soak is one run in progress.
type soak struct {
	config Config
	site   *site.Site
	// storeProxy is on the way of all hosts to the store, after the proxies of the single hosts.
	storeProxy    *proxy
	serverProxies map[string]*proxy
	serverIDs     []string
	shardSets     [][]string
	// newServers are the servers of the version v2 of rolloutService, which only roll-outs draw.
	newServers []string
	hosts      []*host
	// storeTouch records the troubles of the store and of the way of all hosts to it.
	storeTouch touch
	routings   routings
	tasks      errgroup.Group
	started    time.Time

	mu     sync.Mutex
	report Report
}

// Run executes one soak run and returns its report. When it returns, all processes that it started have ended.
// An error means that the run could not be completed; violations are in the report.
func Run(ctx context.Context, c Config) (Report, error) {
	s := &soak{
		config:        c,
		serverProxies: make(map[string]*proxy),
		started:       time.Now(),
		report: Report{
			Seed:     c.Seed,
			Faults:   make(map[string]int),
			Crowds:   make(map[string]int),
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
			Detail: fmt.Sprintf("%d requests at servers that should have received none or fewer", n),
		})
	}
	return s.report, err
}

// runFaults starts random, overlapping faults while callers send requests, and kills all hosts at the end.
func (s *soak) runFaults(ctx context.Context) error {
	_ = timer.Sleep(ctx, startupTime)
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerTasks, faultTasks errgroup.Group
	for i := range callersPerHost * len(s.hosts) {
		callerTasks.Go(func() error { return s.runCaller(callersCtx, i) })
	}
	callerTasks.Go(func() error { return s.runCrowds(callersCtx) })
	random := rand.New(rand.NewPCG(s.config.Seed, 99))
	if s.site.Exposure.Share > 0 {
		faultTasks.Go(func() error { return s.rollOutInTurn(ctx, time.Now().Add(s.config.For)) })
	}
	faultTasks.Go(func() error { return s.changeVersions(ctx, time.Now().Add(s.config.For)) })
	kinds := s.faultKinds()
	for until := time.Now().Add(s.config.For); time.Now().Before(until) && ctx.Err() == nil; {
		f := s.drawFault(kinds, random)
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 1))
		s.updateReport(func(r *Report) { r.Faults[f.name]++ })
		faultTasks.Go(func() error { return s.injectFault(ctx, f, faultRandom) })
		_ = timer.Sleep(ctx, time.Duration(random.Int64N(int64(maxFaultGap))))
	}
	err := faultTasks.Wait()
	if err == nil {
		err = s.recover(ctx)
	}
	stopCallers()
	if waitErr := callerTasks.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// injectFault runs a fault, and counts it as a disturbance unless it is planned.
func (s *soak) injectFault(ctx context.Context, f fault, random *rand.Rand) error {
	if !f.planned {
		s.site.MarkOutage(true)
		defer s.site.MarkOutage(false)
	}
	if f.storeWide {
		defer s.storeTouch.disturb()()
	}
	return f.run(ctx, s, random)
}

// recover kills all hosts at once, restarts them and waits until requests are answered again.
func (s *soak) recover(ctx context.Context) error {
	s.site.MarkOutage(true)
	defer s.site.MarkOutage(false)
	for _, h := range s.hosts {
		defer h.touch.disturb()()
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		_ = h.waitExit()
		if err := h.start(); err != nil {
			return err
		}
	}
	restarted := time.Now()
	// Answers that were in flight when the hosts were killed don't count as recovery.
	_ = timer.Sleep(ctx, inFlightTime)
	before := s.answered()
	for s.answered() == before {
		if time.Since(restarted) > recoveryTimeout {
			s.addViolation("recover", "", "no request was answered within "+recoveryTimeout.String()+" after all hosts were killed and restarted")
			return nil
		}
		if err := timer.Sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	s.updateReport(func(r *Report) { r.Recovered = time.Since(restarted).Round(time.Millisecond).String() })
	return nil
}

func (s *soak) answered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.Statuses[200]
}

// randomHost returns a random host. It may be restarting; restart and pauseHost then wait for faultMu.
func (s *soak) randomHost(random *rand.Rand) *host { return s.hosts[random.IntN(len(s.hosts))] }

func (s *soak) updateReport(change func(*Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.report)
}

// addViolation adds a violated guarantee to the report.
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

// recordedFaults returns the counts of requests that servers should not have received, by fault.
func (s *soak) recordedFaults() map[string]int {
	if s.site == nil {
		return nil
	}
	return s.site.ExecutionLog.Violations()
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
	for _, h := range s.hosts {
		_ = h.storePath.stop()
		_ = h.peerPaths.stop()
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
