package watch

import "time"

// tombstoneTTL is the time for which the removal of an object is kept, so that an older reply does not restore it.
const tombstoneTTL = 10 * time.Minute

// objectCache holds the newest known version of each object, removals included, and numbers the changes in the order in
// which they arrived.
type objectCache struct {
	entries [kindCount]map[string]entry
	// followed is the number of kinds that are followed, which are the first ones.
	followed Kind
	// sequence is the number of the last change, and expired that of the newest removal that was dropped.
	sequence uint64
	expired  uint64
	// revisions holds the store's revision up to which each kind is known; 0 if a list is needed.
	revisions Revisions
	accounts  accounts
	// newest holds the revision of the newest object of each kind, removals included.
	newest Revisions
}

// entry is an object with the number and the time of the change that stored it.
type entry struct {
	object     Object
	sequence   uint64
	recordedAt time.Time
}

func newObjectCache() objectCache {
	c := objectCache{
		followed: kindCount,
		accounts: newAccounts(),
	}
	for k := range c.entries {
		c.entries[k] = make(map[string]entry)
	}
	return c
}

// learn records that the store has stated the objects, and that a kind is known up to a revision.
func (c *objectCache) learn(kind Kind, objects []Object, revision uint64) {
	for _, o := range objects {
		c.accounts.see(o.Revision)
	}
	c.revisions[kind] = max(c.revisions[kind], revision)
	c.revisions = c.accounts.settle(c.revisions, c.followed)
}

// isNewer reports whether an object is unknown or has a newer revision than the cached one.
func (c *objectCache) isNewer(kind Kind, o Object) bool {
	known, ok := c.entries[kind][o.Name]
	return !ok || o.Revision > known.object.Revision
}

// put stores an object under the next sequence number.
func (c *objectCache) put(kind Kind, o Object) {
	c.sequence++
	c.newest[kind] = max(c.newest[kind], o.Revision)
	c.entries[kind][o.Name] = entry{
		object:     o,
		sequence:   c.sequence,
		recordedAt: time.Now(),
	}
}

// removals returns the removal, at the given revision, of each cached object that a full list of that revision lacks.
// Objects with a newer revision are left out.
func (c *objectCache) removals(kind Kind, list []Object, revision uint64) []Object {
	present := make(map[string]bool, len(list))
	for _, o := range list {
		present[o.Name] = true
	}
	var removed []Object
	for name, e := range c.entries[kind] {
		if present[name] || e.object.Deleted || e.object.Revision > revision {
			continue
		}
		removed = append(removed, Object{
			Name:     name,
			Revision: revision,
			Deleted:  true,
		})
	}
	return removed
}

// complete reports whether the cache still holds all changes after a sequence number.
func (c *objectCache) complete(sequence uint64) bool { return sequence > 0 && sequence >= c.expired }

// since returns the objects that changed after a sequence number, removals included; for 0 it returns all that exist.
func (c *objectCache) since(sequence uint64) [kindCount][]Object {
	var changed [kindCount][]Object
	for kind := range c.entries {
		for _, e := range c.entries[kind] {
			if e.sequence > sequence && (sequence > 0 || !e.object.Deleted) {
				changed[kind] = append(changed[kind], e.object)
			}
		}
	}
	return changed
}

// expireTombstones drops removals that are older than tombstoneTTL.
func (c *objectCache) expireTombstones(now time.Time) {
	for kind := range c.entries {
		for name, e := range c.entries[kind] {
			if e.object.Deleted && now.Sub(e.recordedAt) > tombstoneTTL {
				c.expired = max(c.expired, e.sequence)
				delete(c.entries[kind], name)
			}
		}
	}
}
