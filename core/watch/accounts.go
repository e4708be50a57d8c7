package watch

// maxSeenRevisions bounds the revisions that are kept beyond the accounted ones. More are forgotten, which costs calls to the store
// but hides no change.
const maxSeenRevisions = 1 << 14

// accounts tells up to which revision of the store every change is known. The store counts the changes of all kinds with one
// counter, so that a revision which changed an object of one kind changed none of another: a kind whose watch is silent is known
// to be current once the other kinds account for all later revisions.
type accounts struct {
	// accounted is the revision up to which every change is known; 0 if nothing is.
	accounted uint64
	// seen holds the revisions after accounted that changed an object which this host has received.
	seen map[uint64]bool
}

func newAccounts() accounts {
	return accounts{
		seen: make(map[uint64]bool),
	}
}

// see records that an object was received as it was changed at a revision.
func (a *accounts) see(revision uint64) {
	if revision <= a.accounted {
		return
	}
	if len(a.seen) >= maxSeenRevisions {
		clear(a.seen)
	}
	a.seen[revision] = true
}

// settle records that each of the followed kinds, which are the first ones, is known up to its revision, unless that of one is 0, and
// returns the revisions up to which they are known by all that was seen.
func (a *accounts) settle(known Revisions, followed Kind) Revisions {
	least := known[0]
	for _, r := range known[:followed] {
		least = min(least, r)
	}
	if least == 0 {
		return known
	}
	if least > a.accounted {
		a.accounted = least
		for r := range a.seen {
			if r <= least {
				delete(a.seen, r)
			}
		}
	}
	for a.seen[a.accounted+1] {
		a.accounted++
		delete(a.seen, a.accounted)
	}
	for kind := range followed {
		known[kind] = max(known[kind], a.accounted)
	}
	return known
}
