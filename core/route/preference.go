package route

import "github.com/cespare/xxhash/v2"

// MarkPreferred sets Preferred for the server outside the data centre that comes first in the order of preference of a seed.
func MarkPreferred(preferenceSeed uint64, servers []Server, dataCentre string) {
	first := -1
	for i := range servers {
		if servers[i].DataCentre == dataCentre {
			continue
		}
		if first < 0 || preferenceRank(preferenceSeed, servers[i].ID) < preferenceRank(preferenceSeed, servers[first].ID) {
			first = i
		}
	}
	if first >= 0 {
		servers[first].Preferred = true
	}
}

// preferredIndex returns the index of the server that comes first in the order of preference of a seed.
func preferredIndex(preferenceSeed uint64, servers []Server) int {
	first := 0
	for i := range servers {
		if preferenceRank(preferenceSeed, servers[i].ID) < preferenceRank(preferenceSeed, servers[first].ID) {
			first = i
		}
	}
	return first
}

// preferenceRank returns the rank of a server in the order of preference of a seed; the lowest is preferred.
// The factor is 2^64 divided by the golden ratio (Fibonacci hashing), which mixes server and seed.
func preferenceRank(preferenceSeed uint64, server string) uint64 {
	return (xxhash.Sum64String(server) ^ preferenceSeed) * 0x9e3779b97f4a7c15
}
