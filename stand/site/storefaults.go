package site

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// Refuse makes the store answer 503 to a host, also to its waiting watches.
func (o *ObjectStore) Refuse(id string) { o.RefuseWith(id, fasthttp.StatusServiceUnavailable) }

// RefuseWith makes the store answer a status to a host, also to its waiting watches.
func (o *ObjectStore) RefuseWith(id string, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused[id] = status
}

// Readmit ends a refusal.
func (o *ObjectStore) Readmit(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.refused, id)
}

// refusal returns the status with which a host is refused.
func (o *ObjectStore) refusal(id string) (status int, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	status, refused = o.refused[id]
	return status, refused
}

// HoldAnswers holds up the answers to a host, or to all if id is empty, or lets them through.
func (o *ObjectStore) HoldAnswers(id string, hold bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holds[id] = hold
}

func (o *ObjectStore) holdsAnswers(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holds[id] || o.holds[""]
}

// Mute makes the calls of a host get no answer, or no longer. Their connections return nothing further.
func (o *ObjectStore) Mute(id string, mute bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.muted[id] = mute
}

func (o *ObjectStore) isMuted(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.muted[id]
}

// SilenceWatches makes the connections on which a host has made watches, whether these wait or not, return nothing further, without
// closing them. New connections work.
func (o *ObjectStore) SilenceWatches(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.Copy(o.silent, o.watchConns[id])
	delete(o.watchConns, id)
}

// isSilent reports whether a connection returns nothing further.
func (o *ObjectStore) isSilent(conn net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silent[conn]
}

// recordWatchConn records that a host has made a watch on a connection. The caller holds mu.
func (o *ObjectStore) recordWatchConn(id string, conn net.Conn) {
	if o.watchConns[id] == nil {
		o.watchConns[id] = make(map[net.Conn]bool)
	}
	o.watchConns[id][conn] = true
}

// Stall makes the watches of a host for some kinds, or for all if none is named, return nothing, while its lists are answered.
func (o *ObjectStore) Stall(id string, kinds ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stalled[id] = kinds
}

func (o *ObjectStore) stalls(id, kind string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	kinds, ok := o.stalled[id]
	return ok && (len(kinds) == 0 || slices.Contains(kinds, kind))
}

// FreezeStaleLists makes stale lists return the objects as they are now, whatever changes later.
func (o *ObjectStore) FreezeStaleLists() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stale = make(map[string]map[string]object, len(o.kinds))
	for kind, objects := range o.kinds {
		o.stale[kind] = maps.Clone(objects)
	}
	o.staleRevision = o.revision
}

// LoseWatchAnswers makes the answers to watches that have events get lost, or no longer. A connection on which one was lost
// returns nothing further.
func (o *ObjectStore) LoseWatchAnswers(lose bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.losesWatches = lose
}

func (o *ObjectStore) losesWatchAnswers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.losesWatches
}

// deafTime is the time from a cut of the watches to the drop of the history. It is longer than the first backoff of a host, whose
// watches then come back within it.
const deafTime = 200 * time.Millisecond

// CutWatches cuts all watches that wait, as a store does that is about to drop its history, and drops it deafTime later. A watch that
// begins in between is accepted and returns nothing until its wait ends; a later one from a dropped revision gets 410.
func (o *ObjectStore) CutWatches() {
	o.mu.Lock()
	o.cuts++
	o.dropping++
	o.mu.Unlock()
	time.Sleep(deafTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropping--
	o.dropHistory()
}

// CompactDeaf makes all watches hear nothing for a time, then drops the history and cuts those that wait. One whose wait ends before
// is answered without events. It states the revision from which it began, or with presentAsOf the store's.
func (o *ObjectStore) CompactDeaf(deaf time.Duration, presentAsOf bool) {
	present := 0
	if presentAsOf {
		present = 1
	}
	o.mu.Lock()
	o.deaf++
	o.deafAsOf += present
	o.mu.Unlock()
	time.Sleep(deaf)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deaf--
	o.deafAsOf -= present
	o.cuts++
	o.dropHistory()
}

// CompactAfterCut makes all watches hear nothing for a time, cuts them and drops the history later. A watch whose wait ends before the drop
// is answered without events and with the store's revision. One that begins between the cut and the drop is accepted and returns nothing
// until its wait ends.
func (o *ObjectStore) CompactAfterCut(deaf, untilDrop time.Duration) {
	o.mu.Lock()
	o.deaf++
	o.deafAsOf++
	o.mu.Unlock()
	time.Sleep(deaf)
	o.mu.Lock()
	o.cuts++
	o.dropping++
	o.mu.Unlock()
	time.Sleep(untilDrop)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deaf--
	o.deafAsOf--
	o.dropping--
	o.dropHistory()
}

func (o *ObjectStore) isDeaf() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.deaf > 0
}

func (o *ObjectStore) deafStatesPresent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.deafAsOf > 0
}

// cutCount returns the number of cuts, and whether the history is about to be dropped after one.
func (o *ObjectStore) cutCount() (cuts int, dropping bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cuts, o.dropping > 0
}

// ThrottleWrites makes the calls of hosts that change objects get 429.
func (o *ObjectStore) ThrottleWrites() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.throttlesWrites = true
}
