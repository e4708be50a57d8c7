package query

import "time"

// Message is a caller's request that is passed on to backend servers as opaque bytes.
type Message struct {
	// ID names the request; the caller makes a new one for each attempt.
	ID   string
	Host string
	Path string
	// Head is the request line and the header fields, without the blank line at their end.
	Head []byte
	Body []byte
	// NoBody is set when replies have no body, whatever their header says.
	NoBody bool
	// OmitHeader is set when only proof and body of replies are wanted, since they are merged.
	OmitHeader bool
	// Arrived is the time at which this host read the request, and Elapsed what had passed since the caller asked.
	Arrived time.Time
	Elapsed time.Duration
	// Timeout is the time that the caller is willing to wait, Elapsed included.
	Timeout time.Duration
}

// At returns the time that lies d after the caller asked.
func (m *Message) At(d time.Duration) time.Time { return m.Arrived.Add(d - m.Elapsed) }
