package ledger

import (
	"sync/atomic"
	"time"
)

// operation is a change of one entry of a partition: *beginOp or *finishOp.
type operation interface {
	operation()
}

// beginOp records a new entry in state Sent.
type beginOp struct {
	entry  Entry
	result chan BeginResult
	// settled is set once: by resolve, or by abandon when the waiter's context ends first.
	settled atomic.Bool
}

// resolve sends the result to the waiter. It reports false if the waiter has abandoned the operation.
func (op *beginOp) resolve(b BeginResult) bool {
	if !op.settled.CompareAndSwap(false, true) {
		return false
	}
	op.result <- b
	return true
}

// abandon ends the wait. It returns the result if the operation is already resolved, and otherwise Refused.
func (op *beginOp) abandon() BeginResult {
	if !op.settled.CompareAndSwap(false, true) {
		return <-op.result
	}
	return Refused{
		Reason: "the store did not confirm the record in time",
	}
}

// finishOp records the outcome of an attempt; done is closed when the outcome is stored or need not be stored.
type finishOp struct {
	entry Entry
	done  chan struct{}
}

func (*beginOp) operation()  {}
func (*finishOp) operation() {}

// apply applies a batch to c and returns the operations that complete when c is stored.
// Operations that need no update are completed at once; abandoned ones that are not in c are dropped.
// size is the size of the stored content in bytes.
func apply(c content, batch []operation, size int, now time.Time) (pending []operation) {
	for _, op := range batch {
		switch op := op.(type) {
		case *beginOp:
			if applyBegin(c, op, size, now) {
				pending = append(pending, op)
			}
		case *finishOp:
			if applyFinish(c, op) {
				pending = append(pending, op)
			}
		}
	}
	return pending
}

// applyBegin adds the entry unless the key is in use or the partition is full, and reports whether op completes when c is stored.
// An entry of the same attempt comes from an earlier update that took effect although its reply was lost.
func applyBegin(c content, op *beginOp, size int, now time.Time) (pending bool) {
	if op.settled.Load() && c.Entries[op.entry.ID()].Attempt != op.entry.Attempt {
		return false
	}
	existing, found := c.Entries[op.entry.ID()]
	switch {
	case found && existing.Attempt == op.entry.Attempt:
		return true
	case found && existing.ContentHash != op.entry.ContentHash:
		op.resolve(KeyReused{})
		return false
	case found && existing.State != NotRun:
		op.resolve(Duplicate{
			Entry: existing,
		})
		return false
	case size > maxObjectSize:
		op.resolve(Refused{
			Reason: "ledger partition full",
		})
		return false
	}
	e := op.entry
	e.State = Sent
	e.SentAt = now.UTC()
	c.Entries[e.ID()] = e
	return true
}

// applyFinish replaces the attempt's entry by its outcome and reports whether op completes when c is stored.
// If the entry is missing, final or of another attempt, there is nothing to store.
func applyFinish(c content, op *finishOp) (pending bool) {
	existing, found := c.Entries[op.entry.ID()]
	if !found || existing.Attempt != op.entry.Attempt || existing.State != Sent {
		close(op.done)
		return false
	}
	e := op.entry
	e.SentAt = existing.SentAt
	c.Entries[e.ID()] = e
	return true
}

// complete completes the operations of a stored update and returns the entries of abandoned attempts, which nobody will send.
func complete(batch []operation) (abandoned []Entry) {
	for _, op := range batch {
		switch op := op.(type) {
		case *beginOp:
			if !op.resolve(Acquired{}) {
				abandoned = append(abandoned, op.entry)
			}
		case *finishOp:
			close(op.done)
		}
	}
	return abandoned
}
