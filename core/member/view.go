package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is what a host knows of all hosts, itself included. It is immutable.
type View struct {
	// members are ordered by ID.
	members []Member
	digest  uint64
}

// Members returns all members ordered by ID; the slice must not be changed.
func (v View) Members() []Member { return v.members }

// Digest identifies the content of the view.
func (v View) Digest() uint64 { return v.digest }

// Get returns a member; ok is false when the view lacks it.
func (v View) Get(id string) (m Member, ok bool) {
	i, found := v.find(id)
	if !found {
		return Member{}, false
	}
	return v.members[i], true
}

// With returns a view that also has m, and whether m was news.
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

// Without returns a view that lacks the named member.
func (v View) Without(id string) View {
	i, found := v.find(id)
	if !found {
		return v
	}
	return newView(slices.Delete(slices.Clone(v.members), i, i+1))
}

// Available returns the members that take new work.
func (v View) Available() []Member {
	var available []Member
	for _, m := range v.members {
		if m.Available() {
			available = append(available, m)
		}
	}
	return available
}

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
		binary.LittleEndian.PutUint64(buf[:], m.Incarnation<<3|uint64(m.State))
		_, _ = d.Write(buf[:])
	}
	return View{
		members: members,
		digest:  d.Sum64(),
	}
}
