package prober

import (
	"math/bits"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// retransmitFactor times the binary logarithm of the number of hosts is how many times each host passes on one update.
const retransmitFactor = 3

// updateLifetime is how long an update is passed on; 60 hosts agree on a crash 4 s after it is declared.
const updateLifetime = 15 * time.Second

// rank orders the states of one incarnation; a higher rank overrides a lower one.
var rank = map[codec.MemberState]int{
	codec.MemberStateAlive:   0,
	codec.MemberStateSuspect: 1,
	codec.MemberStateDead:    2,
	codec.MemberStateLeft:    3,
}

// overrides reports whether entry a of a host replaces its entry b.
func overrides(a, b codec.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return rank[a.State] > rank[b.State]
}

// applyMessage applies everything that a message carries.
func (p *Prober) applyMessage(now time.Time, message codec.ProbeMessage) {
	if message.From.ID != p.self.ID {
		p.update(now, message.From)
	}
	for _, u := range message.Updates {
		p.update(now, u)
	}
	p.applyMemberList(now, message.Members)
	proven, suspects := p.proven.add(now, message.Proven), p.suspects.add(now, message.Suspects)
	if len(proven)+len(suspects) > 0 {
		p.emit(Learned{Proven: proven, Suspects: suspects})
		p.spreadFlagged(now)
	}
	if message.Revision > 0 && message.From.ID != p.self.ID {
		p.emit(RevisionReported{Host: message.From, Revision: message.Revision})
	}
}

// applyMemberList applies a complete member list. What it changes is not passed on, except for refutations by this host:
// 360 updates of one list would fill the messages of this host for many minutes, and the hosts that lack them request a
// list themselves.
func (p *Prober) applyMemberList(now time.Time, members []codec.Member) {
	pending := slices.Clone(p.updates.items)
	for _, u := range members {
		p.update(now, u)
	}
	keep := func(item *updateItem) bool { return item.member.ID == p.self.ID || slices.Contains(pending, item) }
	p.updates.items = slices.DeleteFunc(p.updates.items, func(item *updateItem) bool { return !keep(item) })
}

// update applies an entry of one host if it overrides the known entry.
func (p *Prober) update(now time.Time, u codec.Member) {
	if u.ID == "" || !u.State.Valid() {
		return
	}
	if u.ID == p.self.ID {
		p.refute(now, u)
		return
	}
	m, known := p.members[u.ID]
	if known && !overrides(u, m.Member) {
		return
	}
	if !known {
		if !isLive(u.State) {
			return
		}
		m = &member{since: now}
		p.members[u.ID] = m
		p.insert(u.ID)
	}
	former := m.State
	// The first contact with a listed host only adds its incarnation. Passing that on for 360 hosts that start together
	// would fill the messages of all of them for a minute.
	firstContact := m.Incarnation == 0 && m.Address == u.Address && former == u.State
	m.Member = u
	if former != u.State {
		m.since = now
		m.suspectedAt = time.Time{}
		p.emit(Changed{Member: u, From: former})
	}
	p.changed = true
	if !firstContact {
		p.updates.add(now, u)
	}
}

// refute raises the incarnation of this host above that of an entry that others have of it, unless the entry has the
// current incarnation and is alive or has this host's state. A suspicion of a lower incarnation comes from a host that
// does not know the current one, so this host's entry is passed on again.
func (p *Prober) refute(now time.Time, u codec.Member) {
	if u.Incarnation < p.self.Incarnation {
		if u.State != codec.MemberStateAlive {
			p.updates.add(now, p.self)
		}
		return
	}
	if u.Incarnation == p.self.Incarnation && (u.State == codec.MemberStateAlive || u.State == p.self.State) {
		return
	}
	p.self.Incarnation = u.Incarnation + 1
	p.changed = true
	p.updates.add(now, p.self)
}

// insert puts a host at a random place of the probe order, so that hosts do not probe in the same order.
func (p *Prober) insert(id identifier.HostID) {
	p.order = slices.Insert(p.order, p.config.Rand.IntN(len(p.order)+1), id)
}

func (p *Prober) discard(id identifier.HostID) {
	delete(p.members, id)
	p.order = slices.DeleteFunc(p.order, func(other identifier.HostID) bool { return other == id })
	p.updates.drop(id)
}

// pick returns up to n random members whose state is accepted, other than the host except.
func (p *Prober) pick(n int, except identifier.HostID, accept func(codec.MemberState) bool) []codec.Member {
	var picked []codec.Member
	for _, i := range p.config.Rand.Perm(len(p.order)) {
		if len(picked) == n {
			break
		}
		m := p.members[p.order[i]]
		if m.ID != except && accept(m.State) {
			picked = append(picked, m.Member)
		}
	}
	return picked
}

// updates holds member updates that are still to be passed on.
type updates struct {
	items []*updateItem
}

type updateItem struct {
	member  codec.Member
	learned time.Time
	sent    int
}

func (u *updates) add(now time.Time, m codec.Member) {
	u.drop(m.ID)
	u.items = append(u.items, &updateItem{member: m, learned: now})
}

// expire drops updates that all hosts have had time to learn. Without it, 360 hosts that start together pass on the 360
// updates of that start for half an hour, 6 in each message.
func (u *updates) expire(now time.Time) {
	u.items = slices.DeleteFunc(u.items, func(item *updateItem) bool { return now.Sub(item.learned) >= updateLifetime })
}

func (u *updates) drop(id identifier.HostID) {
	u.items = slices.DeleteFunc(u.items, func(item *updateItem) bool { return item.member.ID == id })
}

// take returns up to n updates, those passed on least often first, and drops those that reached the retransmission limit.
func (u *updates) take(n, hosts int) []codec.Member {
	limit := retransmitFactor * bits.Len(uint(hosts))
	slices.SortStableFunc(u.items, func(a, b *updateItem) int { return a.sent - b.sent })
	taken := make([]codec.Member, 0, n)
	for _, item := range u.items[:min(n, len(u.items))] {
		taken = append(taken, item.member)
		item.sent++
	}
	u.items = slices.DeleteFunc(u.items, func(item *updateItem) bool { return item.sent >= limit })
	return taken
}
