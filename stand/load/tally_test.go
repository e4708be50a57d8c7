package load

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/config"
	"magnoliaworks/core/deploy"
	"magnoliaworks/io/caller"
	"magnoliaworks/stand"
)

// TestTallyCountsViolations violates one guarantee at a time and checks that the tally counts exactly that one.
func TestTallyCountsViolations(t *testing.T) {
	cases := []struct {
		name    string
		violate func(p *tallyFixture)
		want    Violations
	}{
		{name: "none", violate: func(p *tallyFixture) { p.answer(p.correctAnswer()) }, want: Violations{}},
		{name: "hit of another snapshot", violate: func(p *tallyFixture) {
			a := p.correctAnswer()
			a.Hits[0].ID = "7/chart-desk-00/0"
			p.answer(a)
		}, want: Violations{SnapshotMixed: 1}},
		{name: "shard without a complete run", violate: func(p *tallyFixture) {
			a := p.correctAnswer()
			a.RequestID = "never-ran"
			p.answer(a)
		}, want: Violations{CoverageFalse: 1}},
		{name: "total that differs from the shard map", violate: func(p *tallyFixture) {
			a := p.correctAnswer()
			a.Coverage.Total = 9
			p.answer(a)
		}, want: Violations{CoverageFalse: 1}},
		{name: "hit of another request", violate: func(p *tallyFixture) {
			a := p.correctAnswer()
			a.Hits[0].Title = "another text"
			p.answer(a)
		}, want: Violations{CrossedAnswers: 1}},
		{name: "run that was refused as not run", violate: func(p *tallyFixture) {
			p.run("r", "", 0)
			p.tally.recordResponse(p.search, searchText, "", response{status: 503, refusal: "not_run", requestID: "r", host: p.host})
		}, want: Violations{NotRunButRun: 1}},
		{name: "order run twice", violate: func(p *tallyFixture) {
			p.run("o-1", "load/k", 0)
			p.run("o-2", "load/k", 0)
		}, want: Violations{RunTwice: 1}},
		{name: "order answered but never run", violate: func(p *tallyFixture) {
			p.tally.recordResponse(p.order, "k", "k", response{status: statusOK, host: p.host})
		}, want: Violations{Lost: 1}},
		{name: "connection cut by a leaving host", violate: func(p *tallyFixture) {
			p.host.leaving = true
			p.tally.recordResponse(p.search, searchText, "", response{err: errors.New("EOF"), host: p.host})
		}, want: Violations{CutByShutdown: 1}},
		{name: "configuration version that decreases", violate: func(p *tallyFixture) {
			p.tally.recordVersions(p.host, []config.ScopeVersion{{Scope: "fleet", Version: 3}})
			p.tally.recordVersions(p.host, []config.ScopeVersion{{Scope: "fleet", Version: 2}})
		}, want: Violations{ConfigReverted: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newTallyFixture(t)
			c.violate(p)
			got := p.tally.report().Violations
			Convey("Exactly that guarantee counts as violated", t, func() {
				So(got, ShouldResemble, c.want)
				So(got.Any(), ShouldEqual, c.want != Violations{})
			})
		})
	}
}

const searchText = "q"

// tallyFixture is a tally without a fleet; tests write the record of the stand-ins themselves.
type tallyFixture struct {
	tally  *tally
	host   *member
	search arrival
	order  arrival
}

func newTallyFixture(t *testing.T) *tallyFixture {
	t.Helper()
	p, err := deploy.Embedded("valparaiso")
	if err != nil {
		t.Fatal(err)
	}
	platform, err := stand.NewPlatform(p, stand.NewMemory(p.Delays), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Stop)
	return &tallyFixture{
		tally:  newTally(platform),
		host:   &member{},
		search: arrival{collection: "chart-desk", kind: p.Collections[0].Kinds[0]},
		order:  arrival{collection: "print-queue", kind: p.Collections[1].Kinds[0]},
	}
}

// run records a complete run of a request on a shard.
func (p *tallyFixture) run(requestID, key string, shard int) {
	record := p.tally.platform.ExecutionLog
	record.End(requestID, record.Begin(requestID, key, stand.Run{
		Shard:    deploy.ServiceName("chart-desk", shard),
		Snapshot: 1,
		At:       time.Now(),
	}))
}

// correctAnswer records one run for each shard and returns the answer that agrees with them.
func (p *tallyFixture) correctAnswer() caller.AnswerBody {
	for shard := range 10 {
		p.run("r", "", shard)
	}
	return caller.AnswerBody{
		RequestID: "r",
		Snapshot:  1,
		Coverage:  caller.CoverageBody{Answered: 10, Total: 10},
		Hits:      []caller.HitBody{{ID: "1/chart-desk-00/0", Title: searchText}},
	}
}

func (p *tallyFixture) answer(a caller.AnswerBody) {
	p.tally.recordResponse(p.search, searchText, "", response{status: statusOK, answer: a, requestID: a.RequestID, host: p.host})
}
