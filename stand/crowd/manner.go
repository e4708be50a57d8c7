package crowd

import (
	"strconv"
	"strings"
)

const (
	// sentBytes is the most that one connection sends of a request that is too large, which stays unfinished.
	sentBytes = 1_000_000
	// pieceBytes is the length of a piece of a long body.
	pieceBytes = 16 << 10
	// pipelinedRequests is the number of requests that are sent without waiting for an answer.
	pipelinedRequests = 500
)

// Manner is a way to leave the limits: Whole complete requests, then one that begins with the door's head and Start, and goes on
// with as many times Piece as Bytes permits, with pauses if Slow is set.
type Manner struct {
	Name  string
	Whole int
	Start string
	Piece string
	Bytes int
	Slow  bool
	// Unread leaves all answers unread.
	Unread bool
}

// Manners returns all manners. The operator permits bodies of maxBodyBytes.
func Manners(maxBodyBytes int) []Manner {
	body := strings.Repeat("b", pieceBytes)
	length := strconv.Itoa(maxBodyBytes)
	return []Manner{
		{Name: "announced", Start: "Content-Length: 1000001\r\n\r\n", Piece: body, Bytes: sentBytes},
		{Name: "announced_only", Start: "Content-Length: 1000001\r\n\r\n"},
		{Name: "chunks_without_end", Start: "Transfer-Encoding: chunked\r\n\r\n", Piece: "4000\r\n" + body + "\r\n", Bytes: sentBytes},
		{Name: "one_chunk_announced", Start: "Transfer-Encoding: chunked\r\n\r\nf4000\r\n"},
		{Name: "announced_small", Start: "Content-Length: 10\r\n\r\n", Piece: body, Bytes: sentBytes},
		{Name: "not_announced", Start: "\r\n", Piece: body, Bytes: sentBytes},
		{Name: "header_without_end", Start: "X-More: ", Piece: body, Bytes: sentBytes},
		{Name: "header_lines_without_end", Start: "X-More: 1\r\n", Piece: strings.Repeat("X-More: 1\r\n", 1000), Bytes: sentBytes},
		{Name: "slow_header", Start: "X-More: ", Piece: "x", Bytes: sentBytes, Slow: true},
		{Name: "slow_body", Start: "Content-Length: " + length + "\r\n\r\n" + strings.Repeat("b", maxBodyBytes*3/4), Piece: "b", Bytes: maxBodyBytes / 5, Slow: true},
		{Name: "slow_chunks", Start: "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4000\r\n"+body+"\r\n", maxBodyBytes*3/4/pieceBytes), Piece: "1\r\nb\r\n", Bytes: sentBytes, Slow: true},
		{Name: "idle"},
		{Name: "idle_after_answer", Whole: 1},
		{Name: "unread", Whole: 1, Unread: true},
		{Name: "pipelined", Whole: pipelinedRequests},
		{Name: "pipelined_unread", Whole: pipelinedRequests, Unread: true},
	}
}
