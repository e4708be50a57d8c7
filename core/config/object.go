package config

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/audit"
	"magnoliaworks/core/index"
)

const (
	// objectFormat is the version of the stored format.
	objectFormat = 1
	// keyPrefix starts the store keys of all scopes except those of indexes.
	keyPrefix = "config/"
	// FleetScope is the scope of the configuration that applies to all collections.
	FleetScope = "fleet"
	// collectionPrefix starts the scopes of collections.
	collectionPrefix = "collection/"
	// indexPrefix starts the scopes, and the store keys, of indexes.
	indexPrefix = "index/"
	// maxTrailEntries is the number of changes that an object's audit trail keeps.
	maxTrailEntries = 64
)

// Object is the configuration of one scope with its version and recent changes. Depending on the scope, one of Fleet,
// Collection and Index is set.
type Object struct {
	Format     int         `json:"format"`
	Scope      string      `json:"scope"`
	Version    uint64      `json:"version"`
	Fleet      *Fleet      `json:"fleet,omitempty"`
	Collection *Collection `json:"collection,omitempty"`
	// Index is set in objects that the platform's indexers write; the version of its newest snapshot is the object's version.
	Index *index.Index `json:"index,omitempty"`
	Trail audit.Trail  `json:"trail"`
}

// CollectionScope returns the scope of a collection.
func CollectionScope(name string) string { return collectionPrefix + name }

// IndexScope returns the scope of a collection's index.
func IndexScope(collection string) string { return indexPrefix + collection }

// Key returns the store key of a scope.
func Key(scope string) string {
	if strings.HasPrefix(scope, indexPrefix) {
		return scope
	}
	return keyPrefix + scope
}

// initialObject returns the object of a scope that has never been changed.
func initialObject(scope string) Object {
	o := Object{
		Format: objectFormat,
		Scope:  scope,
	}
	if scope == FleetScope {
		fleet := DefaultFleet()
		o.Fleet = &fleet
	}
	return o
}

// withEntry returns the next version of the object, with e added to its trail.
func (o Object) withEntry(e audit.Entry, at time.Time) Object {
	o.Version++
	e.Version = o.Version
	e.At = at
	o.Trail = o.Trail.With(e, maxTrailEntries)
	return o
}

// Encode returns the object in the stored format.
func (o Object) Encode() []byte {
	if o.Index != nil {
		return o.Index.Encode()
	}
	value, err := json.Marshal(o)
	if err != nil {
		panic(errors.Wrap(err, "encode configuration object"))
	}
	return value
}

// Decode decodes a stored object and checks that it belongs to the scope of its key.
func Decode(key string, value []byte) (Object, error) {
	if strings.HasPrefix(key, indexPrefix) {
		return decodeIndex(key, value)
	}
	return decodeConfig(key, value)
}

func decodeIndex(key string, value []byte) (Object, error) {
	ix, err := index.Decode(value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "index object %q", key)
	}
	newest, ok := ix.Newest()
	if !ok || IndexScope(ix.Collection) != key {
		return Object{}, errors.Errorf("index object %q has no snapshot or belongs to collection %q", key, ix.Collection)
	}
	return Object{
		Format:  objectFormat,
		Scope:   key,
		Version: newest.Version,
		Index:   &ix,
	}, nil
}

// DecodePeer decodes an object received from another host and checks that it belongs to scope.
func DecodePeer(scope string, value []byte) (Object, error) {
	if strings.HasPrefix(scope, indexPrefix) {
		return decodeIndex(scope, value)
	}
	return decodeConfig(Key(scope), value)
}

// decodeConfig decodes the object of the fleet or of a collection.
func decodeConfig(key string, value []byte) (Object, error) {
	var o Object
	decoder := json.NewDecoder(bytes.NewReader(value))
	if err := decoder.Decode(&o); err != nil {
		return Object{}, errors.Wrapf(err, "decode configuration object %q", key)
	}
	if o.Format != objectFormat {
		return Object{}, errors.Errorf("configuration object %q has format %d, want %d", key, o.Format, objectFormat)
	}
	if Key(o.Scope) != key {
		return Object{}, errors.Errorf("configuration object %q belongs to scope %q", key, o.Scope)
	}
	if o.Fleet == nil && o.Collection == nil {
		return Object{}, errors.Errorf("configuration object %q is empty", key)
	}
	return o, nil
}
