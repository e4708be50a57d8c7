package shed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAdmissionFollowsOverload records failed searches and the time without any.
func TestAdmissionFollowsOverload(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name string
		// failures is the number of failed searches, gap the time between two, and calm the time since the last.
		failures  int
		gap, calm time.Duration
		// answers is the number of searches that are answered then.
		answers int
		least   float64
		most    float64
	}{
		{name: "no failure", least: 1, most: 1},
		{name: "one failure", failures: 1, least: decreaseFactor, most: decreaseFactor},
		{name: "failures of one moment count once", failures: 20, gap: time.Millisecond, least: decreaseFactor, most: decreaseFactor + 0.01},
		{name: "lasting overload", failures: 50, gap: decreasePeriod, least: minShare, most: 0.2},
		{name: "recovered by time", failures: 50, gap: decreasePeriod, calm: 10 * time.Second, least: 1, most: 1},
		{name: "recovered by answers", failures: 50, gap: decreasePeriod, answers: 10, least: 1, most: 1},
	}
	for _, c := range cases {
		Convey("The share of admitted searches is within its bounds: "+c.name, t, func() {
			a, at := &Admission{}, now
			for range c.failures {
				a.Overloaded(at)
				at = at.Add(c.gap)
			}
			if c.failures > 0 {
				at = at.Add(c.calm - c.gap)
			}
			for range c.answers {
				a.Answered(at)
			}
			share := a.Share(at)
			So(share, ShouldBeGreaterThanOrEqualTo, c.least)
			So(share, ShouldBeLessThanOrEqualTo, c.most)
		})
	}
}

// TestRetryAfterIsSpreadAndGrows checks the advised delays for some shares of admitted searches.
func TestRetryAfterIsSpreadAndGrows(t *testing.T) {
	const least = 100 * time.Millisecond
	Convey("The delay is at least the least one, spread, longer while fewer searches are started, and bounded", t, func() {
		So(RetryAfter(least, 1, 0), ShouldEqual, least)
		So(RetryAfter(least, 1, 1), ShouldBeGreaterThan, RetryAfter(least, 1, 0))
		So(RetryAfter(least, 0.3, 0.5), ShouldBeGreaterThan, RetryAfter(least, 1, 0.5))
		So(RetryAfter(least, 0, 1), ShouldBeLessThanOrEqualTo, maxRetryAfter)
	})
}

// TestQuietRetryAfterFollowsTheServers checks the advised delays while servers accept no calls, and the shards that are needed.
func TestQuietRetryAfterFollowsTheServers(t *testing.T) {
	Convey("Callers return when servers accept calls again, not before and not much later", t, func() {
		So(QuietRetryAfter(time.Second, 0), ShouldEqual, time.Second)
		So(QuietRetryAfter(time.Second, 1), ShouldEqual, 1250*time.Millisecond)
		So(QuietRetryAfter(time.Minute, 1), ShouldEqual, time.Minute+maxQuietRetrySpread)
	})
	Convey("The least number of shards reaches the coverage", t, func() {
		So(NeededShards(4, 0.75), ShouldEqual, 3)
		So(NeededShards(10, 0.89), ShouldEqual, 9)
		So(NeededShards(10, 1), ShouldEqual, 10)
		So(NeededShards(10, 0), ShouldEqual, 0)
	})
}

// TestStartRetryAfterFollowsTheStart checks the advised delays of a host that lacks its configuration.
func TestStartRetryAfterFollowsTheStart(t *testing.T) {
	cases := []struct {
		name        string
		sinceStart  time.Duration
		least, most time.Duration
	}{
		{name: "just started", least: usualStart, most: usualStart + minStartRetryAfter},
		{name: "nearly ready", sinceStart: usualStart - time.Millisecond, least: minStartRetryAfter, most: 2 * minStartRetryAfter},
		{name: "the store is away", sinceStart: 5 * time.Second, least: unreadyRetryAfter, most: unreadyRetryAfter},
	}
	for _, c := range cases {
		Convey("Callers are to return when the host is likely to serve: "+c.name, t, func() {
			for _, random := range []float64{0, 0.5, 1} {
				delay := StartRetryAfter(c.sinceStart, random)
				So(delay, ShouldBeGreaterThanOrEqualTo, c.least)
				So(delay, ShouldBeLessThanOrEqualTo, c.most)
			}
		})
	}
}

// TestHopeless checks at which number of lost shards a search ends.
func TestHopeless(t *testing.T) {
	cases := []struct {
		shards, lost int
		minCoverage  float64
		want         bool
	}{
		{shards: 42, lost: 2, minCoverage: 0.95, want: false},
		{shards: 42, lost: 3, minCoverage: 0.95, want: true},
		{shards: 10, lost: 1, minCoverage: 0.89, want: false},
		{shards: 10, lost: 2, minCoverage: 0.89, want: true},
		{shards: 4, lost: 1, minCoverage: 1, want: true},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("It ends once too few shards are left: %d of %d lost, %.2f needed", c.lost, c.shards, c.minCoverage), t, func() {
			So(Hopeless(c.shards, c.lost, c.minCoverage), ShouldEqual, c.want)
		})
	}
}

