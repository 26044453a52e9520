package prober

import (
	"maps"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

func (p *Prober) tick(now time.Time) {
	if gap := now.Sub(p.lastTick); !p.lastTick.IsZero() && gap > freezeGap {
		p.recoverFromFreeze(now, gap)
	}
	p.lastTick = now
	p.expireProbes(now)
	if !now.Before(p.nextExpiry) {
		p.nextExpiry = now.Add(expiryInterval)
		p.expireMembers(now)
	}
	p.proven.expire(now)
	p.suspects.expire(now)
	p.updates.expire(now)
	if p.self.State != codec.MemberStateAlive {
		return
	}
	if !p.secondListAt.IsZero() && !now.Before(p.secondListAt) {
		p.secondListAt = time.Time{}
		p.requestList(now)
	}
	if !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(p.jittered(p.config.Timing.ProbeInterval))
		p.startProbe(now)
	}
	if !now.Before(p.nextReconnect) {
		p.nextReconnect = now.Add(p.jittered(p.config.Timing.ReconnectInterval))
		p.reconnect(now)
	}
}

// jittered varies an interval by up to a tenth, so that hosts that started together do not probe at the same time.
func (p *Prober) jittered(interval time.Duration) time.Duration {
	return interval*9/10 + time.Duration(p.config.Rand.Int64N(int64(interval/5)))
}

// recoverFromFreeze discards the probes in progress and extends the timeouts of suspicions by the length of the freeze;
// otherwise this host would declare the others dead.
func (p *Prober) recoverFromFreeze(now time.Time, gap time.Duration) {
	clear(p.probes)
	for _, m := range p.members {
		m.since = m.since.Add(gap)
	}
	p.nextProbe = now
	if gap > rejoinGap {
		p.joined = false
	}
}

func (p *Prober) startProbe(now time.Time) {
	if !p.joined {
		p.join(now)
		return
	}
	if to, ok := p.nextTarget(); ok {
		p.send(now, to)
	}
}

// nextTarget returns the first live member of the probe order and moves each member that it passes to a random place in
// the second half of the order. The time between two probes of a member varies less than with independent random choices.
func (p *Prober) nextTarget() (codec.Member, bool) {
	for range len(p.order) {
		id := p.order[0]
		p.order = p.order[1:]
		at := len(p.order) / 2
		p.order = append(p.order, "")
		place := at + p.config.Rand.IntN(len(p.order)-at)
		copy(p.order[place+1:], p.order[place:])
		p.order[place] = id
		if m := p.members[id]; isLive(m.State) {
			return m.Member, true
		}
	}
	return codec.Member{}, false
}

// join probes seeds and requests the complete member list; it runs at each probe interval until one responds.
func (p *Prober) join(now time.Time) {
	seeds := p.pick(joinProbes, "", func(codec.MemberState) bool { return true })
	for _, i := range p.config.Rand.Perm(len(p.config.SeedAddresses)) {
		if len(seeds) >= 2*joinProbes {
			break
		}
		if address := p.config.SeedAddresses[i]; address != p.self.Address {
			seeds = append(seeds, codec.Member{Address: address})
		}
	}
	p.config.Rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for i, to := range seeds {
		message := p.message(to.ID)
		// One complete list is enough; the other seeds only have to learn of this host.
		message.Join = i == 0
		p.sendMessage(now, to, message)
	}
}

// requestList requests the complete member list from a seed, which starting hosts reach first.
func (p *Prober) requestList(now time.Time) {
	seeds := slices.DeleteFunc(slices.Clone(p.config.SeedAddresses), func(address string) bool { return address == p.self.Address })
	if len(seeds) == 0 {
		p.join(now)
		return
	}
	message := p.message("")
	message.Join = true
	p.sendMessage(now, codec.Member{Address: seeds[p.config.Rand.IntN(len(seeds))]}, message)
}

// reconnect probes one host that is believed dead. If a partition is likely, it requests the complete member list: after
// a partition between regions the incarnations of half of the fleet have changed, and a few updates per message would
// take minutes to spread them.
func (p *Prober) reconnect(now time.Time) {
	for _, to := range p.pick(1, "", func(s codec.MemberState) bool { return s == codec.MemberStateDead }) {
		message := p.message(to.ID)
		message.Join = p.manyDead() && now.Sub(p.memberListAt) >= listInterval
		p.sendMessage(now, to, message)
	}
}

// manyDead reports whether so many members are dead that a partition is likelier than single failures.
func (p *Prober) manyDead() bool {
	dead := 0
	for _, m := range p.members {
		if m.State == codec.MemberStateDead {
			dead++
		}
	}
	return dead*partitionShare >= len(p.members)
}

func (p *Prober) send(now time.Time, to codec.Member) { p.sendMessage(now, to, p.message(to.ID)) }

func (p *Prober) sendMessage(now time.Time, to codec.Member, message codec.ProbeMessage) {
	p.lastID++
	p.probes[p.lastID] = &probe{target: to, sentAt: now}
	p.emit(Send{ID: p.lastID, To: to, Message: message})
}

// message returns a message with this host's entry and piggybacked updates. An update about the receiver goes first, so
// that the receiver can refute it.
func (p *Prober) message(to identifier.HostID) codec.ProbeMessage {
	message := codec.ProbeMessage{From: p.self, Updates: []codec.Member{}, ProvenDigest: digest(p.proven, p.suspects)}
	if m, known := p.members[to]; known && m.State != codec.MemberStateAlive {
		message.Updates = append(message.Updates, m.Member)
	}
	message.Updates = append(message.Updates, p.updates.take(MaxUpdates-len(message.Updates), len(p.members)+1)...)
	message.Proven = p.proven.take(len(p.members) + 1)
	message.Suspects = p.suspects.take(len(p.members) + 1)
	if p.config.Revision != nil {
		message.Revision = p.config.Revision()
	}
	return message
}

