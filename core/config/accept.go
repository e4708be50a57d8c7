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

// acceptRetryDelay is the wait between attempts to learn whether a change is stored.
const acceptRetryDelay = 50 * time.Millisecond

// Proposal is a change that an operator asks for, with the details that the audit trail records.
type Proposal struct {
	// ID identifies the change in the audit trail.
	ID       string
	Operator string
	// From names where the command came from, such as its network address.
	From string
	// Command is the text of the command.
	Command string
	Reason  string
	Change  Change
}

// Outcome is the result of Accept. Its cases are Accepted, Refused and Unknown.
type Outcome interface {
	outcome()
}

// Accepted reports that the change is stored and will be in force on every host.
type Accepted struct {
	// Object is the stored object that contains the change.
	Object Object
}

// Refused reports that the change is not stored and will not be.
type Refused struct {
	Reason string
}

// Unknown reports that the store did not confirm in time whether the change is stored.
type Unknown struct {
	Reason string
}

func (Accepted) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}

// Accept stores a change by one conditional update and returns its outcome. The change is made to the version in state if the store's is
// older. Only a TakeOut is checked against state.
// When the store's reply is lost, Accept repeats the update and reads the object back until ctx ends.
func Accept(ctx context.Context, store object.Store, state State, p Proposal) Outcome {
	key := Key(p.Change.Scope())
	stored, storeVersion, err := readObject(ctx, store, key, p.Change.Scope())
	if err != nil {
		return Refused{
			Reason: fmt.Sprintf("not stored: %v", err),
		}
	}
	if inForce, ok := state.Object(p.Change.Scope()); ok && inForce.Version > stored.Version {
		// The store has returned from an older copy, or the read was stale and the update will be a conflict.
		stored = inForce
	}
	next, err := p.nextObject(stored, state)
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
		return refuseConflict(ctx, store, key, storeVersion, p)
	default:
		return resolveLostReply(ctx, store, key, next, storeVersion, p)
	}
}

// nextObject returns the stored object with the change applied and its audit entry added.
func (p Proposal) nextObject(stored Object, state State) (Object, error) {
	next, before, after, err := apply(stored, p.Change, state)
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
	return next.withEntry(entry, time.Now().UTC()), nil
}

// Preview returns texts of the changed value before and after c, based on state. It stores nothing.
func Preview(state State, c Change) (before, after string, err error) {
	stored, ok := state.Object(c.Scope())
	if !ok {
		stored = initialObject(c.Scope())
	}
	_, before, after, err = apply(stored, c, state)
	return before, after, err
}

// readObject reads the object of a scope and its version in the store; an absent object has version 0.
func readObject(ctx context.Context, store object.Store, key, scope string) (Object, uint64, error) {
	stored, err := store.Get(ctx, key)
	if errors.Is(err, object.ErrAbsent) {
		return initialObject(scope), 0, nil
	}
	if err != nil {
		return Object{}, 0, errors.Wrapf(err, "read %s", key)
	}
	o, err := Decode(key, stored.Value)
	return o, stored.Version, err
}

// refuseConflict returns the refusal of a change that lost against another one, and names that one if it can be read.
func refuseConflict(ctx context.Context, store object.Store, key string, storeVersion uint64, p Proposal) Outcome {
	o, version, err := readObject(ctx, store, key, p.Change.Scope())
	if err != nil || version <= storeVersion {
		return Refused{
			Reason: "another change came first",
		}
	}
	return refuseByLastChange(o)
}

// refuseByLastChange returns a refusal that names the last change of the object as the one that was stored first.
func refuseByLastChange(o Object) Outcome {
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

// resolveLostReply repeats an update whose reply was lost. On a conflict it reads the object back, because the conflict may
// stem from an earlier attempt. All attempts expect the same store version, so at most one of them takes effect.
func resolveLostReply(ctx context.Context, store object.Store, key string, next Object, storeVersion uint64, p Proposal) Outcome {
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
		_ = timer.Sleep(ctx, acceptRetryDelay)
	}
	return Unknown{
		Reason: "the store did not answer; look for change " + p.ID + " in the audit trail",
	}
}

// readBack looks for the proposal in the trail of the stored object. It returns nil when the read fails or is stale: after a
// conflict the store holds a later version than storeVersion, so a read of that version or an older one proves nothing.
func readBack(ctx context.Context, store object.Store, key string, storeVersion uint64, p Proposal) Outcome {
	o, version, err := readObject(ctx, store, key, p.Change.Scope())
	if err != nil || version <= storeVersion {
		return nil
	}
	if _, found := o.Trail.Find(p.ID); found {
		return Accepted{
			Object: o,
		}
	}
	return refuseByLastChange(o)
}
