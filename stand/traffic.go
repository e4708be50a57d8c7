package stand

import "sync/atomic"

// Traffic is the number of bytes that have crossed a memory network, both ways.
type Traffic struct {
	BetweenHosts int64
	ToStore      int64
	ToServers    int64
}

// Traffic returns the bytes so far.
func (n *Network) Traffic() Traffic {
	return Traffic{
		BetweenHosts: n.betweenHosts.Load(),
		ToStore:      n.toStore.Load(),
		ToServers:    n.toServers.Load(),
	}
}

// counter returns the count that a connection adds to.
func (n *Network) counter(from *Endpoint, to place) *atomic.Int64 {
	switch {
	case from.dataCentre == Callers:
		return nil
	case to.server:
		return &n.toServers
	case to.owner == storeOwner:
		return &n.toStore
	default:
		return &n.betweenHosts
	}
}

// storeOwner owns the address of the platform's store.
const storeOwner = "store"
