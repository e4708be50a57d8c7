package ledger

import (
	"context"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/object"
	"magnoliaworks/core/trace"
)

// Ledger reads and writes the partitions of the ledger from one host.
type Ledger struct {
	partitions []*partition
}

// New returns a ledger that keeps its partitions in store and records failures of the store in journal.
func New(store object.Store, journal *trace.Journal) *Ledger {
	l := &Ledger{
		partitions: make([]*partition, PartitionCount),
	}
	for i := range l.partitions {
		l.partitions[i] = newPartition(PartitionKey(i), store, journal)
	}
	return l
}

// Run commits queued operations until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range l.partitions {
		group.Go(func() error { return p.run(ctx) })
	}
	return group.Wait()
}

// Begin records that the entry's attempt is about to send its request.
// If ctx ends before the store has confirmed the record, the result is Refused;
// a record that is confirmed after that is closed as NotRun.
func (l *Ledger) Begin(ctx context.Context, e Entry) BeginResult {
	return l.partitionOf(e).begin(ctx, e)
}

// Finish records the outcome of an attempt. The error is that of ctx, which bounds only the wait:
// a queued outcome is still recorded, however long the store takes.
func (l *Ledger) Finish(ctx context.Context, e Entry) error {
	return l.partitionOf(e).finish(ctx, e)
}

func (l *Ledger) partitionOf(e Entry) *partition { return l.partitions[PartitionOf(e.ID())] }
