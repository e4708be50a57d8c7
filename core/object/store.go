// Package object defines the interface to the platform's store of versioned objects.
package object

import (
	"context"

	"github.com/pkg/errors"
)

// Store reads and writes versioned objects.
type Store interface {
	// Get returns the object of a key, or ErrAbsent if there is none. Errors may be wrapped.
	Get(ctx context.Context, key string) (Object, error)
	// Put replaces the object of a key if its version is still ifVersion, where 0 means that it does not exist.
	// It returns the new version, or ErrConflict if nothing was changed because the version differs.
	// After any other error the change may or may not have taken effect.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error)
}

// Object is one stored object with its version.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

var (
	// ErrAbsent reports that a key has no object.
	ErrAbsent = errors.New("object does not exist")
	// ErrConflict reports that an object does not have the expected version and that nothing was changed.
	ErrConflict = errors.New("object has another version")
)
