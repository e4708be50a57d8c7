package site

// Calls returns the number of calls by type: list, stale (a list with stale_ok), watch, check (a watch that doesn't wait) and write.
func (o *ObjectStore) Calls() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counted := make(map[string]int, len(o.calls))
	for name, n := range o.calls {
		counted[name] = n
	}
	return counted
}

// Watchers returns the IDs of the hosts that have watched the store.
func (o *ObjectStore) Watchers() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := make(map[string]bool, len(o.watchers))
	for id := range o.watchers {
		found[id] = true
	}
	return found
}

// Checkers returns the IDs of the hosts that have made watches that don't wait, and forgets them.
func (o *ObjectStore) Checkers() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := o.checkers
	o.checkers = make(map[string]bool)
	return found
}
