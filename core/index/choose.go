package index

// Replicas returns the IDs of the backend servers of a service that are in service.
type Replicas func(service string) []string

// ChooseSnapshot returns the newest snapshot of which each shard has a replica that is known to hold it.
// Without such a snapshot it returns the one of which most shards have a replica that may hold it, the newest if several do.
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

// countSupport counts the shards of a snapshot that some replica is known to hold, and those that some replica may hold.
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
