// Package object defines what the system needs of the platform's store of versioned objects.
package object

import (
	"context"

	"github.com/pkg/errors"
)

// Store reads and writes versioned objects.
type Store interface {
	// Get returns the object of a key, or ErrAbsent.
	Get(ctx context.Context, key string) (Object, error)
	// Put replaces the object of a key if its version is still have, where 0 means that it does not exist.
	// It returns the new version, or ErrConflict when nothing was changed because the version differs.
	// Any other error leaves open whether the change took effect.
	Put(ctx context.Context, key string, value []byte, have uint64) (version uint64, err error)
}

// Object is one stored value.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

var (
	// ErrAbsent reports that a key has no object.
	ErrAbsent = errors.New("object does not exist")
	// ErrConflict reports that an object's version is not the expected one and that nothing was changed.
	ErrConflict = errors.New("object has another version")
)
