package stand

import "sync/atomic"

// Traffic holds the bytes written over the connections of a memory network in both directions, by peer.
// Connections of callers are not counted.
type Traffic struct {
	BetweenHosts int64
	ToStore      int64
	ToServers    int64
}

// Traffic returns the bytes written so far.
func (n *Network) Traffic() Traffic {
	return Traffic{
		BetweenHosts: n.betweenHosts.Load(),
		ToStore:      n.toStore.Load(),
		ToServers:    n.toServers.Load(),
	}
}

// byteCounter returns the counter for a connection, or nil for one of a caller.
func (n *Network) byteCounter(from *Endpoint, to addressInfo) *atomic.Int64 {
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

// storeOwner is the owner of the store's address.
const storeOwner = "store"