// replayed is a load pattern on one shard set in virtual time: searches arrive at random at hosts that know only their own
// calls, each calls one server of every shard, and the servers have slots and a bounded queue.
type replayed struct {
	hosts, shards int
	// rate is the number of searches a second, service the mean time of a call, slots and queue those of a server.
	rate         float64
	service      time.Duration
	slots, queue int
	// lone is the number of shards with one server; the others have three.
	lone        int
	minCoverage float64
	// burst is the time after which the rate falls by burstFactor, and length that of the whole replay.
	burst  time.Duration
	length time.Duration
}

// burstFactor is the factor by which a burst exceeds the usual rate.
const burstFactor = 1.7

// outcome counts the searches of a replay.
type outcome struct{ arrived, answered, refused int }

// play plays the pattern and returns its outcome. With admission each host bounds its searches by an Admission.
func (p replayed) play(admission bool) outcome {
	random := rand.New(rand.NewPCG(7, 7))
	type slot struct{ freeAt time.Time }
	servers := make([][][]slot, p.shards)
	for i := range servers {
		servers[i] = make([][]slot, 3)
		if i < p.lone {
			servers[i] = servers[i][:1]
		}
		for s := range servers[i] {
			servers[i][s] = make([]slot, p.slots)
		}
	}
	admissions := make([]Admission, p.hosts)
	start := time.Unix(1_000_000, 0)
	now, result := start, outcome{}
	for now.Sub(start) < p.length {
		rate := p.rate
		if now.Sub(start) > p.burst {
			rate /= burstFactor
		}
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		host := &admissions[random.IntN(p.hosts)]
		result.arrived++
		if admission && random.Float64() >= host.Share(now) {
			result.refused++
			continue
		}
		lost := 0
		for i := range servers {
			server := servers[i][random.IntN(len(servers[i]))]
			first := 0
			for n := range server {
				if server[n].freeAt.Before(server[first].freeAt) {
					first = n
				}
			}
			waiting := int(server[first].freeAt.Sub(now) * time.Duration(p.slots) / p.service)
			if waiting > p.queue {
				lost++
				continue
			}
			if server[first].freeAt.Before(now) {
				server[first].freeAt = now
			}
			took := time.Duration(random.ExpFloat64() * float64(p.service))
			server[first].freeAt = server[first].freeAt.Add(took)
		}
		if Hopeless(p.shards, lost, p.minCoverage) {
			host.Overloaded(now)
			continue
		}
		host.Answered(now)
		result.answered++
	}
	return result
}

// TestAdmissionCompletesSearches replays a burst on shard sets of which some shards have one server left. A lone server can do
// the given part of what it is offered, and so at best that part of the searches can be complete. Without admission each lone
// shard rejects other searches, and the more of them there are, the fewer searches have all they need.
func TestAdmissionCompletesSearches(t *testing.T) {
	const service = 28 * time.Millisecond
	cases := []struct {
		name    string
		pattern replayed
		// reached is the least part of the possible that has to be reached; gain is the least factor over no admission.
		reached, gain float64
	}{
		{name: "few hosts, lasting overload", pattern: replayed{hosts: 6, shards: 10, lone: 4, rate: 150, minCoverage: 0.89, burst: 10 * time.Second}, reached: 2.0 / 3, gain: 1},
		{name: "many lone shards", pattern: replayed{hosts: 9, shards: 36, lone: 12, rate: 180, minCoverage: 0.95, burst: 10 * time.Second}, reached: 2.0 / 3, gain: 2},
		{name: "64 hosts, burst of three seconds", pattern: replayed{hosts: 64, shards: 36, lone: 12, rate: 180, minCoverage: 0.95, burst: 3 * time.Second}, reached: 2.0 / 3, gain: 1.2},
		{name: "195 hosts, burst of three seconds", pattern: replayed{hosts: 195, shards: 42, lone: 12, rate: 188, minCoverage: 0.95, burst: 3 * time.Second}, reached: 2.0 / 3, gain: 1},
		{name: "no overload", pattern: replayed{hosts: 6, shards: 10, lone: 4, rate: 80, minCoverage: 0.89, burst: 10 * time.Second}, reached: 1, gain: 1},
	}
	for _, c := range cases {
		c.pattern.service, c.pattern.slots, c.pattern.queue, c.pattern.length = service, 3, 18, 10*time.Second
		Convey("More searches are complete with admission, and most of those that the lone servers can do: "+c.name, t, func() {
			without, with := c.pattern.play(false), c.pattern.play(true)
			So(with.part(), ShouldBeGreaterThanOrEqualTo, c.gain*without.part())
			So(with.part(), ShouldBeGreaterThanOrEqualTo, c.reached*c.pattern.possible())
		})
	}
}

// part returns the part of the searches that were answered.
func (o outcome) part() float64 { return float64(o.answered) / float64(o.arrived) }

// possible returns the part of the searches that the lone servers have the capacity for, over the whole replay.
func (p replayed) possible() float64 {
	capacity := float64(p.slots) / p.service.Seconds()
	usual := p.rate / burstFactor
	during, after := p.burst.Seconds(), (p.length - p.burst).Seconds()
	done := min(capacity, p.rate)*during + min(capacity, usual)*after
	return done / (p.rate*during + usual*after)
}
