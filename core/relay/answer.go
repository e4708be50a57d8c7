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

// Passthrough is one backend server's reply, to be passed on unchanged.
type Passthrough struct {
	Reply *query.Reply
}

// Merged is merged from the parts of a shard set.
type Merged struct {
	// Signatures are the servers' signatures of the parts that are in.
	Signatures []string
	// Missing is the number of shards that are left out.
	Missing int
	// Body holds the greatest records of the parts, the greatest first.
	Body []byte
}

func (Passthrough) answer() {}
func (Merged) answer()      {}

// recordSize is the length of one record of a part in bytes.
const recordSize = 16

// merge returns the top greatest records of the bodies, the greatest first; a remainder shorter than a record is left out.
func merge(bodies [][]byte, top int) []byte {
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
	records = records[:min(top, len(records))]
	body := make([]byte, 0, len(records)*recordSize)
	for _, r := range records {
		body = append(body, r...)
	}
	return body
}
