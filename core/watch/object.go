// Package watch keeps a host's topo.State up to date from the platform's store, either directly or through other hosts.
package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/topo"
)

// ErrHistoryGone reports that the store no longer keeps the changes after a revision, so that a list is needed.
var ErrHistoryGone = errors.New("the store no longer keeps the changes after this revision")

// Kind is the kind of an object in the store.
type Kind int

// The object kinds.
const (
	Configuration Kind = iota
	Servers
	Evacuations
	// Rollouts are followed only where the deployment has roll-outs.
	Rollouts
	kindCount
)

// String returns the name of the kind for logs and errors.
func (k Kind) String() string {
	switch k {
	case Configuration:
		return "configuration"
	case Servers:
		return "servers"
	case Evacuations:
		return "data centres taken out"
	case Rollouts:
		return "roll-outs"
	default:
		return "unknown kind"
	}
}

// Object is one version of an object in the store.
type Object struct {
	Name string
	// Revision is the ordinal of this version, see Ordinal.
	Revision uint64
	// Value is the content in the platform's encoding, see Decoder.
	Value []byte
	// Deleted is set if this version removes the object.
	Deleted bool
}

// Changes are objects of one kind.
type Changes struct {
	Objects []Object
	// Revision is the ordinal up to which the objects are complete; 0 if that is not known.
	Revision uint64
	// Stated is the ordinal that the answer states. The objects of a stale answer may be older.
	Stated uint64
}

// Source is the client of the platform's store.
type Source interface {
	// List returns all objects of a kind. A stale list is cheap but may be seconds old, by an age that its stated revision does
	// not tell.
	List(ctx context.Context, kind Kind, stale bool) (Changes, error)
	// Watch waits for changes after an ordinal and returns them, or none if none came for some time.
	// The error is ErrHistoryGone when the changes are no longer kept, or the store has another era.
	Watch(ctx context.Context, kind Kind, after uint64) (Changes, error)
	// ChangesAfter returns the changes up to now after a revision, without waiting. The error is as for Watch.
	ChangesAfter(ctx context.Context, kind Kind, after uint64) (Changes, error)
	// Ping returns no error if the store answers. The result is a stale list of the evacuations, or empty if it is not whole.
	Ping(ctx context.Context) (Changes, error)
}

// Decoder decodes the values of the platform's objects.
type Decoder interface {
	// Config decodes the operator's configuration.
	Config(value []byte) (*topo.Config, error)
	// Server decodes the registration of the server with that name; now is the time from which its warm-up counts.
	Server(name string, value []byte, now time.Time) (Registration, error)
	// Rollout decodes the order with that name, whose Name, Revision and SeenAt are left empty. One that can't be carried out has a
	// Fault; the error is for values that aren't orders.
	Rollout(name string, value []byte) (topo.Rollout, error)
	// WithState returns the value of an order with a state that the store has lost. Rollout decodes it as that state, unwritten.
	WithState(value []byte, state topo.RolloutState) []byte
}

// Registration is a server's entry in the store.
type Registration struct {
	Server topo.Server
	// Sequence counts the entries that the server has written since its start.
	Sequence uint64
}

// Before reports whether the server wrote r before other.
func (r Registration) Before(other Registration) bool {
	if r.Server.Incarnation != other.Server.Incarnation {
		return r.Server.Incarnation < other.Server.Incarnation
	}
	return r.Sequence < other.Sequence
}
