package ledger

import (
	"sync/atomic"
	"time"
)

// operation is one change of a partition. Its cases are *beginning and *settlement.
type operation interface {
	operation()
}

// beginning records a new entry.
type beginning struct {
	entry  Entry
	answer chan BeginResult
	// ended is set once, by the answer or by the waiter that gives up.
	ended atomic.Bool
}

// reply answers the waiter and reports false when it has given up.
func (op *beginning) reply(b BeginResult) bool {
	if !op.ended.CompareAndSwap(false, true) {
		return false
	}
	op.answer <- b
	return true
}

// abandon gives up the wait and returns the answer if there already is one.
func (op *beginning) abandon() BeginResult {
	if !op.ended.CompareAndSwap(false, true) {
		return <-op.answer
	}
	return Refused{
		Reason: "the store did not confirm the record in time",
	}
}

// settlement records an outcome.
type settlement struct {
	entry Entry
	done  chan struct{}
}

func (*beginning) operation()  {}
func (*settlement) operation() {}

// apply makes the changes of a batch and returns those operations that need the update to be stored.
// Operations that the present content already answers are answered at once.
func apply(c content, batch []operation, size int, now time.Time) (pending []operation) {
	for _, op := range batch {
		switch op := op.(type) {
		case *beginning:
			if applyBeginning(c, op, size, now) {
				pending = append(pending, op)
			}
		case *settlement:
			if applySettlement(c, op) {
				pending = append(pending, op)
			}
		}
	}
	return pending
}

func applyBeginning(c content, op *beginning, size int, now time.Time) (pending bool) {
	if op.ended.Load() && c.Entries[op.entry.ID()].Attempt != op.entry.Attempt {
		return false
	}
	present, found := c.Entries[op.entry.ID()]
	switch {
	case found && present.Attempt == op.entry.Attempt:
		return true
	case found && present.ContentHash != op.entry.ContentHash:
		op.reply(KeyReused{})
		return false
	case found && present.State != NotRun:
		op.reply(Duplicate{
			Entry: present,
		})
		return false
	case size > maxObject:
		op.reply(Refused{
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

func applySettlement(c content, op *settlement) (pending bool) {
	present, found := c.Entries[op.entry.ID()]
	if !found || present.Attempt != op.entry.Attempt || present.State != Sent {
		close(op.done)
		return false
	}
	e := op.entry
	e.SentAt = present.SentAt
	c.Entries[e.ID()] = e
	return true
}

// committed answers the operations of a stored update and returns the attempts that nobody will send.
func committed(batch []operation) (orphans []Entry) {
	for _, op := range batch {
		switch op := op.(type) {
		case *beginning:
			if !op.reply(Acquired{}) {
				orphans = append(orphans, op.entry)
			}
		case *settlement:
			close(op.done)
		}
	}
	return orphans
}
