package caller

import (
	"bufio"
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/query"
	"magnoliaworks/stand"
)

func TestMain(m *testing.M) {
	if err := stand.StartBackgroundTasks(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fixed answers every request with the same outcome.
type fixed struct {
	err error
}

// Run implements Runner.
func (f fixed) Run(_ context.Context, req query.Request) (query.Answer, error) {
	return query.Answer{
		ID:       req.ID,
		Snapshot: 7,
		Coverage: query.Coverage{Answered: 1, Total: 1},
	}, f.err
}

// Ready implements Readiness.
func (f fixed) Ready() (string, bool) { return "", true }

const good = `{"collection":"c","kind":"k","text":"t"}`

func post(body string) string {
	return "POST /v1/request HTTP/1.1\r\nHost: x\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(fasthttp.AppendUint(nil, n)) }

func TestDoorRefusesWrongInput(t *testing.T) {
	cases := []struct {
		name   string
		raw    string
		runner fixed
		status int
		holds  string
	}{
		{name: "good", raw: post(good), status: 200, holds: `"snapshot":7`},
		{name: "not JSON", raw: post("{"), status: 400, holds: "unexpected EOF"},
		{name: "unknown key", raw: post(`{"colection":"c"}`), status: 400, holds: "colection"},
		{name: "two values", raw: post(good + "{}"), status: 400, holds: "more than one"},
		{name: "bad UTF-8", raw: post("{\"text\":\"\xff\"}"), status: 400, holds: "UTF-8"},
		{name: "deadline 0", raw: post(`{"deadline_ms":0}`), status: 400, holds: "1 to 60000"},
		{name: "absurd deadline", raw: post(`{"deadline_ms":99999999}`), status: 400, holds: "1 to 60000"},
		{name: "negative deadline", raw: post(`{"deadline_ms":-5}`), status: 400, holds: "1 to 60000"},
		{name: "deadline as text", raw: post(`{"deadline_ms":"soon"}`), status: 400, holds: "deadline_ms"},
		{name: "body too large", raw: post(strings.Repeat("x", maxBody+1)), status: 413, holds: "64 KiB"},
		{name: "wrong method", raw: "GET /v1/request HTTP/1.1\r\nHost: x\r\n\r\n", status: 405, holds: "POST"},
		{name: "wrong path", raw: "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", status: 404, holds: "/v1/request"},
		{name: "operators' path", raw: "POST /v1/command HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", status: 404, holds: "does not exist"},
		{name: "slow body", raw: "POST /v1/request HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{", status: 408, holds: "did not arrive"},
		{name: "not HTTP", raw: "hello\r\n\r\n", status: 400, holds: "not valid HTTP"},
		{name: "unknown collection", raw: post(good), runner: fixed{err: query.Invalid{Field: "collection", Reason: "no"}}, status: 404, holds: `"field":"collection"`},
		{name: "limit out of range", raw: post(good), runner: fixed{err: query.Invalid{Field: "limit", Reason: "no"}}, status: 400, holds: `"invalid"`},
		{name: "not run", raw: post(good), runner: fixed{err: query.NotRun{Reason: "full", RetryAfter: 3 * time.Second}}, status: 503, holds: "Retry-After: 3"},
		{name: "partial", raw: post(good), runner: fixed{err: query.Partial{Coverage: query.Coverage{Answered: 1, Total: 2}, MinCoverage: 1}}, status: 504, holds: `"coverage":{"answered":1,"total":2}`},
		{name: "outcome unknown", raw: post(good), runner: fixed{err: query.OutcomeUnknown{Reason: "lost"}}, status: 502, holds: `"outcome_unknown"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				status, text := exchange(t, c.runner, c.raw)
				Convey("The status and the text tell what is wrong", t, func() {
					So(status, ShouldEqual, c.status)
					So(text, ShouldContainSubstring, c.holds)
				})
			})
		})
	}
}

// exchange writes raw bytes to a door and returns the response.
func exchange(t *testing.T, runner fixed, raw string) (status int, text string) {
	t.Helper()
	l := fasthttputil.NewInmemoryListener()
	door := New(runner, runner)
	group := new(errgroup.Group)
	group.Go(func() error { return door.Serve(context.Background(), l) })
	conn, err := l.Dial()
	if err != nil {
		t.Fatal(err)
	}
	group.Go(func() error { return writeRaw(conn, raw) })
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if err := door.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Minute)
	return response.StatusCode(), response.Header.String() + string(response.Body())
}

// writeRaw ignores errors: the door may close the connection before it has read everything.
func writeRaw(conn net.Conn, raw string) error {
	_, _ = conn.Write([]byte(raw))
	return nil
}
