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
	// requestGap is the time between two requests of a caller.
	requestGap = 30 * time.Millisecond
	// requestsPerConn is the number of requests that a caller sends on one connection.
	requestsPerConn = 40
	topK            = 7
)

// Host names of the routes.
const (
	searchHost = "search.example"
	oneHost    = "one.example"
	onceHost   = "once.example"
)

// runCaller sends requests to one host after the other until ctx ends, and checks each answer.
func (s *soak) runCaller(ctx context.Context, number int) error {
	random := rand.New(rand.NewPCG(s.config.Seed, uint64(number)))
	for ctx.Err() == nil {
		h := s.hosts[random.IntN(len(s.hosts))]
		c, err := s.site.Call(h.settings.Platform.CallerAddress)
		if err != nil {
			s.updateReport(func(r *Report) { r.NotConnected++ })
			_ = timer.Sleep(ctx, requestGap)
			continue
		}
		s.useConnection(ctx, c, h, random)
		c.Close()
	}
	return nil
}

// useConnection uses a connection until it ends.
func (s *soak) useConnection(ctx context.Context, c *site.Caller, h *host, random *rand.Rand) {
	for i := 0; i < requestsPerConn && ctx.Err() == nil; i++ {
		a := s.newRequest(random)
		if c.Send(a) != nil {
			return
		}
		answer, err := c.Receive(a)
		if err != nil {
			s.recordUnanswered(h, a)
			return
		}
		s.check(a, answer)
		if answer.Closing {
			return
		}
		_ = timer.Sleep(ctx, requestGap)
	}
}

func (s *soak) newRequest(random *rand.Rand) site.Ask {
	a := site.Ask{
		ID:   fmt.Sprintf("%016x", random.Uint64()),
		Host: searchHost,
		Path: "/x",
		Wait: time.Second,
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
func (s *soak) check(a site.Ask, answer site.Answer) {
	records := 0
	if a.Host == searchHost {
		records = topK
	}
	s.updateReport(func(r *Report) {
		r.Requests++
		r.Statuses[answer.Status]++
	})
	if err := s.site.Check(a, answer, records); err != nil {
		s.addViolation("untrue", a.ID, err.Error())
	}
	if a.Host == onceHost {
		s.checkRunsLater(a, answer)
	}
}

// checkRunsLater looks a while later whether a request that may not be repeated ran more than once, or although it was refused.
func (s *soak) checkRunsLater(a site.Ask, answer site.Answer) {
	s.tasks.Go(func() error {
		time.Sleep(2 * time.Second)
		switch runs := s.site.Record.Runs(a.ID); {
		case runs > 1:
			s.addViolation("twice", a.ID, fmt.Sprintf("%d runs", runs))
		case runs > 0 && answer.Status == 503:
			s.addViolation("refused", a.ID, "refused as not run, and ran")
		}
		return nil
	})
}

// recordUnanswered notes a request whose connection ended without an answer; a host that leaves as planned must not do that.
func (s *soak) recordUnanswered(h *host, a site.Ask) {
	s.updateReport(func(r *Report) { r.Unanswered++ })
	if h.leavingGracefully() && s.site.CalmFor(convergenceTime) && s.site.Record.Runs(a.ID) > 0 {
		s.addViolation("cut", a.ID, "host "+h.settings.ID+" was leaving")
	}
}
