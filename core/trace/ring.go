package trace

// ring keeps the latest items, at most size of them.
type ring[T any] struct {
	items []T
	// next is the index of the oldest item once the ring is full.
	next int
	size int
}

func newRing[T any](size int) ring[T] {
	return ring[T]{
		size: size,
	}
}

func (r *ring[T]) add(item T) {
	if len(r.items) < r.size {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % r.size
}

// all returns the items, oldest first.
func (r *ring[T]) all() []T {
	return append(append([]T{}, r.items[r.next:]...), r.items[:r.next]...)
}
