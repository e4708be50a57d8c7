package config

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Change is one change of the configuration.
// Its cases are TakeOut, BringIn, SetKind, SetBudget and PutCollection.
type Change interface {
	// Scope returns the scope that the change applies to.
	Scope() string
}

// TakeOut takes a data centre, host or backend server out of service.
type TakeOut struct {
	Place Place
	// Force permits a change that leaves a service of a collection without a replica in service.
	Force bool
}

// BringIn returns a data centre, host or backend server to service.
type BringIn struct {
	Place Place
}

// SetKind sets one field of a kind.
type SetKind struct {
	Collection string
	Kind       string
	Field      KindField
	// Deadline holds the value of DeadlineField, Number that of the other fields.
	Deadline time.Duration
	Number   float64
}

// KindField names a field of a kind that SetKind can set.
type KindField string

// Values of KindField.
const (
	DeadlineField    KindField = "deadline"
	MinCoverageField KindField = "min_coverage"
	PriorityField    KindField = "priority"
	MaxHitsField     KindField = "max_hits"
)

// SetBudget sets one budget.
type SetBudget struct {
	// Budget is hedge, retry or cross.
	Budget string
	// Share is the new share, from 0 to 1.
	Share float64
}

// PutCollection creates or replaces a collection.
type PutCollection struct {
	Collection Collection
}

// Scope implements Change.
func (TakeOut) Scope() string { return FleetScope }

// Scope implements Change.
func (BringIn) Scope() string { return FleetScope }

// Scope implements Change.
func (c SetKind) Scope() string { return CollectionScope(c.Collection) }

// Scope implements Change.
func (SetBudget) Scope() string { return FleetScope }

// Scope implements Change.
func (c PutCollection) Scope() string { return CollectionScope(c.Collection.Name) }

// apply returns the object with the change applied, and texts of the changed value before and after for the audit trail.
func apply(o Object, c Change, state State) (next Object, before, after string, err error) {
	switch c := c.(type) {
	case TakeOut:
		return applyTakeOut(o, c, state)
	case BringIn:
		fleet := o.Fleet.WithInService(c.Place)
		return withFleet(o, fleet), placeState(*o.Fleet, c.Place), placeState(fleet, c.Place), nil
	case SetKind:
		return applySetKind(o, c)
	case SetBudget:
		return applySetBudget(o, c)
	case PutCollection:
		return applyPutCollection(o, c)
	default:
		return Object{}, "", "", errors.Errorf("change of type %T is not known", c)
	}
}

func applyTakeOut(o Object, c TakeOut, state State) (Object, string, string, error) {
	if err := state.checkPlace(c.Place); err != nil {
		return Object{}, "", "", err
	}
	fleet := o.Fleet.WithOutOfService(c.Place)
	if name, unserved := state.unservedCollection(fleet); unserved && !c.Force {
		return Object{}, "", "", errors.Errorf("collection %q would have a service without a backend server in service; add force to do it anyway", name)
	}
	return withFleet(o, fleet), placeState(*o.Fleet, c.Place), placeState(fleet, c.Place), nil
}

func applySetKind(o Object, c SetKind) (Object, string, string, error) {
	if o.Collection == nil {
		return Object{}, "", "", errors.Errorf("collection %q does not exist", c.Collection)
	}
	old, ok := o.Collection.Kind(c.Kind)
	if !ok {
		return Object{}, "", "", errors.Errorf("kind %q does not exist in collection %q", c.Kind, c.Collection)
	}
	kind, err := old.withField(c)
	if err != nil {
		return Object{}, "", "", err
	}
	collection := o.Collection.WithKind(kind)
	o.Collection = &collection
	return o, fmt.Sprintf("%+v", old), fmt.Sprintf("%+v", kind), nil
}

func applySetBudget(o Object, c SetBudget) (Object, string, string, error) {
	if c.Share < 0 || c.Share > 1 {
		return Object{}, "", "", errors.Errorf("budget %q: share %v is out of range; permitted: 0 to 1", c.Budget, c.Share)
	}
	budgets := o.Fleet.Budgets
	switch c.Budget {
	case "hedge":
		budgets.Hedge = c.Share
	case "retry":
		budgets.Retry = c.Share
	case "cross":
		budgets.Cross = c.Share
	default:
		return Object{}, "", "", errors.Errorf("budget %q does not exist; known: hedge, retry, cross", c.Budget)
	}
	before := fmt.Sprintf("%+v", o.Fleet.Budgets)
	return withFleet(o, o.Fleet.WithBudgets(budgets)), before, fmt.Sprintf("%+v", budgets), nil
}

func applyPutCollection(o Object, c PutCollection) (Object, string, string, error) {
	if err := c.Collection.Check(); err != nil {
		return Object{}, "", "", err
	}
	before := "none"
	if o.Collection != nil {
		before = o.Collection.summary()
	}
	collection := c.Collection
	o.Collection = &collection
	return o, before, collection.summary(), nil
}

func withFleet(o Object, f Fleet) Object {
	o.Fleet = &f
	return o
}

// placeState returns the text of whether the place is in service. The audit trail stores it, and explain compares it.
func placeState(f Fleet, p Place) string {
	if f.IsOutOfService(p) {
		return fmt.Sprintf("%s %s out", p.Type, p.Name)
	}
	return fmt.Sprintf("%s %s in", p.Type, p.Name)
}

func (c Collection) summary() string {
	return fmt.Sprintf("%d services, %d kinds", len(c.Services), len(c.Kinds))
}

// withField returns the kind with one field set, or an error when the value is out of the field's range.
func (k Kind) withField(c SetKind) (Kind, error) {
	switch c.Field {
	case DeadlineField:
		k.Deadline = c.Deadline
		return k, rangeError(c, k.Deadline >= 10*time.Millisecond && k.Deadline <= time.Minute, "10ms to 60s")
	case MinCoverageField:
		k.MinCoverage = c.Number
		return k, rangeError(c, c.Number >= 0 && c.Number <= 1, "0 to 1")
	case PriorityField:
		k.Priority = int(c.Number)
		return k, rangeError(c, c.Number >= 0 && c.Number <= 9, "0 to 9")
	case MaxHitsField:
		k.MaxHits = int(c.Number)
		return k, rangeError(c, c.Number >= 1 && c.Number <= 10000, "1 to 10000")
	default:
		return Kind{}, errors.Errorf("field %q of kind %q is not known; known: deadline, min_coverage, priority, max_hits", c.Field, c.Kind)
	}
}

func rangeError(c SetKind, ok bool, permitted string) error {
	if ok {
		return nil
	}
	return errors.Errorf("kind %q: %s is out of range; permitted: %s", c.Kind, c.Field, permitted)
}
