package audit

// Trail is a list of entries, oldest first.
type Trail []Entry

// With returns the trail with e appended, limited to the newest keep entries.
func (t Trail) With(e Entry, keep int) Trail {
	all := append(append(Trail{}, t...), e)
	return all[max(0, len(all)-keep):]
}

// Find returns the entry of a change; ok is false when the trail does not contain it.
func (t Trail) Find(changeID string) (e Entry, ok bool) {
	for _, entry := range t {
		if entry.ChangeID == changeID {
			return entry, true
		}
	}
	return Entry{}, false
}

// Select returns the entries that match the filter, oldest first.
func (t Trail) Select(f Filter) Trail {
	var found Trail
	for _, entry := range t {
		if f.matches(entry) {
			found = append(found, entry)
		}
	}
	return found
}
