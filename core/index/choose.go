package index

// Replicas returns the usable backend servers of a service.
type Replicas func(service string) []string

// Choose returns the newest snapshot that at least half of the usable replicas of each shard hold.
// Without one it returns the newest snapshot that the most shards can be answered from.
// ok is false for an empty index.
func Choose(ix Index, replicas Replicas, holdings *Holdings) (best Snapshot, ok bool) {
	bestShards := -1
	for i := len(ix.Snapshots) - 1; i >= 0; i-- {
		candidate := ix.Snapshots[i]
		firm, possible := support(candidate, replicas, holdings)
		if firm == len(candidate.Shards) {
			return candidate, true
		}
		if possible > bestShards {
			best, bestShards = candidate, possible
		}
	}
	return best, bestShards >= 0
}

// support counts the shards held by half of their replicas, and those held by at least one.
func support(s Snapshot, replicas Replicas, holdings *Holdings) (firm, possible int) {
	for _, shard := range s.Shards {
		servers := replicas(shard.Service)
		holding := 0
		for _, server := range servers {
			if holdings.Holds(server, s.Version) {
				holding++
			}
		}
		if holding > 0 {
			possible++
		}
		if holding > 0 && 2*holding >= len(servers) {
			firm++
		}
	}
	return firm, possible
}
