package timer

import "time"

// Tick is one tick of a subscription. At is the time at which it was sent.
type Tick struct {
	At time.Time
	// Late is the time by which the tick was sent after it was due.
	// A large value means that the process was paused.
	Late time.Duration
}
