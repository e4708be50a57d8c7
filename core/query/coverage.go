package query

// Coverage tells how much of a snapshot's shard map stands behind an answer.
type Coverage struct {
	// Answered is the number of shards that were searched whole.
	Answered int
	Total    int
	// Missing names the shards that are not part of the answer.
	Missing []string
}

// Share returns the answered part between 0 and 1; a shard map without shards has share 0.
func (c Coverage) Share() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}
