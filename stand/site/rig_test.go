package site

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"magnoliaworks"
	"magnoliaworks/core/setup"
	"magnoliaworks/stand"
)

// TestMain starts the HTTP library's lasting tasks outside any bubble.
func TestMain(m *testing.M) {
	if err := stand.StartBackgroundTasks(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	// cleanTime is the virtual time after which the cleaners of the HTTP library have ended.
	cleanTime = 2 * time.Minute
	// warmTime is the virtual time in which hosts meet and open their connections.
	warmTime = 5 * time.Second
	// top is the number of records in an answer.
	top = 7
	// searchHost, oneHost and onceHost are the host names of the routes.
	searchHost = "search.example"
	oneHost    = "one.example"
	onceHost   = "once.example"
)

// rig is a site with hosts, in virtual time.
type rig struct {
	t     *testing.T
	site  *Site
	hosts []*node
	tasks errgroup.Group
	asked atomic.Int64
}

// node is one host of a rig.
type node struct {
	settings setup.Settings
	host     *magnoliaworks.Host
	stop     context.CancelFunc
	ended    chan struct{}
}

// inRig runs a test on a site with four shards of three replicas, a service for single requests and one host a data centre.
func inRig(t *testing.T, test func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, err := New()
		must(t, err)
		r := &rig{
			t:    t,
			site: s,
		}
		shards := []string{"sh-a", "sh-b", "sh-c", "sh-d"}
		for _, name := range shards {
			must(t, s.AddService(name, 3, 10*time.Millisecond))
		}
		must(t, s.AddService("desk", 6, 20*time.Millisecond))
		s.Config.Routes = []Route{
			{
				Name: "search", Host: searchHost, Prefix: "/", Type: "idempotent", TimeoutMS: 1000, ObjectiveMS: 100,
				MaxAttempts: 2, Shards: shards, TopK: top, MinCoverage: 0.75,
			},
			{Name: "one", Host: oneHost, Prefix: "/", Type: "idempotent", TimeoutMS: 2000, ObjectiveMS: 300, MaxAttempts: 2, Service: "desk"},
			{Name: "once", Host: onceHost, Prefix: "/", Type: "non_idempotent", TimeoutMS: 2000, ObjectiveMS: 300, MaxAttempts: 2, Service: "desk"},
		}
		s.Apply()
		for i, centre := range DataCentres {
			r.add(fmt.Sprintf("host-%d", i), centre)
		}
		time.Sleep(warmTime)
		test(r)
		for i := range r.hosts {
			r.leave(i)
		}
		must(t, s.Stop())
		must(t, r.tasks.Wait())
		s.Network.Wait()
		must(t, s.Tasks.Wait())
		time.Sleep(cleanTime)
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// add starts a host.
func (r *rig) add(id, centre string) {
	r.t.Helper()
	var peers []string
	for _, n := range r.hosts {
		peers = append(peers, n.settings.PeerAddress)
	}
	settings, err := r.site.Settings(id, centre, peers...)
	must(r.t, err)
	r.hosts = append(r.hosts, r.start(settings))
}

func (r *rig) start(settings setup.Settings) *node {
	host, err := magnoliaworks.New(
		magnoliaworks.WithSettings(settings),
		magnoliaworks.WithNetwork(r.site.Network.Endpoint(settings.DataCentre, settings.ID)),
		magnoliaworks.WithLogger(hclog.NewNullLogger()),
	)
	must(r.t, err)
	ctx, stop := context.WithCancel(context.Background())
	n := &node{
		settings: settings,
		host:     host,
		stop:     stop,
		ended:    make(chan struct{}),
	}
	r.tasks.Go(func() error {
		defer close(n.ended)
		return host.Run(ctx)
	})
	return n
}

// leave ends a host gracefully.
func (r *rig) leave(i int) {
	r.hosts[i].stop()
	<-r.hosts[i].ended
}

// call opens a connection to the i-th host.
func (r *rig) call(i int) *Caller {
	r.t.Helper()
	c, err := r.site.Dial(r.hosts[i].settings.Platform.CallerAddress)
	must(r.t, err)
	return c
}

// ask returns a new request to one of the routes.
func (r *rig) ask(host string) Request {
	a := Request{
		ID:      fmt.Sprintf("%016x", 0x1c41d07b00000000+r.asked.Add(1)),
		Host:    host,
		Path:    "/x?y=%2F",
		Timeout: time.Second,
	}
	if host == onceHost {
		a.Method, a.Body = "POST", strings.Repeat("b", 300)
	}
	return a
}

// topOf returns the number of records in answers of a route; 0 for replies that are passed on.
func topOf(host string) int {
	if host == searchHost {
		return top
	}
	return 0
}

// tally is how requests ended.
type tally struct {
	statuses map[int]int
	lost     int
	untrue   []error
	partial  int
	slowest  time.Duration
	asks     []Request
}

// load sends n requests of a route to a host, one every gap, each on its own task over shared connections.
func (r *rig) load(i int, host string, n int, gap time.Duration) tally {
	t := tally{
		statuses: make(map[int]int),
	}
	type end struct {
		ask    Request
		answer Answer
		err    error
	}
	ends := make(chan end, n)
	var group errgroup.Group
	for range n {
		a := r.ask(host)
		group.Go(func() error {
			c, err := r.site.Dial(r.hosts[i].settings.Platform.CallerAddress)
			if err != nil {
				ends <- end{ask: a, err: err}
				return nil
			}
			answer, err := c.Do(a)
			ends <- end{ask: a, answer: answer, err: err}
			c.Close()
			return nil
		})
		time.Sleep(gap)
	}
	must(r.t, group.Wait())
	for range n {
		e := <-ends
		t.asks = append(t.asks, e.ask)
		if e.err != nil {
			t.lost++
			continue
		}
		t.statuses[e.answer.Status]++
		t.slowest = max(t.slowest, e.answer.Elapsed)
		if e.answer.MissingShards > 0 {
			t.partial++
		}
		if err := r.site.Check(e.ask, e.answer, topOf(host)); err != nil {
			t.untrue = append(t.untrue, err)
		}
	}
	return t
}
