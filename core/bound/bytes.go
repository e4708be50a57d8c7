// Package bound decides how many bytes and connections a host holds for clients outside of its control, and which connection ends
// when there are too many. It does no I/O.
package bound

import "sync/atomic"

const (
	// largeShare is the share of all bytes that large amounts may take; the rest is left to connections and small requests.
	largeShare = 0.75
	// LargeAnswer is the length in bytes from which the body of an answer is counted before it is read.
	LargeAnswer = 32 << 10
)

// Bytes counts the bytes that are held for clients against a limit. It is safe for concurrent use.
type Bytes struct {
	limit int64
	large int64
	held  atomic.Int64
}

// NewBytes returns a count of nothing with the limit.
func NewBytes(limit int) *Bytes {
	return &Bytes{
		limit: int64(limit),
		large: int64(largeShare * float64(limit)),
	}
}

// Take takes n bytes and reports whether they were left.
func (b *Bytes) Take(n int) bool { return b.takeWithin(int64(n), b.limit) }

// TakeLarge takes n bytes unless that would leave too few for connections and small requests.
func (b *Bytes) TakeLarge(n int) bool { return b.takeWithin(int64(n), b.large) }

// Add takes n bytes that are held already, whether they are left or not.
func (b *Bytes) Add(n int) { b.held.Add(int64(n)) }

// Give returns n bytes that were taken or added.
func (b *Bytes) Give(n int) { b.held.Add(-int64(n)) }

// Short reports whether large amounts are refused soon: more than half of what they may take is held.
func (b *Bytes) Short() bool { return 2*b.held.Load() > b.large }

// Held returns the bytes that are held.
func (b *Bytes) Held() int { return int(b.held.Load()) }

func (b *Bytes) takeWithin(n, limit int64) bool {
	if b.held.Add(n) <= limit {
		return true
	}
	b.held.Add(-n)
	return false
}
