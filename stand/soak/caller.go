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
	// requestGap is the pause between two requests of a caller.
	requestGap = 30 * time.Millisecond
	// requestsPerConn is the largest number of requests that a caller sends on one connection.
	requestsPerConn = 40
	// topK is the number of records in a merged answer.
	topK = 7
)

// Host names that select the routes.
const (
	searchHost = "search.example"
	oneHost    = "one.example"
	onceHost   = "once.example"
	movingHost = "moving.example"
	addedHost  = "added.example"
)

// runCaller connects to randomly chosen hosts until ctx ends, sends requests and checks each answer.
// number distinguishes the random sequences of the callers.
func (s *soak) runCaller(ctx context.Context, number int) error {
	random := rand.New(rand.NewPCG(s.config.Seed, uint64(number)))
	for ctx.Err() == nil {
		h := s.hosts[random.IntN(len(s.hosts))]
		c, err := s.site.Dial(h.settings.Platform.CallerAddress)
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

// useConnection sends up to requestsPerConn requests on a connection, until it fails or the host closes it.
func (s *soak) useConnection(ctx context.Context, c *site.Caller, h *host, random *rand.Rand) {
	for i := 0; i < requestsPerConn && ctx.Err() == nil; i++ {
		a := s.newRequest(random)
		s.setKey(&a, random)
		sent := time.Now()
		if c.Send(a) != nil {
			return
		}
		answer, err := c.Receive(a)
		s.checkVersion(h, a, answer, sent)
		if err != nil {
			s.recordUnanswered(h, a)
			return
		}
		s.check(a, answer)
		if answer.Close {
			return
		}
		_ = timer.Sleep(ctx, requestGap)
	}
}

// newRequest draws a request: two in six go to the shard set, one in six to each of the other routes. Half of those that may not
// be repeated have a form as their body, and a quarter of those to a single server are HEAD requests.
func (s *soak) newRequest(random *rand.Rand) site.Request {
	a := site.Request{
		ID:      fmt.Sprintf("%016x", random.Uint64()),
		Host:    searchHost,
		Path:    "/x",
		Timeout: time.Second,
	}
	switch random.IntN(6) {
	case 0:
		a.Host = oneHost
		if random.IntN(4) == 0 {
			a.Method = "HEAD"
		}
	case 1:
		a.Host = movingHost
	case 2:
		a.Host, a.Method, a.Body = onceHost, "POST", strings.Repeat("b", random.IntN(2000))
		if random.IntN(2) == 0 {
			a.Fields, a.Body = formField, form(a.Body)
		}
		a.Chunked = random.IntN(4) == 0
	case 3:
		a.Host = addedHost
	}
	return a
}

// formField is the header line that declares the content type of a form.
const formField = "Content-Type: multipart/form-data; boundary=limit\r\n"

// form returns a form that uploads a file, with a text field after it.
func form(file string) string {
	return "--limit\r\nContent-Disposition: form-data; name=\"survey\"; filename=\"cerro.csv\"\r\n\r\n" + file +
		"\r\n--limit\r\nContent-Disposition: form-data; name=\"sheet\"\r\n\r\nF-12\r\n--limit--\r\n"
}

// check compares an answer with the record of the backend servers.
func (s *soak) check(a site.Request, answer site.Answer) {
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

// checkRunsLater checks after 2 s that a non-idempotent request did not run more than once, and not at all if the
// answer promised that. The delay leaves time for late runs.
func (s *soak) checkRunsLater(a site.Request, answer site.Answer) {
	s.tasks.Go(func() error {
		time.Sleep(2 * time.Second)
		switch runs := s.site.ExecutionLog.Runs(a.ID); {
		case runs > 1:
			s.addViolation("twice", a.ID, fmt.Sprintf("%d runs", runs))
		case runs > 0 && answer.PromisesNotRun():
			s.addViolation("refused", a.ID, "refused as not run, and ran")
		}
		return nil
	})
}

// recordUnanswered counts a request whose connection ended without an answer. It is a violation if the request ran and
// the host was leaving gracefully, without disturbances.
func (s *soak) recordUnanswered(h *host, a site.Request) {
	s.updateReport(func(r *Report) { r.Unanswered++ })
	if h.leavingGracefully() && s.site.NoOutageFor(convergenceTime) && s.site.ExecutionLog.Runs(a.ID) > 0 {
		s.addViolation("cut", a.ID, "host "+h.settings.ID+" was leaving")
	}
}
