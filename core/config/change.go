package config

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Change is one change of the configuration.
// Its cases are TakeOut, BringIn, SetKind, SetBudget and PutCollection.
type Change interface {
	// Scope returns the scope that the change concerns.
	Scope() string
}

// TakeOut takes a place out of service.
type TakeOut struct {
	Place Place
	// Force permits a change after which a collection has no data centre in service.
	Force bool
}

// BringIn returns a place to service.
type BringIn struct {
	Place Place
}

// SetKind sets one field of a kind.
type SetKind struct {
	Collection string
	Kind       string
	Field      KindField
	// Deadline and Number hold the value, as the field needs.
	Deadline time.Duration
	Number   float64
}

// KindField names a field of a kind that can be set alone.
type KindField string

// The fields that SetKind sets.
const (
	DeadlineField    KindField = "deadline"
	MinCoverageField KindField = "min_coverage"
	PriorityField    KindField = "priority"
	MaxHitsField     KindField = "max_hits"
)

// SetBudget sets one budget.
type SetBudget struct {
	Budget string
	Share  float64
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

// apply returns the object with the change made, and texts of what was there before and after.
func apply(o Object, c Change, state State) (next Object, before, after string, err error) {
	switch c := c.(type) {
	case TakeOut:
		return applyTakeOut(o, c, state)
	case BringIn:
		fleet := o.Fleet.WithInService(c.Place)
		return withFleet(o, fleet), outText(*o.Fleet, c.Place), outText(fleet, c.Place), nil
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
	if name, left := state.collectionWithoutService(fleet); left && !c.Force {
		return Object{}, "", "", errors.Errorf("collection %q would have no backend server in service; add force to do it all the same", name)
	}
	return withFleet(o, fleet), outText(*o.Fleet, c.Place), outText(fleet, c.Place), nil
}

func applySetKind(o Object, c SetKind) (Object, string, string, error) {
	if o.Collection == nil {
		return Object{}, "", "", errors.Errorf("collection %q does not exist", c.Collection)
	}
	old, ok := o.Collection.Kind(c.Kind)
	if !ok {
		return Object{}, "", "", errors.Errorf("kind %q does not exist in collection %q", c.Kind, c.Collection)
	}
	kind, err := old.with(c)
	if err != nil {
		return Object{}, "", "", err
	}
	whole := o.Collection.WithKind(kind)
	o.Collection = &whole
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
	whole := c.Collection
	o.Collection = &whole
	return o, before, whole.summary(), nil
}

func withFleet(o Object, f Fleet) Object {
	o.Fleet = &f
	return o
}

func outText(f Fleet, p Place) string {
	if f.IsOutOfService(p) {
		return fmt.Sprintf("%s %s out", p.Type, p.Name)
	}
	return fmt.Sprintf("%s %s in", p.Type, p.Name)
}

func (c Collection) summary() string {
	return fmt.Sprintf("%d services, %d kinds", len(c.Services), len(c.Kinds))
}

func (k Kind) with(c SetKind) (Kind, error) {
	switch c.Field {
	case DeadlineField:
		k.Deadline = c.Deadline
		return k, inRange(c, k.Deadline >= 10*time.Millisecond && k.Deadline <= time.Minute, "10ms to 60s")
	case MinCoverageField:
		k.MinCoverage = c.Number
		return k, inRange(c, c.Number >= 0 && c.Number <= 1, "0 to 1")
	case PriorityField:
		k.Priority = int(c.Number)
		return k, inRange(c, c.Number >= 0 && c.Number <= 9, "0 to 9")
	case MaxHitsField:
		k.MaxHits = int(c.Number)
		return k, inRange(c, c.Number >= 1 && c.Number <= 10000, "1 to 10000")
	default:
		return Kind{}, errors.Errorf("field %q of kind %q is not known; known: deadline, min_coverage, priority, max_hits", c.Field, c.Kind)
	}
}

func inRange(c SetKind, ok bool, permitted string) error {
	if ok {
		return nil
	}
	return errors.Errorf("kind %q: %s is out of range; permitted: %s", c.Kind, c.Field, permitted)
}
