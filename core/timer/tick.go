package timer

import "time"

// Tick is one wake-up.
type Tick struct {
	At time.Time
	// Late is the time between the moment the tick was due and the moment it was sent.
	// A large value means that the process was paused.
	Late time.Duration
}
