package load

import (
	"context"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"magnoliaworks/core/plan"
)

// cleanTime is the virtual time after which the cleaners of the HTTP library have ended.
const cleanTime = 2 * time.Minute

// TestMain serves one request outside any bubble, which starts the HTTP library's own lasting tasks.
func TestMain(m *testing.M) {
	l := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("ok") },
	}
	done := make(chan error, 1)
	serve := func() { done <- s.Serve(l) }
	go serve()
	c := &fasthttp.HostClient{
		Addr: "x",
		Dial: func(string) (net.Conn, error) { return l.Dial() },
	}
	if _, _, err := c.Get(nil, "http://x/"); err != nil {
		panic(err)
	}
	c.CloseIdleConnections()
	_ = l.Close()
	<-done
	os.Exit(m.Run())
}

// experiment runs a load in virtual time.
func experiment(t *testing.T, deployment string, change func(*Config)) Report {
	t.Helper()
	p, err := plan.Embedded(deployment)
	if err != nil {
		t.Fatal(err)
	}
	c := Config{
		Plan:     p,
		Seed:     1,
		Rate:     100,
		Duration: 6 * time.Second,
		Settle:   2 * time.Second,
		Policy:   "full",
		Hosts:    8,
		Log:      hclog.NewNullLogger(),
	}
	change(&c)
	var report Report
	synctest.Test(t, func(t *testing.T) {
		r, err := Run(context.Background(), c)
		if err != nil {
			t.Fatal(err)
		}
		report = r
		time.Sleep(cleanTime)
	})
	return report
}
