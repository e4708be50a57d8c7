package member

import "github.com/cespare/xxhash/v2"

// Rank returns the members ordered by their rendezvous weight for a key, the heaviest first, at most n of them.
// Hosts with the same members agree on the order without a message, and a change of one member moves only its keys.
func Rank(members []Member, key string, n int) []Member {
	best := make([]Member, 0, n)
	weights := make([]uint64, 0, n)
	for _, m := range members {
		w := weight(m.ID, key)
		at := len(best)
		for at > 0 && weights[at-1] < w {
			at--
		}
		if at == n {
			continue
		}
		if len(best) < n {
			best = append(best, Member{})
			weights = append(weights, 0)
		}
		copy(best[at+1:], best[at:])
		copy(weights[at+1:], weights[at:])
		best[at], weights[at] = m, w
	}
	return best
}

func weight(id, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
