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
	// maxConnsPerHost bounds the callers' connections to one host.
	maxConnsPerHost = 8192
	// retryDelay is the wait before a caller sends a non-idempotent request again under the same key.
	retryDelay = 200 * time.Millisecond
	// maxAttempts bounds how often a caller sends such a request.
	maxAttempts = 4
	// timeoutGrace is the time beyond the kind's deadline for which a caller waits.
	timeoutGrace = 2 * time.Second
	// hitLimit is the number of hits that a request asks for, unless its kind permits fewer.
	hitLimit = 10
)

// client sends requests to the ready hosts round robin, as the platform's load balancer does.
type client struct {
	runner *runner

	mu sync.Mutex
	// readyHosts are used in turn; lastIndex counts the attempts. hostClients is keyed by callers' address.
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

// dial opens a connection as a caller, over the experiment's simulated network if there is one.
func (c *client) dial(address string) (net.Conn, error) {
	if c.runner.platform == nil {
		return net.Dial("tcp", address)
	}
	return c.runner.platform.Network.Endpoint(stand.Callers, stand.Callers).Dial(context.Background(), "tcp", address)
}

// refresh updates the list of ready hosts and closes idle connections to the others.
// If no host is ready, the previous list stays.
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

// next returns the next ready host and its HTTP client, which never retries by itself.
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

// close closes the idle connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hostClients {
		h.CloseIdleConnections()
	}
}

// response is what a caller received for one attempt. refusal is empty unless the host refused the request;
// err is set if no valid reply arrived.
type response struct {
	status     int
	refusal    string
	answer     caller.AnswerBody
	requestID  string
	dataCentre string
	host       *member
	err        error
}

// refusalBody holds the fields of a refusal's JSON body that experiments use.
type refusalBody struct {
	RequestID string `json:"request_id"`
	Refusal   string `json:"refusal"`
	Reason    string `json:"reason"`
}

// do sends a request and passes every response to the tally.
// A caller repeats a request with the same key while it does not know its outcome.
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

// textAndKey returns the text of a request and its idempotency key, which is empty for idempotent kinds.
func (c *client) textAndKey(a arrival) (text, key string) {
	text = fmt.Sprintf("q-%d-%d", c.runner.config.Seed, a.number)
	if a.kind.Idempotence == config.Once {
		key = text
	}
	return text, key
}

// send sends one attempt to the next host and waits for the reply, at most for the kind's deadline plus timeoutGrace.
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
