package spreader

import (
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/elector"
)

const (
	// maxDirectHosts is the number of hosts up to which all hosts of a zone watch the store themselves: a few calls cost less
	// than the risk that the watcher is unreachable.
	maxDirectHosts = 3
	// stateTTL is how long a state counts as current after it was confirmed. A zone's head watches the store itself after
	// that time without a confirmation. With the watcher's check of the store, it bounds the age of a host's state to about
	// two seconds.
	stateTTL = time.Second
	// requestAfter is the time without a confirmation after which a host requests the state: the head of its zone may not know
	// this host yet, or a message was lost.
	requestAfter = 700 * time.Millisecond
	// substitutes is the number of hosts of a zone that replace its head, each of them substituteDelay after the one before, so
	// that the loss of a head does not make all hosts of its zone call the store.
	substitutes     = 2
	substituteDelay = 250 * time.Millisecond
	// holdTime is how long the other hosts of a zone leave it to the head and its substitutes to try the store after one of them
	// said that it cannot reach it. It covers a lost message.
	holdTime = 1500 * time.Millisecond
	// heldTTL is how long a state may go without a confirmation before such a host watches the store itself in spite of that.
	heldTTL = 4 * time.Second
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
	// settledAt is when this host knew enough other hosts to have a role.
	settledAt time.Time
	// confirmedAt is when a state that is not older than this host's was last compared with the store by another host, as far
	// as this one was told; checkedAt is when this host did so itself. Counting from the comparison, and not from the message,
	// keeps two hosts from confirming an outdated state to each other.
	confirmedAt time.Time
	checkedAt   time.Time
	// heldUntil is set while another host of the zone tries the store for this one.
	heldUntil time.Time
	// confirmAlways makes hosts of small zones, which watch the store themselves, have their state confirmed as well.
	confirmAlways bool
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
	// Sources holds the hosts that may have a current state, the most likely one first; none if this host needs no other's.
	Sources []codec.Member
}

// Settle records that this host knows the other hosts well enough to have a role. Until then a host watches nothing: at the
// start of a fleet, each host would otherwise take itself for the only one.
func (s *Spreader) Settle(now time.Time) {
	if s.settledAt.IsZero() {
		s.settledAt = now
	}
}

// Role returns the role among the live hosts. One host of a region, the root, watches the store and pushes the state to the
// heads of the zones, which push it to the hosts of their zones. A host that gets no confirmations watches the store itself:
// the head of a zone first, then its substitutes, then all.
func (s *Spreader) Role(now time.Time, live []codec.Member) Role {
	var zone, region []codec.Member
	for _, member := range live {
		if member.Region == s.self.Region {
			region = append(region, member)
		}
		if member.Zone == s.self.Zone {
			zone = append(zone, member)
		}
	}
	settled := !s.settledAt.IsZero()
	root, _ := elector.Choose(s.kind, region)
	if len(zone) <= maxDirectHosts {
		role := Role{Follow: settled}
		switch {
		case !s.Known():
			role.Sources = s.without(live)
		case s.confirmAlways:
			role.Sources = s.without([]codec.Member{root})
		}
		if settled && root.ID == s.self.ID {
			role.Recipients = s.heads(region)
		}
		return role
	}
	ranked := elector.Rank(s.kind, zone, 1+substitutes)
	rank := slices.IndexFunc(ranked, func(member codec.Member) bool { return member.ID == s.self.ID })
	sources := append(slices.Clone(ranked[:1]), root)
	if rank == 0 {
		sources = []codec.Member{root}
	}
	role := Role{Sources: s.without(append(sources, ranked[1:]...))}
	if !settled {
		return role
	}
	silence := now.Sub(latest(s.confirmedAt, s.settledAt))
	switch {
	case root.ID == s.self.ID:
		role.Follow = true
		role.Recipients = s.heads(region)
		if rank == 0 {
			role.Recipients = append(role.Recipients, s.without(zone)...)
		}
	case rank == 0:
		role.Follow = silence > stateTTL
		role.Recipients = s.without(zone)
	case rank > 0:
		role.Follow = silence > 2*stateTTL-substituteDelay*time.Duration(1+substitutes-rank)
		if role.Follow {
			role.Recipients = s.without(zone)
		}
	case now.Before(s.heldUntil):
		role.Follow = silence > heldTTL
	default:
		role.Follow = silence > 2*stateTTL
	}
	return role
}

