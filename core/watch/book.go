package watch

import "time"

// tombstoneTime is the time for which a removed object is remembered, so that an older reply does not bring it back.
const tombstoneTime = 10 * time.Minute

// book holds the newest known content of each object, in the order in which it became known.
type book struct {
	entries [kinds]map[string]entry
	// sequence numbers the changes of the book.
	sequence uint64
	// revisions are the store's revisions up to which each kind is known.
	revisions [kinds]uint64
}

type entry struct {
	object   Object
	sequence uint64
	at       time.Time
}

func newBook() book {
	var b book
	for k := range b.entries {
		b.entries[k] = make(map[string]entry)
	}
	return b
}

// newer reports whether an object is newer than what is known of it.
func (b *book) newer(kind Kind, o Object) bool {
	known, ok := b.entries[kind][o.Name]
	return !ok || o.Revision > known.object.Revision
}

// record takes in an object.
func (b *book) record(kind Kind, o Object) {
	b.sequence++
	b.entries[kind][o.Name] = entry{
		object:   o,
		sequence: b.sequence,
		at:       time.Now(),
	}
}

// absent returns, as removals at a revision, the objects that a whole list of that revision lacks.
func (b *book) absent(kind Kind, list []Object, revision uint64) []Object {
	present := make(map[string]bool, len(list))
	for _, o := range list {
		present[o.Name] = true
	}
	var gone []Object
	for name, e := range b.entries[kind] {
		if present[name] || e.object.Deleted || e.object.Revision > revision {
			continue
		}
		gone = append(gone, Object{
			Name:     name,
			Revision: revision,
			Deleted:  true,
		})
	}
	return gone
}

// since returns what became known after a sequence number; all that exists for 0.
func (b *book) since(sequence uint64) [kinds][]Object {
	var news [kinds][]Object
	for kind := range b.entries {
		for _, e := range b.entries[kind] {
			if e.sequence > sequence && (sequence > 0 || !e.object.Deleted) {
				news[kind] = append(news[kind], e.object)
			}
		}
	}
	return news
}

// forget drops removed objects that nobody asks about any more.
func (b *book) forget(now time.Time) {
	for kind := range b.entries {
		for name, e := range b.entries[kind] {
			if e.object.Deleted && now.Sub(e.at) > tombstoneTime {
				delete(b.entries[kind], name)
			}
		}
	}
}
