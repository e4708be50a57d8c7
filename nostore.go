package magnoliaworks

import (
	"context"

	"magnoliaworks/core/syncer"
)

// watchable returns the store that collections are watched in; hosts on the users' platform have none.
func (h *Host) watchable() syncer.Watchable {
	if h.settings.StoreAddress == "" {
		return noStore{}
	}
	return h.store
}

// noStore never tells of a change.
type noStore struct{}

// Changes implements syncer.Watchable.
func (noStore) Changes(ctx context.Context, _ uint64) ([]syncer.Stored, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
