package magnoliaworks

import (
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// tasks runs work that may go on after its request has been answered, and counts it so that the shutdown waits for it.
type tasks struct {
	group      errgroup.Group
	inProgress atomic.Int64
}

// Go implements gather.Tasks.
func (t *tasks) Go(task func() error) {
	t.inProgress.Add(1)
	t.group.Go(func() error {
		defer t.inProgress.Add(-1)
		return task()
	})
}

// running returns the number of tasks that have not ended.
func (t *tasks) running() int { return int(t.inProgress.Load()) }
