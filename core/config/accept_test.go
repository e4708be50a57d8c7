package config

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/object"
)

// step is what the store does with one call.
type step int

const (
	works step = iota
	// losesReply makes a write take effect without a reply.
	losesReply
	// losesCall makes a call fail without an effect.
	losesCall
	// races lets another operator's change in before the call.
	races
	// stale returns the object before the last write.
	stale
)

// scripted is a store that follows a script, call by call, and then works.
type scripted struct {
	steps   []step
	present object.Object
	before  object.Object
	writes  int
}

func (s *scripted) next() step {
	if len(s.steps) == 0 {
		return works
	}
	now := s.steps[0]
	s.steps = s.steps[1:]
	return now
}

// Get implements object.Store.
func (s *scripted) Get(context.Context, string) (object.Object, error) {
	o := s.present
	switch s.next() {
	case losesCall:
		return object.Object{}, errors.New("timeout")
	case stale:
		o = s.before
	}
	if o.Version == 0 {
		return object.Object{}, object.ErrAbsent
	}
	return o, nil
}

// Put implements object.Store.
func (s *scripted) Put(_ context.Context, _ string, value []byte, have uint64) (uint64, error) {
	now := s.next()
	if now == losesCall {
		return 0, errors.New("timeout")
	}
	if now == races {
		s.raceIn()
	}
	if have != s.present.Version {
		return 0, object.ErrConflict
	}
	s.write(value)
	if now == losesReply {
		return 0, errors.New("timeout")
	}
	return s.present.Version, nil
}

func (s *scripted) write(value []byte) {
	s.before = s.present
	s.present.Version += 10
	s.present.Value = value
	s.writes++
}

// raceIn stores another operator's change.
func (s *scripted) raceIn() {
	o := empty(FleetScope)
	if s.present.Version > 0 {
		o, _ = Decode(Key(FleetScope), s.present.Value)
	}
	other, err := Proposal{
		ID:       "other",
		Operator: "rival",
		Command:  "set budget retry 0.1",
		Change: SetBudget{
			Budget: "retry",
			Share:  0.1,
		},
	}.applied(o, State{})
	if err != nil {
		panic(err)
	}
	s.write(other.Encode())
}

func TestAcceptTellsTheTruth(t *testing.T) {
	forever := make([]step, 1000)
	for i := range forever {
		forever[i] = losesCall
	}
	cases := []struct {
		name  string
		steps []step
		want  Outcome
		inIt  bool
	}{
		{name: "all works", want: Accepted{}, inIt: true},
		{name: "reply lost after the effect", steps: []step{works, losesReply}, want: Accepted{}, inIt: true},
		{name: "call lost before the effect", steps: []step{works, losesCall}, want: Accepted{}, inIt: true},
		{name: "reply lost, then a stale read", steps: []step{works, losesReply, works, stale}, want: Accepted{}, inIt: true},
		{name: "reply lost, then a rival over it", steps: []step{works, losesReply, races}, want: Accepted{}, inIt: true},
		{name: "rival first", steps: []step{works, races}, want: Refused{}},
		{name: "call lost, then a rival", steps: []step{works, losesCall, races}, want: Refused{}},
		{name: "store away before the read", steps: []step{losesCall}, want: Refused{}},
		{name: "store away after the update", steps: append([]step{works, losesReply}, forever...), want: Unknown{}, inIt: true},
		{name: "store away with the update", steps: append([]step{works}, forever...), want: Unknown{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{
					steps: c.steps,
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				got := Accept(ctx, s, State{}, Proposal{
					ID:       "mine",
					Operator: "me",
					Change: SetBudget{
						Budget: "hedge",
						Share:  0.01,
					},
				})
				Convey("The outcome says whether the change is stored", t, func() {
					So(got, ShouldHaveSameTypeAs, c.want)
					So(s.holds("mine"), ShouldEqual, c.inIt)
				})
			})
		})
	}
}

func (s *scripted) holds(change string) bool {
	if s.present.Version == 0 {
		return false
	}
	o, err := Decode(Key(FleetScope), s.present.Value)
	if err != nil {
		return false
	}
	_, found := o.Trail.Find(change)
	return found
}

func TestCurrentNeverReverts(t *testing.T) {
	cases := []struct {
		name    string
		offered []uint64
		want    uint64
	}{
		{name: "rising", offered: []uint64{1, 2, 3}, want: 3},
		{name: "stale after new", offered: []uint64{3, 2, 1}, want: 3},
		{name: "same again", offered: []uint64{2, 2}, want: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewCurrent()
			for _, v := range c.offered {
				o := empty(FleetScope)
				o.Version = v
				r.Merge(o)
			}
			Convey("The highest version is in force", t, func() {
				So(r.State().Version(FleetScope), ShouldEqual, c.want)
			})
		})
	}
}

func TestChangesThatAreRefused(t *testing.T) {
	state, _ := State{}.With(NewCollectionObject(Collection{
		Name: "c",
		Services: []Service{{Name: "s", Replicas: []Replica{
			{ID: "s/0", DataCentre: "a"},
			{ID: "s/1", DataCentre: "b"},
		}}},
		Kinds: []Kind{{Name: "k"}},
	}))
	half := DefaultFleet().WithOutOfService(Place{Type: DataCentrePlace, Name: "a"})
	cases := []struct {
		name   string
		fleet  Fleet
		change Change
		want   string
	}{
		{name: "unknown data centre", fleet: DefaultFleet(), change: TakeOut{Place: Place{Type: DataCentrePlace, Name: "x"}}, want: `data_centre "x" is not known`},
		{name: "last data centre", fleet: half, change: TakeOut{Place: Place{Type: DataCentrePlace, Name: "b"}}, want: `collection "c" would have no backend server`},
		{name: "last data centre by force", fleet: half, change: TakeOut{Place: Place{Type: DataCentrePlace, Name: "b"}, Force: true}},
		{name: "first data centre", fleet: DefaultFleet(), change: TakeOut{Place: Place{Type: DataCentrePlace, Name: "a"}}},
		{name: "unknown budget", fleet: DefaultFleet(), change: SetBudget{Budget: "x", Share: 0.1}, want: `budget "x" does not exist`},
		{name: "budget out of range", fleet: DefaultFleet(), change: SetBudget{Budget: "hedge", Share: 2}, want: "permitted: 0 to 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := empty(FleetScope)
			o.Fleet = &c.fleet
			_, _, _, err := apply(o, c.change, state)
			Convey("The error names the thing that is wrong", t, func() {
				if c.want == "" {
					So(err, ShouldBeNil)
					return
				}
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, c.want)
			})
		})
	}
}
