package config

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/audit"
	"magnoliaworks/core/object"
	"magnoliaworks/core/timer"
)

// acceptPause is the wait between attempts to learn the fate of a change.
const acceptPause = 50 * time.Millisecond

// Proposal is a change with what the audit trail records of it.
type Proposal struct {
	ID       string
	Operator string
	From     string
	Command  string
	Reason   string
	Change   Change
}

// Outcome is the fate of a proposal. Its cases are Accepted, Refused and Unknown.
type Outcome interface {
	outcome()
}

// Accepted tells that the change is stored and will be in force everywhere.
type Accepted struct {
	Object Object
}

// Refused tells that the change is not stored and will not be.
type Refused struct {
	Reason string
}

// Unknown tells that the store did not say whether the change took effect.
type Unknown struct {
	Reason string
}

func (Accepted) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}

// Accept stores a change by one conditional update and returns its fate.
// A lost reply is resolved by reading back until ctx ends. state serves to check the names in the change.
func Accept(ctx context.Context, store object.Store, state State, p Proposal) Outcome {
	key := Key(p.Change.Scope())
	present, storeVersion, err := read(ctx, store, key, p.Change.Scope())
	if err != nil {
		return Refused{
			Reason: fmt.Sprintf("not stored: %v", err),
		}
	}
	next, err := p.applied(present, state)
	if err != nil {
		return Refused{
			Reason: err.Error(),
		}
	}
	_, err = store.Put(ctx, key, next.Encode(), storeVersion)
	switch {
	case err == nil:
		return Accepted{
			Object: next,
		}
	case errors.Is(err, object.ErrConflict):
		return refusedByRace(ctx, store, key, storeVersion, p)
	default:
		return resolve(ctx, store, key, next, storeVersion, p)
	}
}

// applied returns the object that the proposal leads to, with its audit entry.
func (p Proposal) applied(present Object, state State) (Object, error) {
	next, before, after, err := apply(present, p.Change, state)
	if err != nil {
		return Object{}, err
	}
	entry := audit.Entry{
		ChangeID: p.ID,
		Operator: p.Operator,
		From:     p.From,
		Command:  p.Command,
		Before:   before,
		After:    after,
		Reason:   p.Reason,
	}
	return next.with(entry, time.Now().UTC()), nil
}

// Preview returns the texts of what a change would replace and put in its place.
func Preview(state State, c Change) (before, after string, err error) {
	present, ok := state.Object(c.Scope())
	if !ok {
		present = empty(c.Scope())
	}
	_, before, after, err = apply(present, c, state)
	return before, after, err
}

func read(ctx context.Context, store object.Store, key, scope string) (Object, uint64, error) {
	stored, err := store.Get(ctx, key)
	if errors.Is(err, object.ErrAbsent) {
		return empty(scope), 0, nil
	}
	if err != nil {
		return Object{}, 0, errors.Wrapf(err, "read %s", key)
	}
	o, err := Decode(key, stored.Value)
	return o, stored.Version, err
}

func refusedByRace(ctx context.Context, store object.Store, key string, storeVersion uint64, p Proposal) Outcome {
	o, version, err := read(ctx, store, key, p.Change.Scope())
	if err != nil || version <= storeVersion {
		return Refused{
			Reason: "another change came first",
		}
	}
	return refusedBy(o)
}

// refusedBy names the last change of the object as the one that came first.
func refusedBy(o Object) Outcome {
	if len(o.Trail) == 0 {
		return Refused{
			Reason: "another change came first",
		}
	}
	last := o.Trail[len(o.Trail)-1]
	return Refused{
		Reason: fmt.Sprintf("change %s of %s (%s) came first", last.ChangeID, last.Operator, last.Command),
	}
}

// resolve reads back what became of an update whose reply was lost, and repeats the update while it had no effect.
// The repeated update names the same store version, so at most one of them takes effect.
func resolve(ctx context.Context, store object.Store, key string, next Object, storeVersion uint64, p Proposal) Outcome {
	for ctx.Err() == nil {
		_, err := store.Put(ctx, key, next.Encode(), storeVersion)
		if err == nil {
			return Accepted{
				Object: next,
			}
		}
		if errors.Is(err, object.ErrConflict) {
			if v := readBack(ctx, store, key, storeVersion, p); v != nil {
				return v
			}
		}
		_ = timer.Sleep(ctx, acceptPause)
	}
	return Unknown{
		Reason: "the store did not answer; look for change " + p.ID + " in the audit trail",
	}
}

// readBack looks for the proposal in the trail of the stored object; it returns nil while the store gives no usable answer.
// A read older than the version that the update expected, or that version itself, tells nothing after a conflict.
func readBack(ctx context.Context, store object.Store, key string, storeVersion uint64, p Proposal) Outcome {
	o, version, err := read(ctx, store, key, p.Change.Scope())
	if err != nil || version <= storeVersion {
		return nil
	}
	if _, ours := o.Trail.Find(p.ID); ours {
		return Accepted{
			Object: o,
		}
	}
	return refusedBy(o)
}
