package site

import (
	"net"
	"time"
)

// endlessChunk is the number of bytes that writeEndlessly sends at a time, one chunk each millisecond.
const endlessChunk = 16 << 10

// writeEndlessly sends bytes until the connection is closed, and records how many were sent. It returns false.
func (s *Server) writeEndlessly(c net.Conn, start, chunk string) bool {
	sent, err := c.Write([]byte(start))
	for err == nil {
		var n int
		n, err = c.Write([]byte(chunk))
		sent += n
		time.Sleep(time.Millisecond)
	}
	s.Set(func(s *Server) { s.mostEndlessBytes = max(s.mostEndlessBytes, sent) })
	return false
}
