package watch

import "time"

const (
	// lateRegistrationTime is the time for which a registration is held that may have been written before its server's entry was
	// removed. The platform removes the entry of a silent server sooner, so that one that stays is that of a live server.
	lateRegistrationTime = 6 * time.Second
	// removalTTL is the time for which the registration of a removed server is remembered, and maxRemovals the number of these.
	removalTTL  = time.Minute
	maxRemovals = 8192
)

// lateRegistration is the registration of a server whose entry was removed, and the time at which it takes effect.
type lateRegistration struct {
	object Object
	due    time.Time
}

// removedServer is the last registration of a removed server.
type removedServer struct {
	last Registration
	at   time.Time
}

// removedServers holds the last registrations of removed servers by ID. The store may execute a server's write seconds late, after the
// removal of its entry, which it brings back.
type removedServers map[string]removedServer

// put remembers the last registration of a server. Beyond maxRemovals it forgets another one.
func (rs removedServers) put(server string, last Registration, now time.Time) {
	if len(rs) >= maxRemovals {
		for other := range rs {
			delete(rs, other)
			break
		}
	}
	rs[server] = removedServer{
		last: last,
		at:   now,
	}
}

// isLate reports whether a server wrote a registration no later than the last one of its removed entry.
func (rs removedServers) isLate(server string, r Registration, now time.Time) bool {
	known, ok := rs[server]
	return ok && now.Sub(known.at) <= removalTTL && !known.last.Before(r)
}

// expire forgets what is older than removalTTL.
func (rs removedServers) expire(now time.Time) {
	for server, r := range rs {
		if now.Sub(r.at) > removalTTL {
			delete(rs, server)
		}
	}
}

// releaseLate applies the late registrations that are due; their entries have not been removed again. The caller holds mu.
func (w *Watcher) releaseLate(now time.Time) {
	w.removed.expire(now)
	released := false
	for server, l := range w.late {
		if now.After(l.due) {
			delete(w.removed, server)
			w.applyServer(l.object, byRelease)
			released = true
		}
	}
	if released {
		w.publishServers()
		w.notify()
	}
}
