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
	// maxBatch bounds the operations of one update.
	maxBatch = 512
	// minCommitInterval is the least time between two updates of a partition.
	minCommitInterval = 10 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 500 * time.Millisecond
	// retryDelay is the wait between attempts to reach a store that does not answer.
	retryDelay = 50 * time.Millisecond
	// conflictDelay is the wait before the object is read again after another writer came first.
	conflictDelay = 5 * time.Millisecond
	// failFastAfter is the time of failing calls after which new requests are refused at once.
	failFastAfter = 300 * time.Millisecond
)

// partition commits the operations of one partition object in groups.
type partition struct {
	key     string
	store   object.Store
	journal *trace.Journal
	queue   chan operation
	// failingSince is the time in Unix nanoseconds since when the store fails, or 0.
	failingSince atomic.Int64

	// The rest belongs to the task in run.
	loaded    bool
	content   content
	version   uint64
	size      int
	lastWrite time.Time
	// backlog holds settlements of attempts that nobody will send.
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

func (p *partition) finish(ctx context.Context, e Entry) error {
	op := &finishOp{
		entry: e,
		done:  make(chan struct{}),
	}
	select {
	case p.queue <- op:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "settle request %q", e.Key)
	}
	select {
	case <-op.done:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "settle request %q", e.Key)
	}
}

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

// collect waits for an operation and takes all others that are there.
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

// commit stores a batch by conditional updates until its fate is known, and returns attempts that nobody will send.
// Each update starts from the content of the version that it names, so an update whose reply was lost and
// that took effect shows its own attempts when the content is read again.
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

// invalidateIfInProgress makes the next batch read the object again while it has requests in progress,
// since another host may have settled them.
func (p *partition) invalidateIfInProgress() {
	for _, e := range p.content.Entries {
		if e.State == Sent {
			p.loaded = false
			return
		}
	}
}

// load reads the object; it reports false when the store did not answer usably.
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

func (p *partition) setContent(c content, version uint64, size int) {
	p.loaded, p.content, p.version, p.size = true, c, version, size
	p.recordRecovery()
}

// put stores the next content; after a failure the present content is not known.
// After a conflict a read of the expected version is stale, so the least acceptable version rises.
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

func (p *partition) recordFailure(ctx context.Context, err error) {
	if p.failingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		p.journal.Record("ledger", p.key, "store failing", err.Error())
	}
	_ = timer.Sleep(ctx, retryDelay)
}

func (p *partition) recordRecovery() {
	if p.failingSince.Swap(0) != 0 {
		p.journal.Record("ledger", p.key, "store answers again", "a call succeeded")
	}
}
