package index

// Replicas returns the usable backend servers of a service.
type Replicas func(service string) []string

// ChooseSnapshot returns the newest snapshot that a usable replica of each shard was seen to hold.
// Without one it returns the newest snapshot that the most shards may be answered from.
// ok is false for an empty index.
func ChooseSnapshot(ix Index, replicas Replicas, tracker *SnapshotTracker) (best Snapshot, ok bool) {
	bestShards := -1
	for i := len(ix.Snapshots) - 1; i >= 0; i-- {
		candidate := ix.Snapshots[i]
		confirmed, possible := countSupport(candidate, replicas, tracker)
		if confirmed == len(candidate.Shards) {
			return candidate, true
		}
		if possible > bestShards {
			best, bestShards = candidate, possible
		}
	}
	return best, bestShards >= 0
}

// countSupport counts the shards that a replica was seen to hold, and those that one may hold.
func countSupport(s Snapshot, replicas Replicas, tracker *SnapshotTracker) (confirmed, possible int) {
	for _, shard := range s.Shards {
		seen, may := false, false
		for _, server := range replicas(shard.Service) {
			seen = seen || tracker.KnownToHold(server, s.Version)
			may = may || tracker.MayHold(server, s.Version)
		}
		if seen {
			confirmed++
		}
		if may {
			possible++
		}
	}
	return confirmed, possible
}
