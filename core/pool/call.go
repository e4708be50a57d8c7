package pool

import (
	"slices"
	"time"

	"magnoliaworks/core/query"
)

// Call is one message to a backend server and the callback for its result.
type Call struct {
	Message *query.Message
	// Server is the ID of the backend server that executes the message.
	Server string
	// Kind is the name of the message's route; latencies are compared only within a kind.
	Kind string
	// Deadline is the time after which the caller has no use for a reply.
	Deadline time.Time
	// Earlier are the ended calls that sent the same message to this server. This call goes on none of their connections:
	// a late copy of the reply to one of them has the message's ID, and would pass for the reply to this call.
	Earlier []*Call
	// OnResult is called exactly once, unless the call was withdrawn. It runs on the goroutine that ends the call,
	// which may be that of Submit.
	OnResult func(query.Result)

	// incarnation is the start of the server for which the call was submitted.
	incarnation int64

	// The fields below are guarded by mu of the serverPool.
	queuedAt time.Time
	sentAt   time.Time
	// assigned is the connection that the call is assigned to; nil while the call is queued.
	assigned *pooledConn
	// withdrawn is set when the call was cancelled before it was sent.
	withdrawn bool
	// ended is set when the call leaves the queue or its connection for good. Whoever sets it delivers the result, unless
	// the call was withdrawn.
	ended bool
}

// mayUse reports whether no earlier call of the message was assigned to the connection.
func (c *Call) mayUse(pc *pooledConn) bool {
	return !slices.ContainsFunc(c.Earlier, func(earlier *Call) bool { return earlier.assigned == pc })
}
