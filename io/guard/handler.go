package guard

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"magnoliaworks/core/bound"
)

const (
	// messageCopies is the number of copies of a message that are held while it is read and decoded.
	messageCopies = 3
	// smallMessage is the largest message for which all bytes of the listener may be used, as for pings between hosts.
	smallMessage = 16 << 10
	// streamType starts the content type of a stream of messages, each of which follows a flag and its length in four bytes.
	streamType     = "application/connect+"
	envelopeLength = 5
)

// ConnState tells the guard what a connection of net/http does; it is a http.Server's ConnState.
func (d *Door) ConnState(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	guarded, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		guarded.enter(bound.Serving)
	case http.StateIdle:
		guarded.enter(bound.Idle)
	case http.StateClosed, http.StateHijacked:
		d.remove(guarded)
	}
}

// enter records what the connection does from now on.
func (c *Conn) enter(p bound.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

// Handler returns a handler whose requests' bodies are held only while bytes are left for them; otherwise reading them fails.
func (d *Door) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &heldBody{
			ReadCloser: r.Body,
			door:       d,
			streams:    strings.HasPrefix(r.Header.Get("Content-Type"), streamType),
		}
		defer body.give()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// heldBody takes bytes for what is read of a message, and returns them when the message is complete: with the request, or in a
// stream with the last byte of its envelope.
type heldBody struct {
	io.ReadCloser
	door    *Door
	streams bool
	// taken are the bytes taken for the message in progress.
	taken int
	// left is what is missing of the message in progress of a stream; envelope holds what has arrived of the next one's envelope.
	left     int
	envelope []byte
}

// Read implements io.Reader.
func (h *heldBody) Read(p []byte) (int, error) {
	n, err := h.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	take := h.door.bytes.Take
	if h.taken/messageCopies+n > smallMessage {
		take = h.door.bytes.TakeLarge
	}
	if !take(n * messageCopies) {
		h.door.Count(bytesShort)
		return 0, ErrBytesShort
	}
	h.taken += n * messageCopies
	if h.streams {
		h.follow(p[:n])
	}
	return n, err
}

// follow returns the bytes of the messages that end within p.
func (h *heldBody) follow(p []byte) {
	for len(p) > 0 {
		if h.left > 0 {
			n := min(h.left, len(p))
			h.left, p = h.left-n, p[n:]
		} else {
			n := min(envelopeLength-len(h.envelope), len(p))
			h.envelope, p = append(h.envelope, p[:n]...), p[n:]
			if len(h.envelope) < envelopeLength {
				return
			}
			h.left = int(binary.BigEndian.Uint32(h.envelope[1:]))
			h.envelope = h.envelope[:0]
		}
		if h.left == 0 {
			h.give()
		}
	}
}

func (h *heldBody) give() {
	h.door.bytes.Give(h.taken)
	h.taken = 0
}
