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

func (c Changes) stored() []syncer.Stored {
	stored := make([]syncer.Stored, len(c.Objects))
	for i, o := range c.Objects {
		stored[i] = syncer.Stored{
			Key:   o.Key,
			Value: o.Value,
		}
	}
	return stored
}
