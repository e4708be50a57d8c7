package topo

import (
	"cmp"
	"maps"
	"time"
)

// RolloutState is how far the roll-out of a version has come, as the store states it.
type RolloutState int

// The states of a roll-out. An ordered one becomes active, and then completed or rolled back, for good.
const (
	Ordered RolloutState = iota
	Active
	Completed
	RolledBack
)

// String returns the state for logs.
func (s RolloutState) String() string {
	switch s {
	case Ordered:
		return "ordered"
	case Active:
		return "active"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	default:
		return "unknown state"
	}
}

// Ended reports whether nothing follows the state.
func (s RolloutState) Ended() bool { return s == Completed || s == RolledBack }

// Rollout is an operator's order to move the requests for a service to the servers of a version. It is immutable.
type Rollout struct {
	// Name is the name of the order in the store, and Revision that of its last change.
	Name     string
	Revision uint64
	Service  string
	Version  string
	// Duration is the time from the order within which it has to be carried out.
	Duration time.Duration
	State    RolloutState
	// Unwritten is set if the store has lost the state by a return from a copy, so that it has to be written again.
	Unwritten bool
	// Created is the revision at which the order was created.
	Created uint64
	// SeenAt is the time at which this host first saw the order for the version. GivenAfter is a time before which the order was not
	// given: the last one of which the host knew all changes of the store by then. It is zero if there was none.
	SeenAt     time.Time
	GivenAfter time.Time
	// Fault tells why the order can't be carried out; it is empty otherwise.
	Fault string
}

// Age returns the greatest time that may have passed since the order was given, as far as this host knows. A host that hadn't known the
// store before counts from the time at which it saw the order.
func (r Rollout) Age(now time.Time) time.Duration {
	if r.GivenAfter.IsZero() {
		return now.Sub(r.SeenAt)
	}
	return now.Sub(r.GivenAfter)
}

// maxUnknown is the time for which changes of the store may be unknown to a host that learns of an order and relies on the version in use
// that it knows: too short for another order to have been carried out.
const maxUnknown = 3 * time.Second

// relatesToKnown reports whether the order was given while this host knew what was in use.
func (r Rollout) relatesToKnown() bool {
	return !r.GivenAfter.IsZero() && r.SeenAt.Sub(r.GivenAfter) <= maxUnknown
}

// Admission tells which calls a server may get for its version.
type Admission int

// The admissions. Open servers get all calls, those on trial as few as the roll-out permits, and closed ones none.
const (
	Open Admission = iota
	OnTrial
	Closed
)

// Rollouts returns the orders by service, or nil if the deployment has none. The map must not be modified.
func (s *State) Rollouts() map[string]Rollout { return s.rollouts }

// Rollout returns the order for a service that can be carried out; ok is false if there is none.
func (s *State) Rollout(service string) (r Rollout, ok bool) {
	r, ok = s.rollouts[service]
	return r, ok && r.Fault == ""
}

// VersionInUse returns the version of a service that gets the calls, or "" if there is none or versions don't matter.
func (s *State) VersionInUse(service string) string { return s.inUse[service] }

// IsInUse reports whether the version of an order was in use before the order was given, so that there is nothing to try.
func (s *State) IsInUse(r Rollout) bool {
	at, ok := s.needless[r.Service]
	return ok && at.Equal(r.SeenAt) && s.inUse[r.Service] == r.Version
}

// knows reports whether the state has the order, in whatever state that is.
func (s *State) knows(r Rollout) bool {
	known, ok := s.rollouts[r.Service]
	return ok && known.Name == r.Name && known.SeenAt.Equal(r.SeenAt)
}

// HasVersion reports whether a server of a version of a service is registered and doesn't leave.
func (s *State) HasVersion(service, version string) bool {
	for _, server := range s.servers {
		if server.Service == service && server.Version == version && !server.Draining {
			return true
		}
	}
	return false
}

// WithRollouts returns a state with exactly these orders, by service. From then on versions matter: without an order only the version
// in use gets calls. A host that starts may learn the servers before the orders; versions that it took for those in use meanwhile are
// chosen anew if their orders aren't completed.
func (s *State) WithRollouts(rollouts map[string]Rollout) *State {
	next := *s
	next.rollouts = rollouts
	next.inUse = maps.Clone(s.inUse)
	next.ordered = make(map[string]bool, len(rollouts))
	maps.Copy(next.ordered, s.ordered)
	next.needless = make(map[string]time.Time)
	for service := range rollouts {
		r, ok := next.Rollout(service)
		if ok && (s.IsInUse(r) || (!s.knows(r) && r.relatesToKnown() && r.Version == s.inUse[service])) {
			next.needless[service] = r.SeenAt
		}
		if !ok || s.ordered[service] {
			continue
		}
		next.ordered[service] = true
		if r.State != Completed && r.Version == s.inUse[service] && !r.relatesToKnown() {
			delete(next.inUse, service)
		}
	}
	next.deriveReplicas()
	return &next
}

// Admission returns which calls a registered server may get for its version.
func (s *State) Admission(id string) Admission {
	server, ok := s.servers[id]
	switch {
	case s.rollouts == nil:
		return Open
	case !ok:
		return Closed
	}
	r, ordered := s.Rollout(server.Service)
	switch {
	case ordered && r.State == RolledBack && server.Version == r.Version:
		return Closed
	case server.Version == s.inUse[server.Service]:
		return Open
	case ordered && !r.State.Ended() && server.Version == r.Version:
		return OnTrial
	default:
		return Closed
	}
}

// deriveVersions returns the version in use of each service. It stays while a server of it is there; otherwise it is the version of
// the server that was started first. While the order for a version isn't completed, that one comes into use only at a start of the
// host that finds no other.
func (s *State) deriveVersions() map[string]string {
	if s.rollouts == nil {
		return nil
	}
	first := make(map[string]Server)
	present := make(map[string]map[string]bool)
	for _, server := range s.servers {
		if present[server.Service] == nil {
			present[server.Service] = make(map[string]bool)
		}
		if !server.Draining {
			present[server.Service][server.Version] = true
		}
		r, ordered := s.Rollout(server.Service)
		if server.Draining || (ordered && r.State != Completed && server.Version == r.Version) {
			continue
		}
		if known, ok := first[server.Service]; !ok || startedBefore(server, known) {
			first[server.Service] = server
		}
	}
	next := make(map[string]string, len(present))
	for service, version := range s.inUse {
		next[service] = version
	}
	for service, versions := range present {
		r, ordered := s.Rollout(service)
		former, known := s.inUse[service]
		switch other, found := first[service]; {
		case ordered && r.State == Completed && versions[r.Version]:
			next[service] = r.Version
		case known && versions[former]:
		case found:
			next[service] = other.Version
		case !known && ordered && !r.State.Ended() && versions[r.Version]:
			next[service] = r.Version
		}
	}
	return next
}

// startedBefore reports whether a was started before b; of servers started at the same time, that with the lesser version is.
func startedBefore(a, b Server) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version)) < 0
}
