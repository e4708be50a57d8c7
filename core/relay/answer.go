package relay

import (
	"bytes"
	"slices"

	"magnoliaworks/core/query"
)

// Answer is the answer to a message. Its cases are Passthrough and Merged.
type Answer interface {
	answer()
}

// Passthrough is one backend server's reply, returned to the caller unchanged.
type Passthrough struct {
	Reply *query.Reply
}

// Merged is the answer merged from the replies of a shard set.
type Merged struct {
	// Signatures are the servers' signatures of the merged replies.
	Signatures []string
	// Missing is the number of shards without a reply.
	Missing int
	// Body holds the greatest records of the replies, compared bytewise, in descending order.
	Body []byte
}

func (Passthrough) answer() {}
func (Merged) answer()      {}

// recordSize is the length in bytes of one record in the body of a shard's reply.
const recordSize = 16

// merge returns the topK greatest records of the bodies, compared bytewise, in descending order.
// An incomplete record at the end of a body is ignored.
func merge(bodies [][]byte, topK int) []byte {
	total := 0
	for _, b := range bodies {
		total += len(b) / recordSize
	}
	records := make([][]byte, 0, total)
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			records = append(records, b[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(topK, len(records))]
	body := make([]byte, 0, len(records)*recordSize)
	for _, r := range records {
		body = append(body, r...)
	}
	return body
}
