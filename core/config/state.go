package config

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliaworks/core/index"
)

// State is the configuration in force on a host. It is immutable.
type State struct {
	objects map[string]Object
	digest  uint64
}

// With returns a state that contains o, and whether it differs from s.
// An object whose version is not higher than the one in force is ignored.
func (s State) With(o Object) (State, bool) {
	if old, ok := s.objects[o.Scope]; ok && old.Version >= o.Version {
		return s, false
	}
	objects := make(map[string]Object, len(s.objects)+1)
	maps.Copy(objects, s.objects)
	objects[o.Scope] = o
	next := State{
		objects: objects,
	}
	next.digest = next.computeDigest()
	return next, true
}

// Digest returns a hash of the versions of all scopes, by which hosts find out whether their configurations differ.
func (s State) Digest() uint64 { return s.digest }

// Empty reports whether the state has no object.
func (s State) Empty() bool { return len(s.objects) == 0 }

// Version returns the version of a scope, or 0 for a scope without an object.
func (s State) Version(scope string) uint64 { return s.objects[scope].Version }

// Object returns the object of a scope; ok is false when there is none.
func (s State) Object(scope string) (o Object, ok bool) {
	o, ok = s.objects[scope]
	return o, ok
}

// Objects returns all objects ordered by scope.
func (s State) Objects() []Object {
	scopes := slices.Sorted(maps.Keys(s.objects))
	objects := make([]Object, len(scopes))
	for i, scope := range scopes {
		objects[i] = s.objects[scope]
	}
	return objects
}

// NewerThan returns the objects whose version is higher than the known one of their scope, ordered by scope.
// A scope that is not in known counts as version 0.
func (s State) NewerThan(known []ScopeVersion) []Object {
	versions := make(map[string]uint64, len(known))
	for _, v := range known {
		versions[v.Scope] = v.Version
	}
	var newer []Object
	for _, o := range s.Objects() {
		if o.Version > versions[o.Scope] {
			newer = append(newer, o)
		}
	}
	return newer
}

// Versions returns the version of each scope.
func (s State) Versions() []ScopeVersion {
	objects := s.Objects()
	versions := make([]ScopeVersion, len(objects))
	for i, o := range objects {
		versions[i] = ScopeVersion{
			Scope:   o.Scope,
			Version: o.Version,
		}
	}
	return versions
}

// Fleet returns the configuration that applies to all collections, or the default while there is none.
func (s State) Fleet() Fleet {
	if o, ok := s.objects[FleetScope]; ok && o.Fleet != nil {
		return *o.Fleet
	}
	return DefaultFleet()
}

// Collection returns the collection with the given name; ok is false when there is none.
func (s State) Collection(name string) (c Collection, ok bool) {
	o, ok := s.objects[CollectionScope(name)]
	if !ok || o.Collection == nil {
		return Collection{}, false
	}
	return *o.Collection, true
}

// Collections returns all collections ordered by name.
func (s State) Collections() []Collection {
	var all []Collection
	for _, o := range s.Objects() {
		if o.Collection != nil {
			all = append(all, *o.Collection)
		}
	}
	return all
}

// Index returns the index of a collection; ok is false when it is not known.
func (s State) Index(collection string) (ix index.Index, ok bool) {
	o, ok := s.objects[IndexScope(collection)]
	if !ok || o.Index == nil {
		return index.Index{}, false
	}
	return *o.Index, true
}

// computeDigest hashes each scope with the low 32 bits of its version.
func (s State) computeDigest() uint64 {
	d := xxhash.New()
	for _, v := range s.Versions() {
		_, _ = d.WriteString(v.Scope)
		_, _ = d.Write([]byte{0, byte(v.Version), byte(v.Version >> 8), byte(v.Version >> 16), byte(v.Version >> 24)})
	}
	return d.Sum64()
}

// ScopeVersion is the version of one scope.
type ScopeVersion struct {
	Scope   string
	Version uint64
}
