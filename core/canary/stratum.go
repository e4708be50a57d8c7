package canary

import "math"

// minOldCalls is the number of calls to the old version that a stratum needs to tell what is usual.
const minOldCalls = 3

// tally counts calls.
type tally struct {
	calls int
	bad   int
}

func (t tally) plus(calls, bad int) tally {
	return tally{
		calls: t.calls + calls,
		bad:   t.bad + bad,
	}
}

// stratum holds calls that are alike but for the version: of one route, at one time and, as far as known, at one place.
type stratum struct {
	old tally
	// fresh counts the calls to the new version by server.
	fresh map[string]tally
}

func (s *stratum) add(server string, calls, bad int) {
	if server == "" {
		s.old = s.old.plus(calls, bad)
		return
	}
	if s.fresh == nil {
		s.fresh = make(map[string]tally)
	}
	s.fresh[server] = s.fresh[server].plus(calls, bad)
}

func (s *stratum) merge(other *stratum) {
	s.add("", other.old.calls, other.old.bad)
	for server, t := range other.fresh {
		s.add(server, t.calls, t.bad)
	}
}

// comparable reports whether the stratum has calls to both versions.
func (s *stratum) comparable() bool { return len(s.fresh) > 0 && s.old.calls >= minOldCalls }

// excess holds, for calls to the new version, how many were bad and how many were to be expected if the versions are alike. pool is
// the number of bad calls to both versions among which these were expected.
type excess struct {
	calls    int
	bad      int
	expected float64
	pool     float64
}

func (e excess) plus(other excess) excess {
	return excess{
		calls:    e.calls + other.calls,
		bad:      e.bad + other.bad,
		expected: e.expected + other.expected,
		pool:     e.pool + other.pool,
	}
}

// weight returns the evidence that more calls are bad than expected: the negative logarithm of the Chernoff bound of the chance that as
// many of the bad calls of the pool go to the new version.
func (e excess) weight() float64 {
	bad, pool := float64(e.bad), max(e.pool, float64(e.bad))
	if bad <= e.expected {
		return 0
	}
	weight := bad * math.Log(bad/e.expected)
	if rest := pool - bad; rest > 0 {
		weight += rest * math.Log(rest/(pool-e.expected))
	}
	return weight
}
