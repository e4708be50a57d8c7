package magnoliaworks

import (
	"context"

	"magnoliaworks/core/syncer"
)

// configStore returns the store that collections are watched in; hosts on the users' platform have none.
func (h *Host) configStore() syncer.Store {
	if h.settings.StoreAddress == "" {
		return noStore{}
	}
	return h.store
}

// noStore never tells of a change.
type noStore struct{}

// Watch implements syncer.Store.
func (noStore) Watch(ctx context.Context, _ uint64) ([]syncer.StoredObject, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
