package syncer

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/config"
	"magnoliaworks/core/member"
	"magnoliaworks/core/timer"
	"magnoliaworks/core/trace"
)

// scopesAtLog records how many scopes are in force whenever something is logged.
type scopesAtLog struct {
	current *config.Current
	seen    []int
}

func (s *scopesAtLog) Write(line []byte) (int, error) {
	s.seen = append(s.seen, len(s.current.State().Versions()))
	return len(line), nil
}

// TestReplyTakesEffectAsOneChange applies a reply with three scopes. A host that relied on the first alone would refuse
// requests for the other collections as invalid.
func TestReplyTakesEffectAsOneChange(t *testing.T) {
	log := &scopesAtLog{
		current: config.NewCurrent(),
	}
	journal := trace.NewJournal(hclog.New(&hclog.LoggerOptions{
		Output: log,
	}))
	s := New(log.current, member.NewTable(member.Member{}), nil, nil, timer.New(), journal)
	s.apply("the store", []config.Object{{Scope: "a", Version: 1}, {Scope: "b", Version: 1}, {Scope: "c", Version: 2}})
	s.apply("the store", []config.Object{{Scope: "a", Version: 1}, {Scope: "b", Version: 2}})
	Convey("All scopes are in force when the first is reported, and each new version is reported once", t, func() {
		So(log.seen, ShouldResemble, []int{3, 3, 3, 3})
	})
}
