package spreader

import (
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/service/elector"
)

const (
	// maxDirectHosts is the number of hosts up to which all hosts of a zone watch the store themselves: a few calls cost less
	// than the risk that the watcher is unreachable.
	maxDirectHosts = 3
	// stateTTL is how long a state counts as current after the watcher confirmed it. With the watcher's check of the store,
	// it bounds the age of a host's state to about two seconds.
	stateTTL = time.Second
)

// Spreader is the state machine that decides whether this host watches the store; it holds the state with the highest
// revision.
type Spreader struct {
	self     codec.Member
	kind     string
	revision int64
	objects  map[string]codec.Object
	// keysRevision is the lowest revision since which no object was added or removed.
	keysRevision int64
	// confirmedAt is when a watcher last confirmed a state that is not older than this host's.
	confirmedAt time.Time
}

// New returns a state machine that has no objects yet.
func New(self codec.Member, kind string) *Spreader {
	return &Spreader{self: self, kind: kind, objects: make(map[string]codec.Object)}
}

// Role is how this host gets the state.
type Role struct {
	// Follow is set if this host watches the store.
	Follow bool
	// Recipients holds the hosts to which this one pushes the state.
	Recipients []codec.Member
}

// Role returns the role among the live hosts. A host whose zone's watcher has not confirmed the state within stateTTL follows
// the store itself.
func (s *Spreader) Role(now time.Time, live []codec.Member) Role {
	var zone []codec.Member
	for _, member := range live {
		if member.Zone == s.self.Zone {
			zone = append(zone, member)
		}
	}
	if len(zone) <= maxDirectHosts {
		return Role{Follow: true}
	}
	if watcher, _ := elector.Choose(s.kind, zone); watcher.ID != s.self.ID {
		return Role{Follow: now.Sub(s.confirmedAt) > stateTTL}
	}
	return Role{Follow: true, Recipients: slices.DeleteFunc(zone, func(member codec.Member) bool { return member.ID == s.self.ID })}
}

// Apply replaces the state, unless the given one is older, and reports whether anything changed.
func (s *Spreader) Apply(revision int64, objects map[string]codec.Object) (changed bool) {
	if revision < s.revision {
		return false
	}
	changed = s.revision == 0 || !maps.EqualFunc(s.objects, objects, func(a, b codec.Object) bool { return a.Version == b.Version })
	if changed && !sameKeys(s.objects, objects) {
		// An object that the follower kept after an outage of the store is removed without a new revision, so the keys
		// count as changed after this revision.
		s.keysRevision = revision + 1
	}
	s.revision = revision
	s.objects = objects
	return changed
}

// Receive applies a state from the zone's watcher. The reply holds the revision that this host has now, or 0 to request the
// complete state when the push builds on objects that this host does not have.
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
	s.confirmedAt = now
	changed = s.Apply(push.Revision, next)
	return codec.StateReply{Revision: s.revision}, changed
}

// receiveChanges applies changes of objects that this host has. A host that has followed the store itself since the base
// revision may have other objects, so it requests the complete state.
func (s *Spreader) receiveChanges(now time.Time, push codec.StatePush) (reply codec.StateReply, changed bool) {
	if s.revision != push.Base {
		return codec.StateReply{}, false
	}
	s.confirmedAt = now
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

// Push returns the message for a host that last confirmed the given revision; 0 stands for none. Without changes it takes a
// few bytes, however many objects there are.
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

// Known reports whether a state has been applied.
func (s *Spreader) Known() bool { return s.revision > 0 }
