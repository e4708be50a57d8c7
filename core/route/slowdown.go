package route

import (
	"math"
	"time"
)

const (
	// slowdownHalfLife is the age at which a stated slowdown counts half: it changes many times a second.
	slowdownHalfLife = 200 * time.Millisecond
	// slowdownValidity is the age from which it counts no more.
	slowdownValidity = time.Second
	// slowdownWeight is the weight of one figure in the usual slowdown of a server.
	slowdownWeight = 0.2
)

// slowdown is what a server states of how long work takes for it at the moment, by which its latencies are corrected.
type slowdown struct {
	// latest is the latest figure, as of at; usual is the smoothed figure, which the smoothed latencies contain. Both are 0 while unknown.
	latest float64
	usual  float64
	at     time.Time
}

// with returns the slowdown after a reply that stated a figure; 0 stands for none.
func (s slowdown) with(figure float64, now time.Time) slowdown {
	if figure <= 0 {
		return s
	}
	if s.usual == 0 {
		s.usual = figure
	}
	s.usual += slowdownWeight * (figure - s.usual)
	s.latest, s.at = figure, now
	return s
}

// factor returns the factor of the latency to expect now over the smoothed one. It approaches 1 as the latest figure ages.
//
// It answers servers whose processors serve others too: for some hundred milliseconds, work takes a multiple of the usual time on one.
func (s slowdown) factor(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.usual == 0 || age > slowdownValidity {
		return 1
	}
	weight := math.Exp2(-float64(age) / float64(slowdownHalfLife))
	return math.Pow(s.latest/s.usual, weight)
}
