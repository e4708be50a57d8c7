package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand/site"
)

const (
	// gap is the time between two requests of a caller.
	gap = 30 * time.Millisecond
	// reuse is the number of requests that a caller sends on one connection.
	reuse = 40
	top   = 7
)

// Host names of the routes.
const (
	searchHost = "search.example"
	oneHost    = "one.example"
	onceHost   = "once.example"
)

// drive sends requests to one host after the other until ctx ends, and checks each answer.
func (s *soak) drive(ctx context.Context, number int) error {
	random := rand.New(rand.NewPCG(s.config.Seed, uint64(number)))
	for ctx.Err() == nil {
		h := s.hosts[random.IntN(len(s.hosts))]
		c, err := s.site.Dial(h.settings.Platform.CallerAddress)
		if err != nil {
			s.count(func(r *Report) { r.NotConnected++ })
			_ = timer.Sleep(ctx, gap)
			continue
		}
		s.converse(ctx, c, h, random)
		c.Close()
	}
	return nil
}

// converse uses a connection until it ends.
func (s *soak) converse(ctx context.Context, c *site.Caller, h *host, random *rand.Rand) {
	for i := 0; i < reuse && ctx.Err() == nil; i++ {
		a := s.ask(random)
		if c.Send(a) != nil {
			return
		}
		answer, err := c.Receive(a)
		if err != nil {
			s.unanswered(h, a)
			return
		}
		s.check(a, answer)
		if answer.Close {
			return
		}
		_ = timer.Sleep(ctx, gap)
	}
}

func (s *soak) ask(random *rand.Rand) site.Request {
	a := site.Request{
		ID:      fmt.Sprintf("%016x", random.Uint64()),
		Host:    searchHost,
		Path:    "/x",
		Timeout: time.Second,
	}
	switch random.IntN(4) {
	case 0:
		a.Host = oneHost
	case 1:
		a.Host, a.Method, a.Body = onceHost, "POST", strings.Repeat("b", random.IntN(2000))
	}
	return a
}

// check compares an answer with what the servers did.
func (s *soak) check(a site.Request, answer site.Answer) {
	records := 0
	if a.Host == searchHost {
		records = top
	}
	s.count(func(r *Report) {
		r.Requests++
		r.Statuses[answer.Status]++
	})
	if err := s.site.Check(a, answer, records); err != nil {
		s.violate("untrue", a.ID, err.Error())
	}
	if a.Host == onceHost {
		s.watchOnce(a, answer)
	}
}

// watchOnce looks a while later whether a request that may not be repeated ran more than once, or although it was refused.
func (s *soak) watchOnce(a site.Request, answer site.Answer) {
	s.tasks.Go(func() error {
		time.Sleep(2 * time.Second)
		switch runs := s.site.ExecutionLog.Runs(a.ID); {
		case runs > 1:
			s.violate("twice", a.ID, fmt.Sprintf("%d runs", runs))
		case runs > 0 && answer.Status == 503:
			s.violate("refused", a.ID, "refused as not run, and ran")
		}
		return nil
	})
}

// unanswered notes a request whose connection ended without an answer; a host that leaves as planned must not do that.
func (s *soak) unanswered(h *host, a site.Request) {
	s.count(func(r *Report) { r.Unanswered++ })
	if h.planned() && s.site.NoOutageFor(touch) && s.site.ExecutionLog.Runs(a.ID) > 0 {
		s.violate("cut", a.ID, "host "+h.settings.ID+" was leaving")
	}
}