func (p *Prober) responseTo(request codec.ProbeMessage) codec.ProbeMessage {
	response := p.message(request.From.ID)
	if request.ProvenDigest != response.ProvenDigest {
		response.Proven, response.Suspects = p.proven.sample(p.config.Rand), p.suspects.sample(p.config.Rand)
	}
	if request.Join {
		response.Members = p.liveMembers()
	}
	return response
}

func (p *Prober) liveMembers() []codec.Member {
	all := make([]codec.Member, 0, len(p.members))
	for _, id := range p.order {
		if m := p.members[id]; isLive(m.State) {
			all = append(all, m.Member)
		}
	}
	return all
}

func (p *Prober) relay(now time.Time, request codec.ProbeMessage) {
	p.applyMessage(now, request)
	target, known := p.members[request.Target]
	if !known {
		p.emit(Reply{Message: p.message(request.From.ID)})
		return
	}
	p.emit(Relay{To: target.Member, Message: p.message(target.ID)})
}

func (p *Prober) responded(now time.Time, id ProbeID, response codec.ProbeMessage) {
	p.consecutiveMisses = 0
	if len(response.Members) > 0 {
		p.joined = true
		if p.memberListAt.IsZero() {
			p.changed = true
			p.secondListAt = now.Add(p.jittered(secondListDelay))
		}
		p.memberListAt = now
	}
	p.applyMessage(now, response)
	// Another host may use the address of the target by now; its response does not show that the target is alive.
	if sent, ok := p.probes[id]; ok && (sent.target.ID == "" || sent.target.ID == response.From.ID) {
		delete(p.probes, id)
	}
}

// failed starts the indirect probes before DirectTimeout when the direct probe fails, such as by a refused connection.
func (p *Prober) failed(id ProbeID) {
	if sent, ok := p.probes[id]; ok && !sent.indirect {
		p.startIndirect(id, sent)
	}
}

func (p *Prober) startIndirect(id ProbeID, sent *probe) {
	m, known := p.members[sent.target.ID]
	if !known || !isLive(m.State) {
		delete(p.probes, id)
		return
	}
	sent.indirect = true
	message := p.message(sent.target.ID)
	message.Target = sent.target.ID
	for _, via := range p.pick(indirectProbes, sent.target.ID, isLive) {
		p.emit(SendIndirect{ID: id, Via: via, Message: message})
	}
}

func (p *Prober) relayed(now time.Time, e Relayed) {
	if !e.Reached {
		return
	}
	p.consecutiveMisses = 0
	p.applyMessage(now, e.Response)
	if sent, ok := p.probes[e.ID]; ok && sent.target.ID == e.Response.From.ID {
		delete(p.probes, e.ID)
	}
}

func (p *Prober) expireProbes(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(p.probes)) {
		sent := p.probes[id]
		age := now.Sub(sent.sentAt)
		if age >= p.config.Timing.DirectTimeout && !sent.indirect {
			p.startIndirect(id, sent)
		}
		if age >= p.config.Timing.ProbeTimeout {
			delete(p.probes, id)
			p.missed(now, sent)
		}
	}
}

// missed suspects the target of a probe without a response. When the probe before it got no response either, this host
// may be the slow one, so it first probes the target again: on an overloaded machine, hosts that stalled for 2 s
// suspected every target of their probes, and the refutations and member lists that followed kept them overloaded.
func (p *Prober) missed(now time.Time, sent *probe) {
	m, known := p.members[sent.target.ID]
	if !known || m.State != codec.MemberStateAlive {
		return
	}
	p.consecutiveMisses++
	if p.consecutiveMisses == 1 || sent.repeated {
		p.suspect(now, m)
		return
	}
	p.send(now, m.Member)
	p.probes[p.lastID].repeated = true
}

func (p *Prober) suspect(now time.Time, m *member) {
	suspicion := m.Member
	suspicion.State = codec.MemberStateSuspect
	p.update(now, suspicion)
	m.suspectedAt = now
}

// probeAgain repeats the probe of a member that this host suspects, with newly picked hosts for the indirect probes: the
// refutation of a member that only this host cannot reach may otherwise arrive too late.
func (p *Prober) probeAgain(now time.Time, m *member) {
	m.suspectedAt = now
	p.send(now, m.Member)
}

func (p *Prober) expireMembers(now time.Time) {
	for _, id := range slices.Clone(p.order) {
		m := p.members[id]
		age := now.Sub(m.since)
		switch {
		case m.State == codec.MemberStateSuspect && age < p.suspectTimeout(m):
			if !m.suspectedAt.IsZero() && now.Sub(m.suspectedAt) >= p.config.Timing.ProbeTimeout {
				p.probeAgain(now, m)
			}
		case m.State == codec.MemberStateSuspect:
			death := m.Member
			death.State = codec.MemberStateDead
			p.update(now, death)
		case !isLive(m.State) && age >= deadRetention && !m.listed:
			p.discard(id)
		}
	}
}

func (p *Prober) suspectTimeout(m *member) time.Duration {
	if m.suspectedAt.IsZero() {
		return p.config.Timing.GossipSuspectTimeout
	}
	return p.config.Timing.SuspectTimeout
}
