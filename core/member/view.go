package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is the set of hosts that a host knows, itself included. It is immutable.
type View struct {
	// members is ordered by ID.
	members []Member
	digest  uint64
}

// Members returns all members ordered by ID. The caller must not modify the slice.
func (v View) Members() []Member { return v.members }

// Digest returns a hash of the members' IDs, incarnations and states. Hosts compare it to detect that their views differ.
func (v View) Digest() uint64 { return v.digest }

// Get returns the member with the given ID; ok is false if the view does not contain it.
func (v View) Get(id string) (m Member, ok bool) {
	i, found := v.find(id)
	if !found {
		return Member{}, false
	}
	return v.members[i], true
}

// With returns a view with m added or replaced, and true. If v has an equal or newer record of the host,
// With returns v and false.
func (v View) With(m Member) (View, bool) {
	i, found := v.find(m.ID)
	if found && !m.supersedes(v.members[i]) {
		return v, false
	}
	members := slices.Clone(v.members)
	if found {
		members[i] = m
	} else {
		members = slices.Insert(members, i, m)
	}
	return newView(members), true
}

// Without returns a view without the member with the given ID.
func (v View) Without(id string) View {
	i, found := v.find(id)
	if !found {
		return v
	}
	return newView(slices.Delete(slices.Clone(v.members), i, i+1))
}

// Available returns the members to which new work may go.
func (v View) Available() []Member {
	var available []Member
	for _, m := range v.members {
		if m.Available() {
			available = append(available, m)
		}
	}
	return available
}

// find returns the position of a member, or where it would be inserted, and whether the view contains it.
func (v View) find(id string) (int, bool) {
	return slices.BinarySearchFunc(v.members, id, func(m Member, id string) int {
		return strings.Compare(m.ID, id)
	})
}

func newView(members []Member) View {
	d := xxhash.New()
	var buf [8]byte
	for _, m := range members {
		_, _ = d.WriteString(m.ID)
		// A state fits into the lowest 3 bits.
		binary.LittleEndian.PutUint64(buf[:], m.Incarnation<<3|uint64(m.State))
		_, _ = d.Write(buf[:])
	}
	return View{
		members: members,
		digest:  d.Sum64(),
	}
}
