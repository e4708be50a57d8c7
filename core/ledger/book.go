package ledger

import (
	"context"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/object"
	"magnoliaworks/core/trace"
)

// Book writes the partitions of the ledger on one host.
type Book struct {
	partitions []*partition
}

// New returns a book that keeps its partitions in store.
func New(store object.Store, journal *trace.Journal) *Book {
	b := &Book{
		partitions: make([]*partition, Partitions),
	}
	for i := range b.partitions {
		b.partitions[i] = newPartition(Key(i), store, journal)
	}
	return b
}

// Run commits changes until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range b.partitions {
		group.Go(func() error { return p.run(ctx) })
	}
	return group.Wait()
}

// Begin records that the entry's attempt is about to send its request.
// When ctx ends before the fate of the update is known, the result is Refused and the attempt is closed as not run.
func (b *Book) Begin(ctx context.Context, e Entry) Begun {
	return b.of(e).begin(ctx, e)
}

// Settle records the outcome of an attempt, however long the store takes; ctx bounds only the wait for it.
func (b *Book) Settle(ctx context.Context, e Entry) error {
	return b.of(e).settle(ctx, e)
}

func (b *Book) of(e Entry) *partition { return b.partitions[Partition(e.ID())] }
