package site

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCheckCatchesUntrueAnswers plants one untruth after the other in an answer.
func TestCheckCatchesUntrueAnswers(t *testing.T) {
	record := NewExecutionLog()
	s := &Site{
		ExecutionLog: record,
		sets:         [][]string{{"a", "b"}},
	}
	low, high := []byte("0000000000000001"), []byte("0000000000000002")
	a := record.sign("a-0", Reply{Request: "r", Service: "a", Status: 200, Body: low})
	b := record.sign("b-0", Reply{Request: "r", Service: "b", Status: 200, Body: high})
	twin := record.sign("a-1", Reply{Request: "r", Service: "a", Status: 200, Body: low})
	other := record.sign("a-0", Reply{Request: "q", Service: "a", Status: 200, Body: low})
	failed := record.sign("b-1", Reply{Request: "r", Service: "b", Status: 500, Body: high})
	whole := string(high) + string(low)
	record.run("ran", "a")
	cases := []struct {
		name   string
		id     string
		answer Answer
		top    int
		true   bool
	}{
		{name: "true", id: "r", answer: Answer{Status: 200, Signatures: []string{a, b}, Body: []byte(whole)}, top: 2, true: true},
		{name: "true with one missing", id: "r", answer: Answer{Status: 200, MissingShards: 1, Signatures: []string{b}, Body: high}, top: 2, true: true},
		{name: "wrong order", id: "r", answer: Answer{Status: 200, Signatures: []string{a, b}, Body: []byte(string(low) + string(high))}, top: 2},
		{name: "record left out", id: "r", answer: Answer{Status: 200, Signatures: []string{a, b}, Body: high}, top: 2},
		{name: "one service twice", id: "r", answer: Answer{Status: 200, Signatures: []string{a, twin}, Body: []byte(string(low) + string(low))}, top: 2},
		{name: "missing not told", id: "r", answer: Answer{Status: 200, Signatures: []string{b}, Body: high}, top: 2},
		{name: "part of another request", id: "r", answer: Answer{Status: 200, MissingShards: 1, Signatures: []string{other}, Body: low}, top: 2},
		{name: "failure as a part", id: "r", answer: Answer{Status: 200, MissingShards: 1, Signatures: []string{failed}, Body: high}, top: 2},
		{name: "forged proof", id: "r", answer: Answer{Status: 200, MissingShards: 1, Signatures: []string{"x"}, Body: high}, top: 2},
		{name: "reply passed on", id: "r", answer: Answer{Status: 200, Signatures: []string{a}, Body: low}, true: true},
		{name: "reply changed", id: "r", answer: Answer{Status: 200, Signatures: []string{a}, Body: high}},
		{name: "reply without a proof", id: "r", answer: Answer{Status: 200, Body: low}},
		{name: "refused and not run", id: "r-2", answer: Answer{Status: 503}, true: true},
		{name: "refused and run", id: "ran", answer: Answer{Status: 503}},
	}
	for _, c := range cases {
		Convey("An answer is judged: "+c.name, t, func() {
			err := s.Check(Request{ID: c.id}, c.answer, c.top)
			So(err == nil, ShouldEqual, c.true)
		})
	}
}

// TestLateCountsFromTouch asks whether work is late after and during trouble.
func TestLateCountsFromTouch(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	Convey("Work is late a bound after the cause, and a bound after hosts are in touch again", t, func() {
		r := NewExecutionLog()
		So(r.late(time.Time{}, time.Second), ShouldBeFalse)
		So(r.late(long, time.Second), ShouldBeTrue)
		r.disturb(true)
		So(r.late(long, time.Second), ShouldBeFalse)
		r.disturb(false)
		So(r.late(long, time.Second), ShouldBeFalse)
	})
}
