// Package shed decides what is not done under load: which searches are refused at their arrival and when their callers may
// return, which have become hopeless, and what hedges leave to retries. It does no I/O; times and random numbers are passed
// in.
package shed

import "time"

// Hopeless reports whether a search can't reach its minimum coverage any more: lost shards have no reply and get no further
// call. What it would still do takes capacity from searches that can be answered.
func Hopeless(shards, lost int, minCoverage float64) bool {
	return float64(shards-lost) < minCoverage*float64(shards)
}

// NeededShards returns the least number of shards that reaches the minimum coverage.
func NeededShards(shards int, minCoverage float64) int {
	for n := range shards {
		if float64(n) >= minCoverage*float64(shards) {
			return n
		}
	}
	return shards
}

// quietRetrySpread and maxQuietRetrySpread bound the time by which callers return after the servers: a share of the wait, and
// a time.
const (
	quietRetrySpread    = 0.25
	maxQuietRetrySpread = time.Second
)

// QuietRetryAfter returns the advised delay before a request is sent again that no server accepts for the given time. It is
// spread by random, a number between 0 and 1, so that callers do not return together.
//
// It answers servers that turn requests away and state when they will accept some again: callers that came earlier would be
// refused once more.
func QuietRetryAfter(wait time.Duration, random float64) time.Duration {
	return wait + time.Duration(random*min(quietRetrySpread*float64(wait), float64(maxQuietRetrySpread)))
}

// maxRetryAfter is the longest advised delay before a retry.
const maxRetryAfter = time.Second

// RetryAfter returns the advised delay before a search that was refused for load is sent again. It grows as the share of
// searches that are started falls, which tells the backlog, and is spread by random, a number between 0 and 1, so that
// callers do not return together.
func RetryAfter(least time.Duration, share, random float64) time.Duration {
	delay := float64(least) / max(share, minShare) * (0.5 + random)
	return min(max(time.Duration(delay), least), maxRetryAfter)
}

const (
	// usualStart is the time within which a host that starts has configuration and servers if others or the store answer.
	usualStart = 600 * time.Millisecond
	// unreadyRetryAfter is the advised delay once a host has lacked them for longer, which then lasts for seconds.
	unreadyRetryAfter = time.Second
	// minStartRetryAfter is the least advised delay while a host starts.
	minStartRetryAfter = 100 * time.Millisecond
)

// StartRetryAfter returns the advised delay before a request that a host refused for lack of configuration or servers is sent
// again, by the time since the host has started. After all hosts were killed together, callers are to return when these are
// likely to serve again, and not at the same moment, which random, a number between 0 and 1, provides for.
func StartRetryAfter(sinceStart time.Duration, random float64) time.Duration {
	if sinceStart >= usualStart {
		return unreadyRetryAfter
	}
	return max(usualStart-sinceStart, minStartRetryAfter) + time.Duration(random*float64(minStartRetryAfter))
}