// heads returns the heads of the zones of a region, without this host and without those of zones whose hosts all watch the
// store.
func (s *Spreader) heads(region []codec.Member) []codec.Member {
	zones := make(map[identifier.Zone][]codec.Member)
	for _, member := range region {
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	var heads []codec.Member
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if head, ok := elector.Choose(s.kind, zones[zone]); ok && len(zones[zone]) > maxDirectHosts {
			heads = append(heads, head)
		}
	}
	return s.without(heads)
}

func (s *Spreader) without(members []codec.Member) []codec.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member codec.Member) bool { return member.ID == s.self.ID })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// NeedsState reports whether this host has to request the state: it has none, or it has not been confirmed for too long.
func (s *Spreader) NeedsState(now time.Time) bool {
	return !s.Known() || now.Sub(latest(s.confirmedAt, s.checkedAt)) > requestAfter
}

// Revision returns the revision of the state, or 0 if there is none.
func (s *Spreader) Revision() int64 { return s.revision }

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

// ConfirmAlways sets whether this host needs to know that its state is current even while it watches the store itself.
func (s *Spreader) ConfirmAlways(wanted bool) { s.confirmAlways = wanted }

// NeedsCheck reports whether this host, which watches the store, has to compare its state with the store although it has no
// recipients: the first host of the region does so for the others, which do it themselves once they get no confirmations.
func (s *Spreader) NeedsCheck(now time.Time, role Role) bool {
	if !s.confirmAlways || !role.Follow || !s.Known() {
		return false
	}
	return len(role.Sources) == 0 || now.Sub(s.ConfirmedAt()) > stateTTL
}

// Check records that this host has compared its state with the store.
func (s *Spreader) Check(now time.Time) { s.checkedAt = now }

// ConfirmedAt returns when the state was last compared with the store, as far as this host knows.
func (s *Spreader) ConfirmedAt() time.Time { return latest(s.confirmedAt, s.checkedAt) }

// Current reports whether the state was confirmed or compared with the store within stateTTL, so that other hosts may rely on
// it.
func (s *Spreader) Current(now time.Time) bool {
	return s.Known() && now.Sub(latest(s.confirmedAt, s.checkedAt)) <= stateTTL
}

// Receive applies a state from another host. The reply holds the revision that this host has now, or 0 to request the
// complete state when the push builds on objects that this host does not have.
func (s *Spreader) Receive(now time.Time, push codec.StatePush) (reply codec.StateReply, changed bool) {
	if push.StoreDown {
		s.heldUntil = now.Add(holdTime)
		return codec.StateReply{Revision: s.revision}, false
	}
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
	s.confirm(now, push.Age.Std())
	changed = s.Apply(push.Revision, next)
	return codec.StateReply{Revision: s.revision}, changed
}

// receiveChanges applies changes of objects that this host has. A host that has followed the store itself since the base
// revision may have other objects, so it requests the complete state.
func (s *Spreader) receiveChanges(now time.Time, push codec.StatePush) (reply codec.StateReply, changed bool) {
	if s.revision != push.Base {
		return codec.StateReply{}, false
	}
	s.confirm(now, push.Age.Std())
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

func (s *Spreader) confirm(now time.Time, age time.Duration) {
	s.confirmedAt = latest(s.confirmedAt, now.Add(-age))
	s.heldUntil = time.Time{}
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
func (s *Spreader) Push(now time.Time, known int64) codec.StatePush {
	push := codec.StatePush{
		From: s.self.ID, Kind: s.kind, Revision: s.revision, Base: known, SameKeys: known > 0 && known >= s.keysRevision,
		Age: identifier.Duration(now.Sub(latest(s.confirmedAt, s.checkedAt))),
	}
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
