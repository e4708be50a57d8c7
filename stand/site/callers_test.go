package site

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHeadsHaveNoBody sends HEAD requests and a GET on one connection to routes of single servers and of shards. The answers to HEAD
// have no body, and the connections to the servers stay in step.
func TestHeadsHaveNoBody(t *testing.T) {
	for _, host := range []string{oneHost, searchHost} {
		t.Run(host, func(t *testing.T) {
			var statuses, bodies []int
			signatures := 0
			var incorrect error
			inRig(t, func(r *rig) {
				c := r.call(0)
				defer c.Close()
				for i := range 20 {
					request := r.newRequest(host)
					request.Method = http.MethodHead
					if i == 19 {
						request.Method = http.MethodGet
					}
					must(t, c.Send(request))
					must(t, c.conn.SetReadDeadline(time.Now().Add(2*time.Second)))
					answer, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
					must(t, err)
					var body strings.Builder
					_, err = bufio.NewReader(answer.Body).WriteTo(&body)
					must(t, err)
					statuses, bodies = append(statuses, answer.StatusCode), append(bodies, body.Len())
					if answer.Header.Get("X-Server-Stamp") != "" || answer.Header.Get("X-Shard-Stamps") != "" {
						signatures++
					}
				}
				last := r.newRequest(host)
				answer, err := c.Do(last)
				must(t, err)
				incorrect = r.site.Check(last, answer, topKOf(host))
			})
			Convey("Only the GET has a body", t, func() {
				for i := range 20 {
					So(statuses[i], ShouldEqual, 200)
					So(bodies[i] > 0, ShouldEqual, i == 19)
				}
				So(signatures, ShouldEqual, 20)
				So(incorrect, ShouldBeNil)
			})
		})
	}
}

// TestSlowCallers sends a request in pieces. One that is complete within the time to read it is forwarded as it was sent; a slower one
// is refused and reaches no server. A caller that doesn't read its answers delays no other one.
func TestSlowCallers(t *testing.T) {
	cases := []struct {
		name   string
		pause  time.Duration
		status int
		runs   int
	}{
		{name: "in 2 s", pause: 100 * time.Millisecond, status: 200, runs: 1},
		{name: "in 60 s", pause: 3 * time.Second, status: 408},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var answer Answer
			var answered tally
			runs := 0
			inRig(t, func(r *rig) {
				silent := r.call(0)
				defer silent.Close()
				for range 20 {
					must(t, silent.Send(r.newRequest(oneHost)))
				}
				request := r.newRequest(oneHost)
				request.Method, request.Body, request.Timeout = "POST", strings.Repeat("b", 400), 90*time.Second
				text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 400\r\n\r\n%s",
					request.Path, request.Host, request.ID, request.Body)
				slow := r.call(0)
				defer slow.Close()
				r.tasks.Go(func() error {
					for len(text) > 0 {
						n := min(len(text), 28)
						if _, err := slow.conn.Write([]byte(text[:n])); err != nil {
							return nil
						}
						text = text[n:]
						time.Sleep(c.pause)
					}
					return nil
				})
				var err error
				answer, err = slow.Receive(request)
				must(t, err)
				answered = r.load(0, oneHost, 50, 20*time.Millisecond)
				runs = r.site.ExecutionLog.Runs(request.ID)
			})
			Convey("The request is answered, and other callers are", t, func() {
				So(answer.Status, ShouldEqual, c.status)
				So(runs, ShouldEqual, c.runs)
				So(answered.statuses[200], ShouldEqual, 50)
			})
		})
	}
}
