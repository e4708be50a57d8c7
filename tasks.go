package magnoliaworks

import (
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// tasks runs what outlives a caller's wait and counts it for the shutdown.
type tasks struct {
	group  errgroup.Group
	inside atomic.Int64
}

// Go implements gather.Tasks.
func (t *tasks) Go(task func() error) {
	t.inside.Add(1)
	t.group.Go(func() error {
		defer t.inside.Add(-1)
		return task()
	})
}

// running returns the number of tasks that have not ended.
func (t *tasks) running() int { return int(t.inside.Load()) }
