package limit

import "sync/atomic"

// Gate admits work up to a bound and counts it.
type Gate struct {
	bound  int64
	inside atomic.Int64
}

// NewGate returns a gate that admits bound units at once.
func NewGate(bound int) *Gate {
	return &Gate{
		bound: int64(bound),
	}
}

// Enter admits one unit and reports whether there was room.
func (g *Gate) Enter() bool {
	if g.inside.Add(1) > g.bound {
		g.inside.Add(-1)
		return false
	}
	return true
}

// Leave ends one admitted unit.
func (g *Gate) Leave() { g.inside.Add(-1) }

// Inside returns the number of admitted units.
func (g *Gate) Inside() int { return int(g.inside.Load()) }
