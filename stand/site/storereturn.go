package site

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// headerStoreEra is the number of times that the store has returned from a copy, in all its answers.
const headerStoreEra = "Store-Era"

// StoreCopy is the state of a store at one moment.
type StoreCopy struct {
	kinds    map[string]map[string]object
	revision uint64
}

// Copy returns a copy of the store's objects and revision.
func (o *ObjectStore) Copy() StoreCopy {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.copy()
}

// copy is Copy for callers that hold mu.
func (o *ObjectStore) copy() StoreCopy {
	c := StoreCopy{
		kinds:    make(map[string]map[string]object, len(o.kinds)),
		revision: o.revision,
	}
	for kind, objects := range o.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// ReturnBehaviour is what the platform's pages leave open about a return from a copy.
type ReturnBehaviour struct {
	// KeepsHistory keeps the changes up to the copy for watches.
	KeepsHistory bool
	// StaleFromBefore makes stale reads return data from before the return, at the new era, until that is too old for them.
	StaleFromBefore bool
	// HoldsWatches makes waiting watches hear nothing any more; otherwise they are cut.
	HoldsWatches bool
}

// SetReturnBehaviour sets what holds for the next returns.
func (o *ObjectStore) SetReturnBehaviour(b ReturnBehaviour) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onReturn = b
}

func (o *ObjectStore) holdsWatches() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.onReturn.HoldsWatches
}

// versions returns the copied objects for stale reads, which return no others from the return on, however old their data is.
func (c StoreCopy) versions() map[string]map[string][]version {
	versions := make(map[string]map[string][]version, len(c.kinds))
	for kind, objects := range c.kinds {
		versions[kind] = make(map[string][]version, len(objects))
		for name, stored := range objects {
			versions[kind][name] = []version{{object: stored}}
		}
	}
	return versions
}

// ReturnFrom makes the store silent for some time and return from a copy: what was acknowledged since is lost, revisions go back and
// are given out again, waiting watches are cut and the era rises. It returns the state before the return.
func (o *ObjectStore) ReturnFrom(c StoreCopy, away time.Duration) (lost StoreCopy) {
	o.SetState(StoreSilent)
	time.Sleep(away)
	o.mu.Lock()
	defer o.mu.Unlock()
	lost = o.copy()
	o.kinds = make(map[string]map[string]object, len(c.kinds))
	for kind, objects := range c.kinds {
		o.kinds[kind] = maps.Clone(objects)
	}
	o.revision = c.revision
	o.returnHistory()
	o.returnVersions(c)
	o.era++
	o.observeConfig()
	o.state = StoreUp
	return lost
}

// returnHistory drops the changes that the copy lacks, or all. The caller holds mu.
func (o *ObjectStore) returnHistory() {
	o.history = slices.DeleteFunc(o.history, func(e event) bool { return e.Object.Meta.Revision > o.revision })
	if !o.onReturn.KeepsHistory || o.oldest > o.revision {
		o.oldest, o.history = o.revision, nil
	}
}

// returnVersions makes stale reads of data from now on return the copied objects. The caller holds mu.
func (o *ObjectStore) returnVersions(c StoreCopy) {
	if !o.onReturn.StaleFromBefore {
		o.versions = c.versions()
		return
	}
	o.returnedAt = time.Now()
	for kind, objects := range c.kinds {
		for _, stored := range objects {
			o.recordVersion(kind, stored, false)
		}
	}
}

// WriteAgain writes what the operator and the servers had written before a return from a copy, in any order, unless they have written
// something else since. The statuses of orders are the system's, and stay lost.
func (o *ObjectStore) WriteAgain(lost, copied StoreCopy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for kind, objects := range lost.kinds {
		for name, before := range objects {
			present, ok := o.kinds[kind][name]
			if ok && (present.Meta.Revision > copied.revision || string(present.Spec) == string(before.Spec)) {
				continue
			}
			before.Status = present.Status
			o.put(kind, before)
		}
	}
	for kind, objects := range copied.kinds {
		for name := range objects {
			_, existed := lost.kinds[kind][name]
			if present, ok := o.kinds[kind][name]; ok && !existed && present.Meta.Revision <= copied.revision {
				o.remove(kind, name)
			}
		}
	}
}

func (o *ObjectStore) currentEra() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era
}

// stateEra states the store's era in an answer.
func (o *ObjectStore) stateEra(c *fasthttp.RequestCtx) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.Response.Header.Set(headerStoreEra, strconv.FormatUint(o.era, 10))
}
