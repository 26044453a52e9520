package prober

import (
	"math/rand/v2"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// The timing of section 5.2 of docs/design.md.
const (
	// rejoinGap is the length of a freeze above which a host requests the complete member list. During a shorter freeze
	// the others do not declare it dead.
	rejoinGap = 15 * time.Second
	// listInterval is the least time between the receipt of a complete member list and the request for another one when a
	// host reconnects; with 360 hosts, a list has 45 kB.
	listInterval = 15 * time.Second
	// secondListDelay is the time between the receipt of the first member list and the request for a second one. Hosts that
	// start together get lists that lack those that reached the seeds later, and updates would take many seconds to spread
	// what is missing.
	secondListDelay = time.Second
	// expiryInterval is how often the states of all members are checked.
	expiryInterval = 500 * time.Millisecond
	// deadRetention is how long the entry of a host that is dead or has left is kept, so that late gossip does not add
	// the host again.
	deadRetention = time.Hour
	// freezeGap is the time between two ticks above which this host treats itself as having been frozen.
	freezeGap = 3 * time.Second
)

// Timing is the timing of section 5.2 of docs/design.md.
type Timing struct {
	// ProbeInterval is the time between two probes that a host starts.
	ProbeInterval time.Duration
	// DirectTimeout is how long a direct probe may take before indirect probes start. It covers a dial and a round trip
	// between regions (12 ms each way) on a busy host.
	DirectTimeout time.Duration
	// ProbeTimeout is how long a probe may take, indirect probes included.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a member that this host suspects has to refute the suspicion.
	SuspectTimeout time.Duration
	// GossipSuspectTimeout is the same for a suspicion learned from other hosts. It is longer because the refutation
	// first reaches the host that raised the suspicion; with 6 s, one of 12 hosts declared a live one dead when the
	// refutation took 6.2 s.
	GossipSuspectTimeout time.Duration
	// ReconnectInterval is the time between two probes of hosts that are believed dead. Such probes reunite the two sides
	// of a partition after it heals.
	ReconnectInterval time.Duration
}

// DefaultTiming limits the probe traffic of a host in a large fleet to 2 KB/s.
var DefaultTiming = Timing{
	ProbeInterval: 2 * time.Second, DirectTimeout: 500 * time.Millisecond, ProbeTimeout: 1500 * time.Millisecond,
	SuspectTimeout: 6 * time.Second, GossipSuspectTimeout: 9 * time.Second, ReconnectInterval: 5 * time.Second,
}

// QuickTiming detects a dead host among about ten within about three seconds, with four times the messages of
// DefaultTiming.
var QuickTiming = Timing{
	ProbeInterval: 500 * time.Millisecond, DirectTimeout: 300 * time.Millisecond, ProbeTimeout: 800 * time.Millisecond,
	SuspectTimeout: 1200 * time.Millisecond, GossipSuspectTimeout: 1800 * time.Millisecond, ReconnectInterval: 1500 * time.Millisecond,
}

// The sizes of messages and fan-outs.
const (
	// MaxUpdates bounds the piggybacked member updates of a message.
	MaxUpdates = 6
	// partitionShare is the share of dead members, one in partitionShare, from which a partition is assumed.
	partitionShare = 8
	// maxFlagged bounds the piggybacked fingerprints of each kind in a message. A crash makes every request that one host
	// had in flight on the engine a suspect; there are at most as many as the engine has slots.
	maxFlagged = 16
	// maxFlaggedKept bounds the stored fingerprints of each kind; those that expire first are evicted first.
	maxFlaggedKept = 1024
	// indirectProbes is how many other hosts probe a host that does not respond to this one.
	indirectProbes = 2
	// joinProbes is how many known members a joining host probes at the same time; seed addresses are added until it
	// probes twice as many hosts.
	joinProbes = 3
	// flaggedMargin plus the binary logarithm of the number of hosts is how many hosts receive new fingerprints at once
	// from each host that learns them. With 4 receivers each, one of 40 hosts was left out in one of two runs.
	flaggedMargin = 2
	// leaveProbes is how many hosts a leaving host notifies directly.
	leaveProbes = 6
)

// Config configures a Prober.
type Config struct {
	// Self is this host with an incarnation higher than those of its earlier processes, such as the start time.
	Self codec.Member
	// SeedAddresses are peer addresses from the static settings, for starts without the platform's list.
	SeedAddresses []string
	Rand          *rand.Rand
	// Timing is DefaultTiming when it is zero.
	Timing Timing
	// Revision returns the catalogue revision of this host; it goes with each message as a hint. It may be nil.
	Revision func() identifier.Revision
}

// Prober is the state machine that starts probes and maintains the member list.
type Prober struct {
	config   Config
	self     codec.Member
	members  map[identifier.HostID]*member
	order    []identifier.HostID
	probes   map[ProbeID]*probe
	lastID   ProbeID
	updates  updates
	proven   fingerprintSet
	suspects fingerprintSet

	// consecutiveMisses counts the probes in a row that got no response.
	consecutiveMisses int
	// memberListAt is when this host last received a complete member list.
	memberListAt time.Time
	// secondListAt is when a starting host requests a second member list; it is zero before and after.
	secondListAt  time.Time
	joined        bool
	lastTick      time.Time
	nextProbe     time.Time
	nextReconnect time.Time
	nextExpiry    time.Time
	changed       bool
	out           []Command
}

type member struct {
	codec.Member
	// since is when the current state began.
	since time.Time
	// suspectedAt is when this host itself suspected the member or last repeated its probe; it is zero for a suspicion
	// learned from other hosts.
	suspectedAt time.Time
	// listed is set if the latest platform list contains the host.
	listed bool
	// leaving is set if the latest platform list marks the host as leaving; it is then not published as live.
	leaving bool
}

type probe struct {
	target   codec.Member
	sentAt   time.Time
	indirect bool
	// repeated is set if this probe repeats one of the same target that got no response.
	repeated bool
}

// Timing returns the timing in use.
func (p *Prober) Timing() Timing { return p.config.Timing }

// New returns a prober that knows only itself.
func New(config Config) *Prober {
	config.Self.State = codec.MemberStateAlive
	if config.Timing == (Timing{}) {
		config.Timing = DefaultTiming
	}
	return &Prober{
		config:   config,
		self:     config.Self,
		members:  make(map[identifier.HostID]*member),
		probes:   make(map[ProbeID]*probe),
		proven:   newFingerprintSet(),
		suspects: newFingerprintSet(),
		changed:  true,
	}
}

// Handle takes one event and returns the commands that follow from it.
func (p *Prober) Handle(now time.Time, event Event) []Command {
	p.out = nil
	switch e := event.(type) {
	case Tick:
		p.tick(now)
	case Listed:
		p.applyList(now, e.Hosts)
	case Received:
		p.applyMessage(now, e.Message)
		p.emit(Reply{Message: p.responseTo(e.Message)})
	case RelayRequested:
		p.relay(now, e.Message)
	case Responded:
		p.responded(now, e.ID, e.Response)
	case Failed:
		p.failed(e.ID)
	case Relayed:
		p.relayed(now, e)
	case Flagged:
		proven := p.proven.add(now, e.Proven)
		if suspects := p.suspects.add(now, e.Suspects); len(proven)+len(suspects) > 0 {
			p.spreadFlagged(now)
		}
	case Leave:
		p.leave(now)
	}
	// Building the list costs a sort of all members, so changes are published together with the next tick.
	if publishes(event) {
		p.publish()
	}
	return p.out
}

func publishes(event Event) bool {
	switch event.(type) {
	case Tick, Listed, Leave:
		return true
	default:
		return false
	}
}

func (p *Prober) emit(command Command) { p.out = append(p.out, command) }

func (p *Prober) publish() {
	if !p.changed {
		return
	}
	p.changed = false
	live := make([]codec.Member, 0, len(p.members)+1)
	if p.self.State == codec.MemberStateAlive {
		live = append(live, p.self)
	}
	for _, m := range p.members {
		if isLive(m.State) && !m.leaving {
			live = append(live, m.Member)
		}
	}
	slices.SortFunc(live, byID)
	p.emit(Publish{Self: p.self, Live: live, Joined: !p.memberListAt.IsZero()})
}

func isLive(state codec.MemberState) bool {
	return state == codec.MemberStateAlive || state == codec.MemberStateSuspect
}

func byID(a, b codec.Member) int {
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}

// applyList applies the platform's list: it adds unknown hosts and is authoritative for removals. An empty list is
// ignored: since hosts are running, it must be wrong.
func (p *Prober) applyList(now time.Time, hosts []ListedMember) {
	if len(hosts) == 0 {
		return
	}
	listed := make(map[identifier.HostID]bool, len(hosts))
	for _, h := range hosts {
		if h.Member.ID == p.self.ID {
			continue
		}
		listed[h.Member.ID] = true
		p.applyListed(now, h)
	}
	for _, id := range slices.Clone(p.order) {
		if m := p.members[id]; m.listed && !listed[id] {
			m.listed = false
			m.leaving = false
			p.markLeft(now, m)
		}
	}
}

func (p *Prober) applyListed(now time.Time, h ListedMember) {
	m, known := p.members[h.Member.ID]
	if !known {
		// The list carries no incarnation. Each host reads the list itself, so the new member is not passed on.
		m = &member{Member: h.Member, since: now}
		m.Incarnation = 0
		m.State = codec.MemberStateAlive
		p.members[m.ID] = m
		p.insert(m.ID)
	}
	p.changed = p.changed || !known || m.leaving != h.Leaving
	m.listed = true
	m.leaving = h.Leaving
}

// markLeft marks a host that the platform no longer lists as left. A host that is still running refutes this like a false
// suspicion.
func (p *Prober) markLeft(now time.Time, m *member) {
	left := m.Member
	left.State = codec.MemberStateLeft
	p.update(now, left)
}

func (p *Prober) leave(now time.Time) {
	if p.self.State == codec.MemberStateLeft {
		return
	}
	p.self.State = codec.MemberStateLeft
	p.changed = true
	for _, to := range p.pick(leaveProbes, "", isLive) {
		p.send(now, to)
	}
}
