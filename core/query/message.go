package query

import "time"

// Message is a caller's HTTP request that is forwarded to backend servers as opaque bytes.
type Message struct {
	// ID is the request identifier; the caller makes a new one for each attempt.
	ID string
	// Host and Path select the route.
	Host string
	Path string
	// Head is the request line and the header fields without Credentials, and without the blank line at their end.
	Head []byte
	Body []byte
	// Account is the name of the client account whose key came with the request; empty if the configuration names no accounts
	// or the route is public.
	Account string
	// Credentials are what the caller sent to name its client account; they are empty once the message is judged.
	Credentials Credentials
	// NoBody is set for HEAD requests, whose replies have no body, whatever their header says.
	NoBody bool
	// OmitHeader is set when replies are merged, which needs only their signatures and bodies.
	OmitHeader bool
	// Arrived is the time at which this host read the request.
	Arrived time.Time
	// Elapsed is the time that had already passed at Arrived since the caller's request reached its first host.
	Elapsed time.Duration
	// Standstill is the time for which this host stood still just before Arrived. The message may have waited as long.
	Standstill time.Duration
	// Way is the time of the caller's wait that passes outside the hosts: until Arrived, a connection set up for the request
	// included, and for the way of the answer. It is 0 if unknown.
	Way time.Duration
	// Timeout is the time that the caller waits for the answer, from the same start as Elapsed.
	Timeout time.Duration
}

// At returns the time d after the caller's request reached its first host.
func (m *Message) At(d time.Duration) time.Time { return m.Arrived.Add(d - m.Elapsed) }
