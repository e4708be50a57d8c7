// Package index describes the published snapshots of a collection and chooses the one that a search uses.
package index

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Index lists the published snapshots of one collection, oldest first.
type Index struct {
	Collection string     `json:"collection"`
	Snapshots  []Snapshot `json:"snapshots"`
}

// Snapshot is one version of a collection's search index, with its shards.
type Snapshot struct {
	Version uint64  `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Shard is one shard of a snapshot and the service whose replicas hold it.
type Shard struct {
	ID      string `json:"id"`
	Service string `json:"service"`
}

// Decode parses an index from the JSON of the store's object.
// It returns an error if the versions of the snapshots do not ascend or a snapshot has no shards.
func Decode(value []byte) (Index, error) {
	var ix Index
	if err := json.Unmarshal(value, &ix); err != nil {
		return Index{}, errors.Wrap(err, "decode index")
	}
	last := uint64(0)
	for _, s := range ix.Snapshots {
		if s.Version <= last {
			return Index{}, errors.Errorf("index of %q: snapshot %d follows %d, but versions must ascend", ix.Collection, s.Version, last)
		}
		if len(s.Shards) == 0 {
			return Index{}, errors.Errorf("index of %q: snapshot %d has no shards", ix.Collection, s.Version)
		}
		last = s.Version
	}
	return ix, nil
}

// Encode returns the index as the JSON of the store's object.
func (ix Index) Encode() []byte {
	value, err := json.Marshal(ix)
	if err != nil {
		panic(errors.Wrap(err, "encode index"))
	}
	return value
}

// With returns the index with s appended, reduced to the newest keep snapshots.
func (ix Index) With(s Snapshot, keep int) Index {
	all := append(append([]Snapshot{}, ix.Snapshots...), s)
	ix.Snapshots = all[max(0, len(all)-keep):]
	return ix
}

// Newest returns the newest snapshot; ok is false for an empty index.
func (ix Index) Newest() (s Snapshot, ok bool) {
	if len(ix.Snapshots) == 0 {
		return Snapshot{}, false
	}
	return ix.Snapshots[len(ix.Snapshots)-1], true
}
