package index

// Replicas returns the IDs of the backend servers of a service that are in service.
type Replicas func(service string) []string

// ChooseSnapshot returns the newest snapshot of which each shard has a replica that is known to hold it.
// Without such a snapshot it returns the one of which most shards have a replica that may hold it, the newest if several do.
// ok is false for an empty index.
func ChooseSnapshot(ix Index, replicas Replicas, tracker *SnapshotTracker) (best Snapshot, ok bool) {
	mostPossible := -1
	for i := len(ix.Snapshots) - 1; i >= 0; i-- {
		candidate := ix.Snapshots[i]
		known, possible := countHeldShards(candidate, replicas, tracker)
		if known == len(candidate.Shards) {
			return candidate, true
		}
		if possible > mostPossible {
			best, mostPossible = candidate, possible
		}
	}
	return best, mostPossible >= 0
}

// countHeldShards counts the shards of a snapshot that some replica is known to hold, and those that some replica may hold.
func countHeldShards(s Snapshot, replicas Replicas, tracker *SnapshotTracker) (known, possible int) {
	for _, shard := range s.Shards {
		knownToHold, mayHold := false, false
		for _, server := range replicas(shard.Service) {
			knownToHold = knownToHold || tracker.KnownToHold(server, s.Version)
			mayHold = mayHold || tracker.MayHold(server, s.Version)
		}
		if knownToHold {
			known++
		}
		if mayHold {
			possible++
		}
	}
	return known, possible
}
