package query

// Coverage describes which shards an answer is based on.
type Coverage struct {
	// Answered is the number of shards with a complete result.
	Answered int
	// Total is the number of shards of the request.
	Total int
	// Missing holds the other shards: by identifier for a search, by service for a message.
	Missing []string
}

// Share returns Answered divided by Total, or 0 without any shards.
func (c Coverage) Share() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}
