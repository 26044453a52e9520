package spreader

import (
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/service/elector"
)

const (
	// directHosts is the greatest number of hosts in a zone that all watch the store by themselves: a few calls are
	// cheaper than the risk that the watcher is out of reach.
	directHosts = 3
	// coverTime is how long a state counts as current after the watcher was heard. With the watcher's check of the store
	// it bounds the age of a host's state to about two seconds.
	coverTime = time.Second
)

// Spreader decides whether this host watches the store, and holds the state with the highest revision.
type Spreader struct {
	self     codec.Member
	kind     string
	revision int64
	objects  map[string]codec.Object
	// keysRevision is the revision at which an object last came or went.
	keysRevision int64
	// heardAt is when a watcher last confirmed a state that is not older than this host's.
	heardAt time.Time
}

// New returns a state machine that has no objects yet.
func New(self codec.Member, kind string) *Spreader {
	return &Spreader{self: self, kind: kind, objects: make(map[string]codec.Object)}
}

// Role says how this host gets the state.
type Role struct {
	// Follow tells that this host watches the store.
	Follow bool
	// Audience holds the hosts that take the state from this one.
	Audience []codec.Member
}

// Role returns the role among the live hosts. A host that has not heard from its zone's watcher follows the store itself.
func (s *Spreader) Role(now time.Time, live []codec.Member) Role {
	var zone []codec.Member
	for _, member := range live {
		if member.Zone == s.self.Zone {
			zone = append(zone, member)
		}
	}
	if len(zone) <= directHosts {
		return Role{Follow: true}
	}
	if watcher, _ := elector.Choose(s.kind, zone); watcher.ID != s.self.ID {
		return Role{Follow: now.Sub(s.heardAt) > coverTime}
	}
	return Role{Follow: true, Audience: slices.DeleteFunc(zone, func(member codec.Member) bool { return member.ID == s.self.ID })}
}

// Apply takes over a whole state unless it is older and reports whether anything changed.
func (s *Spreader) Apply(revision int64, objects map[string]codec.Object) (changed bool) {
	if revision < s.revision {
		return false
	}
	changed = s.revision == 0 || !maps.EqualFunc(s.objects, objects, func(a, b codec.Object) bool { return a.Version == b.Version })
	if changed && !sameKeys(s.objects, objects) {
		// An object whose hold has ended goes without a new revision, so the keys count as changed after it.
		s.keysRevision = revision + 1
	}
	s.revision = revision
	s.objects = objects
	return changed
}

// Receive takes over a state from the zone's watcher. The reply holds the revision that this host has now; it is 0 when
// an object is missing that the watcher believed known.
func (s *Spreader) Receive(now time.Time, push codec.StatePush) (reply codec.StateReply, changed bool) {
	if push.Revision < s.revision {
		return codec.StateReply{Revision: s.revision}, false
	}
	if push.SameKeys {
		return s.receiveChanges(now, push)
	}
	next := make(map[string]codec.Object, len(push.Keys))
	for _, object := range push.Objects {
		next[object.Key] = object
	}
	for _, key := range push.Keys {
		if _, ok := next[key]; ok {
			continue
		}
		known, ok := s.objects[key]
		if !ok {
			return codec.StateReply{}, false
		}
		next[key] = known
	}
	s.heardAt = now
	changed = s.Apply(push.Revision, next)
	return codec.StateReply{Revision: s.revision}, changed
}

// receiveChanges takes over changes of objects that this host has. A host that has gone on by itself since the base
// revision may lack or have others, so it asks for the whole state.
func (s *Spreader) receiveChanges(now time.Time, push codec.StatePush) (reply codec.StateReply, changed bool) {
	if s.revision != push.Base {
		return codec.StateReply{}, false
	}
	s.heardAt = now
	if len(push.Objects) == 0 {
		s.revision = push.Revision
		return codec.StateReply{Revision: s.revision}, false
	}
	next := maps.Clone(s.objects)
	for _, object := range push.Objects {
		next[object.Key] = object
	}
	changed = s.Apply(push.Revision, next)
	return codec.StateReply{Revision: s.revision}, changed
}

func sameKeys(a, b map[string]codec.Object) bool {
	if len(a) != len(b) {
		return false
	}
	for key := range a {
		if _, ok := b[key]; !ok {
			return false
		}
	}
	return true
}

// Push returns the state for a host that has confirmed a revision; 0 stands for none. A confirmation without changes is
// a few bytes, however many objects there are.
func (s *Spreader) Push(known int64) codec.StatePush {
	push := codec.StatePush{From: s.self.ID, Kind: s.kind, Revision: s.revision, Base: known, SameKeys: known > 0 && known >= s.keysRevision}
	if !push.SameKeys {
		push.Keys = slices.Sorted(maps.Keys(s.objects))
	}
	if push.SameKeys && known == s.revision {
		return push
	}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if object := s.objects[key]; object.Version > known {
			push.Objects = append(push.Objects, object)
		}
	}
	return push
}

// Objects returns a copy of the state.
func (s *Spreader) Objects() map[string]codec.Object { return maps.Clone(s.objects) }

// Known reports whether there is a state.
func (s *Spreader) Known() bool { return s.revision > 0 }
