package gather

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/config"
	"magnoliaworks/core/limit"
	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/route"
	"magnoliaworks/core/trace"
)

// scriptedForwarder returns one error after the other.
type scriptedForwarder struct{ errs []error }

func (f *scriptedForwarder) Forward(context.Context, member.Member, query.Request) (query.Answer, error) {
	err := f.errs[0]
	f.errs = f.errs[1:]
	return query.Answer{}, err
}

// TestRefusalAfterLostForward forwards a request to a host that does not answer, and then to one that refuses it. The caller
// must not be told that the request has not run, since the first host may have run it.
func TestRefusalAfterLostForward(t *testing.T) {
	refusal := query.NotRun{Reason: "the store is away"}
	cases := []struct {
		name string
		errs []error
		want error
	}{
		{name: "first host lost", errs: []error{errors.New("connection lost"), refusal}, want: query.OutcomeUnknown{}},
		{name: "first host not reached", errs: []error{ErrNotForwarded, refusal}, want: query.NotRun{}},
		{name: "first host refuses", errs: []error{refusal}, want: query.NotRun{}},
		{name: "first host lost, the request is wrong", errs: []error{errors.New("connection lost"), query.Invalid{}}, want: query.Invalid{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var err error
			synctest.Test(t, func(*testing.T) {
				hosts := member.NewTable(member.Member{ID: "self", State: member.Leaving})
				hosts.Merge(member.Member{ID: "a", State: member.Alive}, member.Member{ID: "b", State: member.Alive})
				routes := &route.CurrentTable{}
				routes.Store(route.NewTable(config.State{}, hosts.View(), hosts.Self()))
				g := New(Options{
					Self:      hosts.Self(),
					Routes:    routes,
					Forwarder: &scriptedForwarder{errs: c.errs},
				})
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err = g.runNonIdempotent(ctx, query.Request{}, config.Kind{})
			})
			Convey("The caller learns what is known", t, func() { So(err, ShouldHaveSameTypeAs, c.want) })
		})
	}
}

// TestCancelledAttemptsAreCountedOffOnce queues the result of a sub-request and then cancels it. The server must not seem
// idle while another sub-request is in progress on it.
func TestCancelledAttemptsAreCountedOffOnce(t *testing.T) {
	Convey("The server has the other sub-request in progress", t, func() {
		journal := trace.NewJournal(hclog.NewNullLogger())
		picker := route.NewPicker(route.PolicyFull, "east", limit.NewBudget(1, 1), journal)
		e := &execution{
			gatherer: New(Options{
				Picker: picker,
			}),
			shards:   make([]shardState, 1),
			attempts: []attempt{{server: "s", sentAt: time.Now(), cancel: func() {}}},
			recorder: &traceRecorder{},
		}
		picker.Started("s", "")
		picker.Started("s", "")
		e.cancelAttempt(0, false)
		e.handleCompletion(Completion{Token: 0, Result: query.Failed{}})
		So(picker.Outstanding("s"), ShouldEqual, 1)
	})
}
