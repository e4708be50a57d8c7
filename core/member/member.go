// Package member keeps the view of the live hosts and detects failed ones.
package member

// Member is one host as the others know it.
type Member struct {
	ID string
	// Address is the peer listener, OperatorAddress the operators' one.
	Address         string
	OperatorAddress string
	DataCentre      string
	// Incarnation rises when a host starts and when it contradicts news about itself.
	Incarnation uint64
	State       State
}

// State tells how a host is doing.
type State uint32

// The states in rising precedence at the same incarnation.
const (
	Alive State = iota + 1
	// Suspect hosts did not answer a probe; they still count as live.
	Suspect
	// Leaving hosts finish their work and take no new one.
	Leaving
	// Unreachable hosts did not contradict a suspicion in time.
	Unreachable
	// Left hosts have ended their shutdown.
	Left
)

// String returns the state as operators see it.
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

// supersedes reports whether m is newer news than old about the same host.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}
