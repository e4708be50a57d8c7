package member

import "github.com/cespare/xxhash/v2"

// Rank returns the n members with the highest rendezvous weights for a key, highest first, or all if there are fewer.
// Hosts with the same members agree on the order without communication, and a change of one member affects only its keys.
func Rank(members []Member, key string, n int) []Member {
	ranked := make([]Member, 0, n)
	weights := make([]uint64, 0, n)
	for _, m := range members {
		w := weight(m.ID, key)
		pos := len(ranked)
		for pos > 0 && weights[pos-1] < w {
			pos--
		}
		if pos == n {
			continue
		}
		if len(ranked) < n {
			ranked = append(ranked, Member{})
			weights = append(weights, 0)
		}
		copy(ranked[pos+1:], ranked[pos:])
		copy(weights[pos+1:], weights[pos:])
		ranked[pos], weights[pos] = m, w
	}
	return ranked
}

// weight returns the rendezvous weight of a member for a key.
func weight(id, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
