package route

import "time"

// prospect is what a call to a server is expected to take, in parts.
type prospect struct {
	// known is set once the server has replied or failed.
	known bool
	// latency is the typical latency with the cost of failures, and wait the time behind the calls ahead.
	latency, wait time.Duration
}

// before reports whether a call with prospect p is expected to end before one with other. Unknown servers come first, and
// latencies that differ by chance count as equal.
func (p prospect) before(other prospect) bool {
	switch {
	case p.known != other.known:
		return !p.known
	case float64((p.latency - other.latency).Abs()) <= noiseShare*float64(max(p.latency, other.latency)):
		return p.wait < other.wait
	default:
		return p.latency+p.wait < other.latency+other.wait
	}
}
