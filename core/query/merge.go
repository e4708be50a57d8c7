package query

import (
	"cmp"
	"slices"
)

// Merge returns the best hits of all shards, at most limit, ordered by descending score.
// Hits with equal scores are ordered by shard and identifier, so that equal searches return equal answers.
func Merge(perShard [][]Hit, limit int) []Hit {
	total := 0
	for _, hits := range perShard {
		total += len(hits)
	}
	all := make([]Hit, 0, total)
	for _, hits := range perShard {
		all = append(all, hits...)
	}
	slices.SortFunc(all, compareHits)
	return all[:min(limit, len(all))]
}

func compareHits(a, b Hit) int {
	return cmp.Or(
		cmp.Compare(b.Score, a.Score),
		cmp.Compare(a.Shard, b.Shard),
		cmp.Compare(a.ID, b.ID),
	)
}
