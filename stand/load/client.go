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
	// maxConnsPerHost bounds the connections of callers to one host.
	maxConnsPerHost = 8192
	// retryDelay is the wait before a caller asks again about a request that may not be repeated.
	retryDelay = 200 * time.Millisecond
	// maxAttempts bounds how often a caller asks about such a request.
	maxAttempts = 4
	// timeoutGrace is the time beyond the kind's deadline that a caller waits.
	timeoutGrace = 2 * time.Second
	hitLimit     = 10
)

// client sends requests to ready hosts in turn, as the platform's balancer does.
type client struct {
	runner *runner

	mu          sync.Mutex
	readyHosts  []*member
	lastIndex   int
	hostClients map[string]*fasthttp.HostClient
}

func newClient(r *runner) *client {
	c := &client{
		runner:      r,
		hostClients: make(map[string]*fasthttp.HostClient),
	}
	return c
}

// dial opens a connection as a caller, over the experiment's network if there is one.
func (c *client) dial(address string) (net.Conn, error) {
	if c.runner.platform == nil {
		return net.Dial("tcp", address)
	}
	return c.runner.platform.Network.Side(stand.Callers, stand.Callers).Dial(context.Background(), "tcp", address)
}

// refresh learns which hosts are ready, and closes idle connections to the others.
func (c *client) refresh(members []*member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []*member
	for _, m := range members {
		if _, ok := m.host.Ready(); ok {
			ready = append(ready, m)
		} else if h, known := c.hostClients[m.settings.CallerAddress]; known {
			h.CloseIdleConnections()
		}
	}
	if len(ready) > 0 {
		c.readyHosts = ready
	}
}

// next returns the next ready host and the connections to it.
func (c *client) next() (*member, *fasthttp.HostClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastIndex++
	m := c.readyHosts[c.lastIndex%len(c.readyHosts)]
	address := m.settings.CallerAddress
	h, ok := c.hostClients[address]
	if !ok {
		h = &fasthttp.HostClient{
			Addr:                      address,
			MaxConns:                  maxConnsPerHost,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      c.dial,
		}
		c.hostClients[address] = h
	}
	return m, h
}

// close ends the idle connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hostClients {
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

// refusalBody is the JSON form of a refusal as far as experiments need it.
type refusalBody struct {
	RequestID string `json:"request_id"`
	Refusal   string `json:"refusal"`
	Reason    string `json:"reason"`
}

// do sends a request and hands what the caller was told to the tally.
// Callers ask again with the same key about requests whose outcome they do not know.
func (c *client) do(ctx context.Context, a arrival) {
	text, key := c.textAndKey(a)
	for attempt := 1; ; attempt++ {
		r := c.send(a, text, key)
		c.runner.tally.recordResponse(a, text, key, r)
		unknown := r.err != nil || r.refusal == "outcome_unknown"
		if key == "" || !unknown || attempt == maxAttempts || timer.Sleep(ctx, retryDelay) != nil {
			c.runner.tally.recordCompletion(a, time.Since(a.due), r)
			return
		}
	}
}

// textAndKey returns the text of a request and its key, which is empty for searches.
func (c *client) textAndKey(a arrival) (text, key string) {
	text = fmt.Sprintf("q-%d-%d", c.runner.config.Seed, a.number)
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
		a.collection, a.kind.Name, text, min(hitLimit, a.kind.MaxHits), key))
	r := response{
		dataCentre: m.settings.DataCentre,
		host:       m,
	}
	if r.err = h.DoTimeout(request, reply, a.kind.Deadline+timeoutGrace); r.err != nil {
		return r
	}
	r.status = reply.StatusCode()
	if r.status == fasthttp.StatusOK {
		r.err = json.Unmarshal(reply.Body(), &r.answer)
		r.requestID = r.answer.RequestID
		return r
	}
	var body refusalBody
	r.err = json.Unmarshal(reply.Body(), &body)
	r.refusal, r.requestID = body.Refusal, body.RequestID
	return r
}
