package site

import (
	"time"
)

// staleReads describes the answers to calls with stale_ok. The platform's pages leave open how old the data may be, and whether
// as_of then states the revision of the data or that of the store.
type staleReads struct {
	// age is the age of the data; 0 for present data.
	age time.Duration
	// presentAsOf states the store's present revision in place of the data's.
	presentAsOf bool
}

// versionsKept is the time for which the store keeps former versions of an object for stale reads.
const versionsKept = 30 * time.Second

// version is a version of an object, or its removal, and the time from which it held.
type version struct {
	object  object
	deleted bool
	since   time.Time
}

// SetStaleReads makes calls with stale_ok return data of an age. With presentAsOf they state the store's present revision all
// the same, otherwise that of the data.
func (o *ObjectStore) SetStaleReads(age time.Duration, presentAsOf bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.staleReads = staleReads{
		age:         age,
		presentAsOf: presentAsOf,
	}
}

// recordVersion keeps a version for stale reads and drops those that no such read returns any more. The caller holds mu.
func (o *ObjectStore) recordVersion(kind string, stored object, deleted bool) {
	if o.versions[kind] == nil {
		o.versions[kind] = make(map[string][]version)
	}
	now := time.Now()
	kept := o.versions[kind][stored.Meta.Name]
	for len(kept) > 1 && now.Sub(kept[1].since) > versionsKept {
		kept = kept[1:]
	}
	o.versions[kind][stored.Meta.Name] = append(kept, version{
		object:  stored,
		deleted: deleted,
		since:   now,
	})
}

// objectsAt returns the objects of a kind at a time, and the store's revision then. The caller holds mu.
func (o *ObjectStore) objectsAt(kind string, at time.Time) (objects map[string]object, revision uint64) {
	objects, revision = make(map[string]object), 1
	for k, names := range o.versions {
		for name, versions := range names {
			for _, v := range versions {
				if v.since.After(at) {
					break
				}
				if v.since.Before(o.returnedAt) && !at.Before(o.returnedAt) {
					continue
				}
				revision = max(revision, v.object.Meta.Revision)
				if k != kind {
					continue
				}
				if v.deleted {
					delete(objects, name)
				} else {
					objects[name] = v.object
				}
			}
		}
	}
	return objects, revision
}
