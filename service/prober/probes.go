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
		p.thaw(now, gap)
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
	if !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(p.jittered(p.config.Timing.ProbeInterval))
		p.startProbe(now)
	}
	if !now.Before(p.nextReconnect) {
		p.nextReconnect = now.Add(p.jittered(p.config.Timing.ReconnectInterval))
		p.reconnect(now)
	}
}

// jittered varies an interval by a tenth, so that hosts that started together do not probe in step.
func (p *Prober) jittered(interval time.Duration) time.Duration {
	return interval*9/10 + time.Duration(p.config.Rand.Int64N(int64(interval/5)))
}

// thaw forgets the deadlines that ran out while this host was frozen; otherwise it would declare the others dead.
func (p *Prober) thaw(now time.Time, gap time.Duration) {
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

// nextTarget goes through the members in random order and shuffles after each round: the time until a given member is
// probed is bounded, which it is not with independent random choices.
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

// join asks seeds for the whole member list until one answers.
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
		// One full list is enough; the other seeds only have to learn of this host.
		message.Join = i == 0
		p.sendMessage(now, to, message)
	}
}

// reconnect probes one host that is believed dead. It asks for the whole member list: after a partition between regions
// the incarnations of half of the fleet have changed, which takes minutes through a few updates per message.
func (p *Prober) reconnect(now time.Time) {
	for _, to := range p.pick(1, "", func(s codec.MemberState) bool { return s == codec.MemberStateDead }) {
		message := p.message(to.ID)
		message.Join = p.manyDead() && now.Sub(p.listedAt) >= listInterval
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

// message returns a message with the own entry and piggybacked updates. What is said of the receiver goes first, so
// that it can refute.
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

func (p *Prober) replyTo(request codec.ProbeMessage) codec.ProbeMessage {
	reply := p.message(request.From.ID)
	if request.ProvenDigest != reply.ProvenDigest {
		reply.Proven, reply.Suspects = p.proven.sample(p.config.Rand), p.suspects.sample(p.config.Rand)
	}
	if request.Join {
		reply.Members = p.everyone()
	}
	return reply
}

func (p *Prober) everyone() []codec.Member {
	all := make([]codec.Member, 0, len(p.members))
	for _, id := range p.order {
		if m := p.members[id]; isLive(m.State) {
			all = append(all, m.Member)
		}
	}
	return all
}

func (p *Prober) relay(now time.Time, request codec.ProbeMessage) {
	p.absorb(now, request)
	target, known := p.members[request.Target]
	if !known {
		p.emit(Reply{Message: p.message(request.From.ID)})
		return
	}
	p.emit(Relay{To: target.Member, Message: p.message(target.ID)})
}

func (p *Prober) answered(now time.Time, id ProbeID, reply codec.ProbeMessage) {
	p.streak = 0
	if len(reply.Members) > 0 {
		p.joined = true
		p.listedAt = now
	}
	p.absorb(now, reply)
	// Another host may have taken over the address of the target, which is then not reached.
	if sent, ok := p.probes[id]; ok && (sent.target.ID == "" || sent.target.ID == reply.From.ID) {
		delete(p.probes, id)
	}
}

// failed ends the direct attempt early, such as by a refused connection.
func (p *Prober) failed(id ProbeID) {
	if sent, ok := p.probes[id]; ok && !sent.indirect {
		p.goIndirect(id, sent)
	}
}

func (p *Prober) goIndirect(id ProbeID, sent *probe) {
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
	p.streak = 0
	p.absorb(now, e.Reply)
	if sent, ok := p.probes[e.ID]; ok && sent.target.ID == e.Reply.From.ID {
		delete(p.probes, e.ID)
	}
}

func (p *Prober) expireProbes(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(p.probes)) {
		sent := p.probes[id]
		age := now.Sub(sent.sentAt)
		if age >= p.config.Timing.DirectTimeout && !sent.indirect {
			p.goIndirect(id, sent)
		}
		if age >= p.config.Timing.ProbeTimeout {
			delete(p.probes, id)
			p.missed(now, sent)
		}
	}
}

// missed suspects the target of a probe without an answer. When the probe before it failed too, this host may be the one
// that is slow, so it first probes the target again: on an overloaded machine, hosts that stalled for 2 s suspected
// whoever they were probing, and the refutations and member lists that followed kept them overloaded.
func (p *Prober) missed(now time.Time, sent *probe) {
	m, known := p.members[sent.target.ID]
	if !known || m.State != codec.MemberStateAlive {
		return
	}
	p.streak++
	if p.streak == 1 || sent.repeated {
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
	m.accusedAt = now
}

// probeAgain repeats the probe of a suspect of this host, through other helpers than before: the refutation of a host
// that only this one cannot reach may otherwise arrive too late.
func (p *Prober) probeAgain(now time.Time, m *member) {
	m.accusedAt = now
	p.send(now, m.Member)
}

func (p *Prober) expireMembers(now time.Time) {
	for _, id := range slices.Clone(p.order) {
		m := p.members[id]
		age := now.Sub(m.since)
		switch {
		case m.State == codec.MemberStateSuspect && age < p.suspectTimeout(m):
			if !m.accusedAt.IsZero() && now.Sub(m.accusedAt) >= p.config.Timing.ProbeTimeout {
				p.probeAgain(now, m)
			}
		case m.State == codec.MemberStateSuspect:
			death := m.Member
			death.State = codec.MemberStateDead
			p.update(now, death)
		case !isLive(m.State) && age >= forgetAfter && !m.listed:
			p.forget(id)
		}
	}
}

func (p *Prober) suspectTimeout(m *member) time.Duration {
	if m.accusedAt.IsZero() {
		return p.config.Timing.HearsayTimeout
	}
	return p.config.Timing.SuspectTimeout
}
