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
	// rejoinGap is the length of a freeze after which a host asks for a whole member list. After shorter ones the others
	// have not declared it dead.
	rejoinGap = 15 * time.Second
	// listInterval bounds the whole member lists that a host asks for: 45 kB each with 360 hosts.
	listInterval = 15 * time.Second
	// expiryInterval is how often the states of all members are checked.
	expiryInterval = 500 * time.Millisecond
	// forgetAfter is how long a dead host is remembered, so that late gossip does not bring it back.
	forgetAfter = time.Hour
	// freezeGap is the time between two ticks from which this host takes itself for frozen.
	freezeGap = 3 * time.Second
)

// Timing is the timing of section 5.2 of docs/design.md.
type Timing struct {
	// ProbeInterval is the time between two probes of one host.
	ProbeInterval time.Duration
	// DirectTimeout is how long a probe may take before other hosts are asked to try. It covers a dial and a round
	// trip between regions (12 ms each way) on a busy host.
	DirectTimeout time.Duration
	// ProbeTimeout is how long a probe may take, the attempts of other hosts included.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspect has to refute.
	SuspectTimeout time.Duration
	// HearsayTimeout is how long a host waits that heard of the suspicion from others. It is longer because the
	// refutation reaches the accuser first; with 6 s, one of 12 hosts declared a live one dead when the refutation took
	// 6.2 s.
	HearsayTimeout time.Duration
	// ReconnectInterval is the time between two probes of a host that is believed dead, so that a healed partition joins.
	ReconnectInterval time.Duration
}

// DefaultTiming keeps a host of a large fleet within 2 KB/s.
var DefaultTiming = Timing{
	ProbeInterval: 2 * time.Second, DirectTimeout: 500 * time.Millisecond, ProbeTimeout: 1500 * time.Millisecond,
	SuspectTimeout: 6 * time.Second, HearsayTimeout: 9 * time.Second, ReconnectInterval: 5 * time.Second,
}

// QuickTiming finds a dead host of a fleet of some ten hosts within about three seconds, at four times the messages.
var QuickTiming = Timing{
	ProbeInterval: 500 * time.Millisecond, DirectTimeout: 300 * time.Millisecond, ProbeTimeout: 800 * time.Millisecond,
	SuspectTimeout: 1200 * time.Millisecond, HearsayTimeout: 1800 * time.Millisecond, ReconnectInterval: 1500 * time.Millisecond,
}

// The sizes of messages and fan-outs.
const (
	// MaxUpdates bounds the piggybacked member updates of a message.
	MaxUpdates = 6
	// partitionShare is the part (one in so many) of the members whose death is taken for a partition.
	partitionShare = 8
	// maxFlagged bounds the piggybacked fingerprints of each kind in a message. A crash makes suspects of all that one
	// host had in flight on the engine, which are at most its slots.
	maxFlagged = 16
	// maxFlaggedKept bounds the memory for fingerprints of each kind; the ones that expire first go first.
	maxFlaggedKept = 1024
	// indirectProbes is how many hosts are asked to probe a host that does not respond.
	indirectProbes = 2
	// joinProbes is how many seeds a host contacts at once until one answers.
	joinProbes = 3
	// flaggedMargin is added to the binary logarithm of the number of hosts: so many hosts does a host tell at once of
	// fingerprints that are new to it. With 4 each, one of 40 hosts was left out in one of two runs.
	flaggedMargin = 2
	// leaveProbes is how many hosts a leaving host tells directly.
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

// Prober decides about probes and membership.
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

	// streak counts the probes in a row that got no answer.
	streak int
	// listedAt is when a host last sent its whole member list.
	listedAt      time.Time
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
	// accusedAt is when this host itself last suspected the member; zero for a suspicion heard from others.
	accusedAt time.Time
	// listed tells that the latest platform list has the host.
	listed bool
	// leaving tells that the latest platform list has the host as leaving; it is then not published as live.
	leaving bool
}

type probe struct {
	target   codec.Member
	sentAt   time.Time
	indirect bool
	// repeated tells that the probe before this one had the same target.
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
		p.list(now, e.Hosts)
	case Received:
		p.absorb(now, e.Message)
		p.emit(Reply{Message: p.replyTo(e.Message)})
	case RelayRequested:
		p.relay(now, e.Message)
	case Answered:
		p.answered(now, e.ID, e.Reply)
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
	p.emit(Publish{Self: p.self, Live: live})
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

// list applies the platform's list: it seeds unknown hosts and is authoritative for removals. An empty list is ignored,
// because a platform that lists none of the hosts that are running is mistaken.
func (p *Prober) list(now time.Time, hosts []ListedMember) {
	if len(hosts) == 0 {
		return
	}
	listed := make(map[identifier.HostID]bool, len(hosts))
	for _, h := range hosts {
		if h.Member.ID == p.self.ID {
			continue
		}
		listed[h.Member.ID] = true
		p.listOne(now, h)
	}
	for _, id := range slices.Clone(p.order) {
		if m := p.members[id]; m.listed && !listed[id] {
			m.listed = false
			m.leaving = false
			p.remove(now, m)
		}
	}
}

func (p *Prober) listOne(now time.Time, h ListedMember) {
	m, known := p.members[h.Member.ID]
	if !known {
		// The list does not know the incarnation. Each host reads the list itself, so this is not passed on.
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

// remove takes a host out at the platform's word. A host that is still running refutes it like a false suspicion.
func (p *Prober) remove(now time.Time, m *member) {
	gone := m.Member
	gone.State = codec.MemberStateLeft
	p.update(now, gone)
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
