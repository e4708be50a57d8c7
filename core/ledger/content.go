package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// contentFormat is the version of the JSON format of a partition object.
	contentFormat = 1
	// maxObjectSize is the size in bytes above which a partition refuses new requests. The store refuses objects of 1 MB.
	maxObjectSize = 900 << 10
	// retention is the time after sending for which an outcome is kept.
	retention = 10 * time.Minute
	// PartitionCount is the number of partition objects. All hosts must use the same number,
	// because the partition of an entry depends on it.
	PartitionCount = 4
)

// content is the decoded value of one partition object; Entries are keyed by Entry.ID.
type content struct {
	Format  int              `json:"format"`
	Entries map[string]Entry `json:"entries"`
}

// PartitionOf returns the number of the partition, from 0 to PartitionCount-1, that holds the entry with the given ID.
func PartitionOf(id string) int { return int(xxhash.Sum64String(id) % PartitionCount) }

// PartitionKey returns the key of a partition's object in the store.
func PartitionKey(partition int) string { return fmt.Sprintf("ledger/%02d", partition) }

func newContent() content {
	return content{
		Format:  contentFormat,
		Entries: make(map[string]Entry),
	}
}

func decodeContent(key string, value []byte) (content, error) {
	var c content
	if err := json.Unmarshal(value, &c); err != nil {
		return content{}, errors.Wrapf(err, "decode ledger object %q", key)
	}
	if c.Format != contentFormat || c.Entries == nil {
		return content{}, errors.Errorf("ledger object %q has format %d, want %d", key, c.Format, contentFormat)
	}
	return c, nil
}

func (c content) encode() ([]byte, error) {
	value, err := json.Marshal(c)
	return value, errors.Wrap(err, "encode ledger object")
}

// clone returns a copy without the outcomes of requests that were sent longer than retention before now.
func (c content) clone(now time.Time) content {
	next := content{
		Format:  c.Format,
		Entries: maps.Clone(c.Entries),
	}
	for id, e := range next.Entries {
		if e.State != Sent && now.Sub(e.SentAt) > retention {
			delete(next.Entries, id)
		}
	}
	return next
}
