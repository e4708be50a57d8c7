package ledger

import (
	"sync/atomic"
	"time"
)

// operation is one change of a partition. Its cases are *beginning and *settlement.
type operation interface {
	operation()
}

// beginOp records a new entry.
type beginOp struct {
	entry  Entry
	result chan BeginResult
	// resolved is set once, by the answer or by the waiter that gives up.
	resolved atomic.Bool
}

// resolve answers the waiter and reports false when it has given up.
func (op *beginOp) resolve(b BeginResult) bool {
	if !op.resolved.CompareAndSwap(false, true) {
		return false
	}
	op.result <- b
	return true
}

// abandon gives up the wait and returns the answer if there already is one.
func (op *beginOp) abandon() BeginResult {
	if !op.resolved.CompareAndSwap(false, true) {
		return <-op.result
	}
	return Refused{
		Reason: "the store did not confirm the record in time",
	}
}

// finishOp records an outcome.
type finishOp struct {
	entry Entry
	done  chan struct{}
}

func (*beginOp) operation()  {}
func (*finishOp) operation() {}

// apply makes the changes of a batch and returns those operations that need the update to be stored.
// Operations that the present content already answers are answered at once.
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

func applyBegin(c content, op *beginOp, size int, now time.Time) (pending bool) {
	if op.resolved.Load() && c.Entries[op.entry.ID()].Attempt != op.entry.Attempt {
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

// complete answers the operations of a stored update and returns the attempts that nobody will send.
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
