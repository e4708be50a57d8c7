package store

import "magnoliaworks/core/syncer"

// Changes is the response to a watch: the changed objects and the revision that they lead to.
type Changes struct {
	Revision uint64   `json:"revision"`
	Objects  []Change `json:"objects"`
}

// Change is one changed object; Value is base64 in JSON.
type Change struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// storedObjects returns the changed objects as the syncer reads them.
func (c Changes) storedObjects() []syncer.StoredObject {
	stored := make([]syncer.StoredObject, len(c.Objects))
	for i, o := range c.Objects {
		stored[i] = syncer.StoredObject{
			Key:   o.Key,
			Value: o.Value,
		}
	}
	return stored
}
