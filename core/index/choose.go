package index

// Replicas returns the usable backend servers of a service.
type Replicas func(service string) []string

// ChooseSnapshot returns the newest snapshot that a usable replica of each shard was seen to hold.
// Without one it returns the newest snapshot that the most shards may be answered from.
// ok is false for an empty index.
func ChooseSnapshot(ix Index, replicas Replicas, holdings *SnapshotTracker) (best Snapshot, ok bool) {
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

// support counts the shards that a replica was seen to hold, and those that one may hold.
func support(s Snapshot, replicas Replicas, holdings *SnapshotTracker) (firm, possible int) {
	for _, shard := range s.Shards {
		seen, may := false, false
		for _, server := range replicas(shard.Service) {
			seen = seen || holdings.KnownToHold(server, s.Version)
			may = may || holdings.MayHold(server, s.Version)
		}
		if seen {
			firm++
		}
		if may {
			possible++
		}
	}
	return firm, possible
}
