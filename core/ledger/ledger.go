package ledger

import (
	"context"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/object"
	"magnoliaworks/core/trace"
)

// Ledger writes the partitions of the ledger on one host.
type Ledger struct {
	partitions []*partition
}

// New returns a ledger that keeps its partitions in store.
func New(store object.Store, journal *trace.Journal) *Ledger {
	b := &Ledger{
		partitions: make([]*partition, PartitionCount),
	}
	for i := range b.partitions {
		b.partitions[i] = newPartition(PartitionKey(i), store, journal)
	}
	return b
}

// Run commits changes until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range l.partitions {
		group.Go(func() error { return p.run(ctx) })
	}
	return group.Wait()
}

// Begin records that the entry's attempt is about to send its request.
// When ctx ends before the fate of the update is known, the result is Refused and the attempt is closed as not run.
func (l *Ledger) Begin(ctx context.Context, e Entry) BeginResult {
	return l.partitionOf(e).begin(ctx, e)
}

// Finish records the outcome of an attempt, however long the store takes; ctx bounds only the wait for it.
func (l *Ledger) Finish(ctx context.Context, e Entry) error {
	return l.partitionOf(e).finish(ctx, e)
}

func (l *Ledger) partitionOf(e Entry) *partition { return l.partitions[PartitionOf(e.ID())] }
