// Package member maintains a host's view of all hosts and detects failed ones by a variant of the SWIM protocol:
// hosts probe each other at random, and pings carry recent changes of the view.
package member

// Member is the record of one host.
type Member struct {
	ID string
	// Address is the address of the peer listener, OperatorAddress that of the operator listener.
	Address         string
	OperatorAddress string
	DataCentre      string
	// Incarnation orders the records of a host. The host increases it when it starts, changes its state
	// or refutes a record of itself.
	Incarnation uint64
	State       State
}

// State is the state of a host as the others see it.
type State uint32

// The states. At the same incarnation, a later one supersedes an earlier one.
const (
	Alive State = iota + 1
	// Suspect hosts did not answer a probe. They still get new work.
	Suspect
	// Leaving hosts finish their work and accept no new work.
	Leaving
	// Unreachable hosts did not refute a suspicion in time.
	Unreachable
	// Left hosts have completed their shutdown.
	Left
)

// String returns the name of the state as shown to operators.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Unreachable:
		return "unreachable"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Available reports whether new work may go to the host.
func (m Member) Available() bool { return m.State == Alive || m.State == Suspect }

// WithState returns the member in another state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// WithIncarnation returns the member with another incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// supersedes reports whether m is a newer record of the same host than old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}
