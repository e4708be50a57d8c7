package relay

import "magnoliaworks/core/query"

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
