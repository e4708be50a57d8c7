package peer

import (
	"github.com/pkg/errors"

	"magnoliaworks/core/watch"
	"magnoliaworks/io/peer/frame"
)

// baseKinds is the number of object kinds that hosts of every version know. Such hosts accept lists of this length only, so that the
// kinds after them stand in fields of their own, which are empty unless the deployment uses them.
const baseKinds = 3

// revisionsOf decodes a revision for each kind. A host of an older or newer version knows fewer or more of the further kinds.
func revisionsOf(base, further []uint64) (revisions watch.Revisions, err error) {
	if len(base) != baseKinds {
		return revisions, errors.Errorf("message has the revisions of %d kinds, want %d", len(base), baseKinds)
	}
	copy(revisions[:], base)
	copy(revisions[baseKinds:], further)
	return revisions, nil
}

// furtherRevisions returns the revisions of the kinds after baseKinds, or nil if all are 0.
func furtherRevisions(revisions watch.Revisions) []uint64 {
	for _, r := range revisions[baseKinds:] {
		if r > 0 {
			return revisions[baseKinds:]
		}
	}
	return nil
}

// objectFrames returns the objects of the first baseKinds kinds, and those of the further ones.
func objectFrames(update watch.Update) (base, further []*frame.FeedObject) {
	for kind, objects := range update.Objects {
		for _, o := range objects {
			f := objectFrame(watch.Kind(kind), o)
			if kind < baseKinds {
				base = append(base, f)
			} else {
				further = append(further, f)
			}
		}
	}
	return base, further
}

func objectFrame(kind watch.Kind, o watch.Object) *frame.FeedObject {
	return &frame.FeedObject{
		Kind:     uint32(kind),
		Name:     o.Name,
		Revision: o.Revision,
		Value:    o.Value,
		Deleted:  o.Deleted,
	}
}

func objectOf(f *frame.FeedObject) watch.Object {
	return watch.Object{
		Name:     f.GetName(),
		Revision: f.GetRevision(),
		Value:    f.GetValue(),
		Deleted:  f.GetDeleted(),
	}
}

// addObjects adds the objects of a reply to an update, but those of kinds that this host doesn't know.
func addObjects(update *watch.Update, base, further []*frame.FeedObject) {
	for _, list := range [][]*frame.FeedObject{base, further} {
		for _, o := range list {
			if kind := int(o.GetKind()); kind < watch.KindCount {
				update.Objects[kind] = append(update.Objects[kind], objectOf(o))
			}
		}
	}
}
