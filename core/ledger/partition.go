package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/object"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

const (
	// maxBatch is the largest number of operations in one update.
	maxBatch = 512
	// minCommitInterval is the shortest time between two updates of a partition.
	minCommitInterval = 10 * time.Millisecond
	// storeTimeout is the timeout of one call to the store.
	storeTimeout = 500 * time.Millisecond
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 50 * time.Millisecond
	// conflictDelay is the delay before the object is read again after a concurrent update by another writer.
	conflictDelay = 5 * time.Millisecond
	// failFastAfter is the time for which calls have to fail before new requests are refused at once.
	failFastAfter = 300 * time.Millisecond
)

// partition commits operations on one partition object in batches.
type partition struct {
	key     string
	store   object.Store
	journal *trace.Journal
	queue   chan operation
	// failingSince is the time of the first failed call since the last successful one in Unix nanoseconds, or 0.
	failingSince atomic.Int64

	// The fields below are used only by the goroutine of run.

	// loaded is set while content is believed to be the stored value at version.
	loaded  bool
	content content
	// version is the lowest version that a read may return; while loaded is set it is the version of content.
	version uint64
	// size is the encoded size of content in bytes.
	size      int
	lastWrite time.Time
	// backlog holds, for the next batch, the operations that close abandoned attempts as NotRun.
	backlog []operation
}

func newPartition(key string, store object.Store, journal *trace.Journal) *partition {
	return &partition{
		key:     key,
		store:   store,
		journal: journal,
		queue:   make(chan operation, maxBatch),
	}
}

// begin queues a beginOp and waits for its result. It refuses at once while the store has been failing for failFastAfter.
func (p *partition) begin(ctx context.Context, e Entry) BeginResult {
	if since := p.failingSince.Load(); since != 0 && time.Since(time.Unix(0, since)) > failFastAfter {
		return Refused{
			Reason: "the store does not answer",
		}
	}
	op := &beginOp{
		entry:  e,
		result: make(chan BeginResult, 1),
	}
	select {
	case p.queue <- op:
	case <-ctx.Done():
		return Refused{
			Reason: "deadline passed before the request was recorded",
		}
	}
	select {
	case b := <-op.result:
		return b
	case <-ctx.Done():
	}
	return op.abandon()
}

// finish queues a finishOp and waits until it is completed or ctx ends.
func (p *partition) finish(ctx context.Context, e Entry) error {
	op := &finishOp{
		entry: e,
		done:  make(chan struct{}),
	}
	select {
	case p.queue <- op:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "record outcome of request %q", e.IdempotencyKey)
	}
	select {
	case <-op.done:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "record outcome of request %q", e.IdempotencyKey)
	}
}

// run commits batches until ctx ends, and closes abandoned attempts as NotRun.
func (p *partition) run(ctx context.Context) error {
	for {
		batch, ok := p.collect(ctx)
		if !ok {
			return nil
		}
		for _, entry := range p.commit(ctx, batch) {
			p.backlog = append(p.backlog, &finishOp{
				entry: entry.WithOutcome(NotRun, 0, nil, "the store confirmed the record too late"),
				done:  make(chan struct{}),
			})
		}
	}
}

// collect waits until there is an operation and minCommitInterval has passed since the last write.
// It returns the backlog and all operations queued by then, at most maxBatch, or false if ctx ends before there is one.
func (p *partition) collect(ctx context.Context) ([]operation, bool) {
	batch := p.backlog
	p.backlog = nil
	if len(batch) == 0 {
		select {
		case op := <-p.queue:
			batch = append(batch, op)
		case <-ctx.Done():
			return nil, false
		}
	}
	if wait := minCommitInterval - time.Since(p.lastWrite); wait > 0 {
		_ = timer.Sleep(ctx, wait)
	}
	for len(batch) < maxBatch {
		select {
		case op := <-p.queue:
			batch = append(batch, op)
		default:
			return batch, true
		}
	}
	return batch, true
}

// commit repeats conditional updates until every operation of the batch is completed or ctx ends.
// It returns the entries of abandoned attempts that were stored.
// Each update is conditional on the version of the content from which it was computed. If an update took effect
// although its reply was lost, its attempts are therefore found in the content when the object is read again.
func (p *partition) commit(ctx context.Context, batch []operation) (abandoned []Entry) {
	for len(batch) > 0 && ctx.Err() == nil {
		if !p.loaded && !p.load(ctx) {
			continue
		}
		next := p.content.clone(time.Now())
		batch = apply(next, batch, p.size, time.Now())
		if len(batch) == 0 {
			p.invalidateIfInProgress()
			return nil
		}
		if p.put(ctx, next) {
			return complete(batch)
		}
	}
	return nil
}

// invalidateIfInProgress makes the next batch read the object again if it contains requests in progress,
// since another host may have recorded their outcomes.
func (p *partition) invalidateIfInProgress() {
	for _, e := range p.content.Entries {
		if e.State == Sent {
			p.loaded = false
			return
		}
	}
}

// load reads the object. It reports false if the call failed or returned an older version or an invalid value.
func (p *partition) load(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := p.store.Get(callCtx, p.key)
	if errors.Is(err, object.ErrAbsent) && p.version == 0 {
		p.setContent(newContent(), 0, 0)
		return true
	}
	if err == nil && stored.Version < p.version {
		err = errors.Errorf("stale read: version %d after %d", stored.Version, p.version)
	}
	var c content
	if err == nil {
		c, err = decodeContent(p.key, stored.Value)
	}
	if err != nil {
		p.recordFailure(ctx, err)
		return false
	}
	p.setContent(c, stored.Version, len(stored.Value))
	return true
}

// setContent sets the stored content after a successful call.
func (p *partition) setContent(c content, version uint64, size int) {
	p.loaded, p.content, p.version, p.size = true, c, version, size
	p.recordRecovery()
}

// put stores next and reports whether that succeeded. After a failure the stored content is not known.
// After a conflict a read of the expected version is stale, so the lowest acceptable version increases by one.
func (p *partition) put(ctx context.Context, next content) bool {
	value, err := next.encode()
	if err != nil {
		p.recordFailure(ctx, err)
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := p.store.Put(callCtx, p.key, value, p.version)
	p.lastWrite = time.Now()
	if err == nil {
		p.setContent(next, version, len(value))
		return true
	}
	p.loaded = false
	if errors.Is(err, object.ErrConflict) {
		p.version++
		_ = timer.Sleep(ctx, conflictDelay)
		return false
	}
	p.recordFailure(ctx, err)
	return false
}

// recordFailure notes the start of a failure period in the journal and waits for retryDelay.
func (p *partition) recordFailure(ctx context.Context, err error) {
	if p.failingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		p.journal.Record("ledger", p.key, "store failing", err.Error())
	}
	_ = timer.Sleep(ctx, retryDelay)
}

// recordRecovery notes the end of a failure period in the journal.
func (p *partition) recordRecovery() {
	if p.failingSince.Swap(0) != 0 {
		p.journal.Record("ledger", p.key, "store answers again", "a call succeeded")
	}
}
