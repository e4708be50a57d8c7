// Package watch keeps a host's state of the platform up to date from the platform's store.
package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/topo"
)

// ErrHistoryGone reports that the changes after a revision are no longer kept, so that a list is needed.
var ErrHistoryGone = errors.New("the history after this revision is gone")

// Kind tells what an object describes.
type Kind int

// The kinds of object.
const (
	Configuration Kind = iota
	Servers
	Evacuations
	kinds
)

// String returns the word for logs.
func (k Kind) String() string {
	switch k {
	case Configuration:
		return "configuration"
	case Servers:
		return "servers"
	case Evacuations:
		return "data centres taken out"
	default:
		return "unknown kind"
	}
}

// Object is one object as its source returned it.
type Object struct {
	Name     string
	Revision uint64
	// Value is the content in the platform's format.
	Value []byte
	// Deleted is set in changes that removed the object.
	Deleted bool
}

// Changes are objects with the revision that they lead to.
type Changes struct {
	Objects  []Object
	Revision uint64
}

// Source tells what the platform's store holds.
type Source interface {
	// List returns all objects of a kind. A stale list is cheap and may be seconds old.
	List(ctx context.Context, kind Kind, stale bool) (Changes, error)
	// Watch waits for changes after a revision and returns them, or none after a while.
	// The error is ErrHistoryGone when the changes are no longer kept.
	Watch(ctx context.Context, kind Kind, after uint64) (Changes, error)
	// Ping returns nil when the source answers.
	Ping(ctx context.Context) error
}

// Decoder reads the platform's formats.
type Decoder interface {
	// Config returns the operator's configuration.
	Config(value []byte) (*topo.Config, error)
	// Server returns the registration of a server.
	Server(name string, value []byte, now time.Time) (Registration, error)
}

// Registration is a server's word about itself with the place in the order of its words.
type Registration struct {
	Server   topo.Server
	Sequence uint64
}

// Before reports whether r was said before other.
func (r Registration) Before(other Registration) bool {
	if r.Server.Incarnation != other.Server.Incarnation {
		return r.Server.Incarnation < other.Server.Incarnation
	}
	return r.Sequence < other.Sequence
}
