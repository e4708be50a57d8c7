package timer

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the context's error as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
		return nil
	}
}
