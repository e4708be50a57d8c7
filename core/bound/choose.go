package bound

import (
	"iter"
	"time"
)

// patience is the time for which a connection may be idle, send a request or leave its answer unread while others need its room.
const patience = time.Second

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	// Idle waits for a request.
	Idle Phase = iota
	// Receiving reads one, Serving works on it, Answering writes the answer.
	Receiving
	Serving
	Answering
)

// Client is a connection that may be closed for others.
type Client struct {
	Phase Phase
	// For is the time that it has been in the phase.
	For time.Duration
}

// waits reports whether the client keeps the host waiting, which is its own doing: a host works on a request in phase Serving.
func (c Client) waits() bool { return c.Phase != Serving && c.For > patience }

// Choose returns the connection that makes room for a new one: the one that has kept the host waiting for longest, an idle one
// before others. ok is false if none has for longer than patience.
func Choose[K any](clients iter.Seq2[K, Client]) (chosen K, ok bool) {
	var best Client
	for key, c := range clients {
		if !c.waits() {
			continue
		}
		if idle, bestIdle := c.Phase == Idle, best.Phase == Idle; !ok || idle && !bestIdle || idle == bestIdle && c.For > best.For {
			chosen, best, ok = key, c, true
		}
	}
	return chosen, ok
}

// Slow reports whether the client holds bytes of a request or an answer that others need: it has been sending or not reading for
// longer than patience.
func Slow(c Client) bool { return c.Phase != Idle && c.waits() }
