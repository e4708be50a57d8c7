package shed

import (
	"slices"
	"sync"
	"time"
)

const (
	// usualWay is the time that connections between caller and host take, where it is not known.
	usualWay = 8 * time.Millisecond
	// answerShare is the part of the latency objective that is set aside for what no host can measure, as the time that a request has
	// waited to be read.
	answerShare = 0.05
	// delaySamples is the number of latest observations that a Delay knows, minDelaySamples the number from which they count, and
	// delayQuantile the part of them that was no longer than the expected one.
	delaySamples    = 32
	minDelaySamples = 8
	delayQuantile   = 0.9
)

// PartialAfter returns the time, since the caller began to wait, at which a search is answered with the shards that it has. Way is the
// time of the caller's wait that passes outside this host, 0 if unknown, and delay the time that this host takes to notice that an
// answer is due, to write it and to put it on its link.
//
// It answers searches of which some shards are always late, as with servers that pause: an answer with the others has to leave early
// enough for the objective. A caller that connects for its request waits two round trips, and a host with a small part of a
// processor writes late.
func PartialAfter(objective, way, delay time.Duration) time.Duration {
	if way == 0 {
		way = usualWay
	}
	margin := way + delay + time.Duration(answerShare*float64(objective))
	return max(objective-margin, objective/2)
}

// Delay is how late this host recently was with some step, as it may be with a small part of a processor. It is safe for concurrent
// use.
type Delay struct {
	mu sync.Mutex
	// samples holds the latest observations, and next counts all of them.
	samples [delaySamples]time.Duration
	next    int
}

// Observe records that the step ended the given time after it was due.
func (d *Delay) Observe(late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples[d.next%delaySamples] = late
	d.next++
}

// Expected returns the delay that nine of ten observations keep; 0 while there are too few. One stall, as by a garbage collection, does
// not raise it.
func (d *Delay) Expected() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(d.next, delaySamples)
	if n < minDelaySamples {
		return 0
	}
	known := d.samples
	slices.Sort(known[:n])
	return known[int(delayQuantile*float64(n-1))]
}

// TransmitTime returns the time that a number of bytes takes on a link with a bandwidth in 10^6 bits per second; 0 if that is unknown.
func TransmitTime(bytes int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(8*bytes) / linkMbps * float64(time.Microsecond))
}
