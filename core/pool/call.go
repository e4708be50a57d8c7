package pool

import (
	"time"

	"magnoliaworks/core/query"
)

// Call is one exchange with a backend server.
type Call struct {
	Message *query.Message
	// Server is the identity of the backend server that is to run the message.
	Server string
	// Kind names the kind of request, whose times are compared.
	Kind string
	// Until is the time after which no reply is wanted.
	Until time.Time
	// OnResult receives the result once, from the task of a connection.
	OnResult func(query.Result)

	queued time.Time
	sent   time.Time
	lane   *lane
	// withdrawn is set when the call was given up before it was sent.
	withdrawn bool
	ended     bool
}

func (c *Call) finish(result query.Result) {
	if c.ended {
		return
	}
	c.ended = true
	c.OnResult(result)
}
