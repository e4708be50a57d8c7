package store

import "magnoliaworks/core/syncer"

// Changes are the objects that a watch returns.
type Changes struct {
	Revision uint64   `json:"revision"`
	Objects  []Change `json:"objects"`
}

// Change is one changed object.
type Change struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func (c Changes) stored() []syncer.StoredObject {
	stored := make([]syncer.StoredObject, len(c.Objects))
	for i, o := range c.Objects {
		stored[i] = syncer.StoredObject{
			Key:   o.Key,
			Value: o.Value,
		}
	}
	return stored
}
