package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"magnoliaworks/core/config"
	"magnoliaworks/core/timer"
	"magnoliaworks/io/caller"
	"magnoliaworks/stand"
)

const (
	// maxCallerConns bounds the connections of callers to one host.
	maxCallerConns = 8192
	// askAgain is the wait before a caller asks again about a request that may not be repeated.
	askAgain = 200 * time.Millisecond
	// maxAsks bounds how often a caller asks about such a request.
	maxAsks = 4
	// callGrace is the time beyond the kind's deadline that a caller waits.
	callGrace  = 2 * time.Second
	hitsWanted = 10
)

// client sends requests to ready hosts in turn, as the platform's balancer does.
type client struct {
	run *run

	mu    sync.Mutex
	ready []*member
	turn  int
	conns map[string]*fasthttp.HostClient
}

func newClient(r *run) *client {
	c := &client{
		run:   r,
		conns: make(map[string]*fasthttp.HostClient),
	}
	return c
}

// dial opens a connection as a caller, over the experiment's network if there is one.
func (c *client) dial(address string) (net.Conn, error) {
	if c.run.platform == nil {
		return net.Dial("tcp", address)
	}
	return c.run.platform.Network.Endpoint(stand.Callers, stand.Callers).Dial(context.Background(), "tcp", address)
}

// refresh learns which hosts are ready, and closes idle connections to the others.
func (c *client) refresh(members []*member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []*member
	for _, m := range members {
		if _, ok := m.host.Ready(); ok {
			ready = append(ready, m)
		} else if h, known := c.conns[m.settings.CallerAddress]; known {
			h.CloseIdleConnections()
		}
	}
	if len(ready) > 0 {
		c.ready = ready
	}
}

// next returns the next ready host and the connections to it.
func (c *client) next() (*member, *fasthttp.HostClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	m := c.ready[c.turn%len(c.ready)]
	address := m.settings.CallerAddress
	h, ok := c.conns[address]
	if !ok {
		h = &fasthttp.HostClient{
			Addr:                      address,
			MaxConns:                  maxCallerConns,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      c.dial,
		}
		c.conns[address] = h
	}
	return m, h
}

// close ends the idle connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.conns {
		h.CloseIdleConnections()
	}
}

// response is what a caller was told.
type response struct {
	status     int
	refusal    string
	answer     caller.AnswerBody
	requestID  string
	dataCentre string
	host       *member
	err        error
}

// refused is the JSON form of a refusal as far as experiments need it.
type refused struct {
	RequestID string `json:"request_id"`
	Refusal   string `json:"refusal"`
	Reason    string `json:"reason"`
}

// do sends a request and hands what the caller was told to the tally.
// Callers ask again with the same key about requests whose outcome they do not know.
func (c *client) do(ctx context.Context, a arrival) {
	text, key := c.words(a)
	for ask := 1; ; ask++ {
		r := c.send(a, text, key)
		c.run.tally.told(a, text, key, r)
		open := r.err != nil || r.refusal == "outcome_unknown"
		if key == "" || !open || ask == maxAsks || timer.Sleep(ctx, askAgain) != nil {
			c.run.tally.ended(a, time.Since(a.due), r)
			return
		}
	}
}

// words returns the text of a request and its key, which is empty for searches.
func (c *client) words(a arrival) (text, key string) {
	text = fmt.Sprintf("q-%d-%d", c.run.config.Seed, a.number)
	if a.kind.Idempotence == config.Once {
		key = text
	}
	return text, key
}

func (c *client) send(a arrival, text, key string) response {
	m, h := c.next()
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.SetRequestURI("http://" + h.Addr + caller.RequestPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString(fmt.Sprintf(`{"collection":%q,"kind":%q,"text":%q,"limit":%d,"caller":"load","request_key":%q}`,
		a.collection, a.kind.Name, text, min(hitsWanted, a.kind.MaxHits), key))
	r := response{
		dataCentre: m.settings.DataCentre,
		host:       m,
	}
	if r.err = h.DoTimeout(request, reply, a.kind.Deadline+callGrace); r.err != nil {
		return r
	}
	r.status = reply.StatusCode()
	if r.status == fasthttp.StatusOK {
		r.err = json.Unmarshal(reply.Body(), &r.answer)
		r.requestID = r.answer.RequestID
		return r
	}
	var body refused
	r.err = json.Unmarshal(reply.Body(), &body)
	r.refusal, r.requestID = body.Refusal, body.RequestID
	return r
}
