package magnoliaworks

import (
	"context"

	"magnoliaworks/core/syncer"
)

// configStore returns the store that is watched for changes of collections. Without StoreAddress, as on the users' platform,
// there is none.
func (h *Host) configStore() syncer.Store {
	if h.settings.StoreAddress == "" {
		return noStore{}
	}
	return h.store
}

// noStore is a store without changes: Watch blocks until its context ends.
type noStore struct{}

// Watch implements syncer.Store.
func (noStore) Watch(ctx context.Context, _ uint64) ([]syncer.StoredObject, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
