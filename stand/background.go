package stand

import (
	"net"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"
)

// StartBackgroundTasks serves one request in memory, which starts the goroutines that fasthttp keeps for the life of the process.
// Tests in virtual time call it first, so that these goroutines do not belong to their synctest bubble.
func StartBackgroundTasks() error {
	l := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("ok") },
	}
	group := new(errgroup.Group)
	group.Go(func() error { return s.Serve(l) })
	c := &fasthttp.HostClient{
		Addr: "memory",
		Dial: func(string) (net.Conn, error) { return l.Dial() },
	}
	if _, _, err := c.Get(nil, "http://memory/"); err != nil {
		return err
	}
	c.CloseIdleConnections()
	if err := l.Close(); err != nil {
		return err
	}
	return group.Wait()
}
