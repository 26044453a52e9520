package lister

import (
	"sort"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// CelerygapPool is the pool under which the platform lists celerygap's own hosts, the seeds of the membership.
const CelerygapPool identifier.PoolName = "celerygap"

// Defaults of Config.
const (
	DefaultFirstOutage   = time.Second
	DefaultLongestOutage = 10 * time.Second
	DefaultLeavingHold   = 30 * time.Second
)

const (
	// leavingRefusals is the number of refusals in a row with EvidenceLeaving after which an upstream counts as leaving.
	leavingRefusals = 2
	// restartThreshold is the number of lists in a row with a lower revision after which one is accepted: a single one may
	// come from a stale replica of the platform, several mean that the platform restarted its count of revisions.
	restartThreshold = 3
	// noRevision is lower than that of any list.
	noRevision = -1
	// announcementMemory is how long the announcement of an upstream is remembered while the list does not contain the process
	// that was known then: an entry that lapsed during an outage of the store comes back within seconds.
	announcementMemory = 5 * time.Minute
	// failureResetTime is the time since the last failure after which an outage starts with Config.FirstOutage again.
	failureResetTime = time.Minute
)

// Config configures a Lister; zero values mean the defaults.
type Config struct {
	// FirstOutage is how long an upstream is not used after its first failure; the time doubles with each further one.
	FirstOutage time.Duration
	// LongestOutage bounds how long an upstream is not used after a failure.
	LongestOutage time.Duration
	// LeavingHold is how long an upstream counts as leaving because of refusals alone, without the list.
	LeavingHold time.Duration
}

func (c Config) withDefaults() Config {
	if c.FirstOutage <= 0 {
		c.FirstOutage = DefaultFirstOutage
	}
	if c.LongestOutage <= 0 {
		c.LongestOutage = DefaultLongestOutage
	}
	if c.LeavingHold <= 0 {
		c.LeavingHold = DefaultLeavingHold
	}
	return c
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

// ListReceived carries a list of hosts from the platform.
type ListReceived struct{ List codec.HostList }

// EvidenceReported carries what an attempt showed about an upstream.
type EvidenceReported struct {
	ID       identifier.UpstreamID
	Evidence connector.Evidence
}

// Tick advances the time of the state machine: outages expire.
type Tick struct{}

func (ListReceived) isEvent()     {}
func (EvidenceReported) isEvent() {}
func (Tick) isEvent()             {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

// Publish replaces what Driver's Pool, Listed and Seeds return. Pools holds only usable upstreams, leaving ones included.
type Publish struct {
	Pools map[identifier.PoolName][]connector.Upstream
	// Listed holds the list entries behind Pools; an upstream that counts as leaving on this host has that state.
	Listed map[identifier.PoolName][]codec.ListedHost
	Seeds  []codec.ListedHost
}

// LogLeaving logs that an upstream has begun to count as leaving.
type LogLeaving struct {
	ID     identifier.UpstreamID
	Source LeavingSource
}

// LogAnnouncementDropped logs that the announcement of an upstream no longer counts, because the list has an entry of a later
// process with the same id.
type LogAnnouncementDropped struct {
	ID identifier.UpstreamID
	// AnnouncedBy is the start of the announcing process in the list at that time, or zero; ListedStart is that of the entry.
	AnnouncedBy, ListedStart time.Time
	// Age is the time since the announcement.
	Age time.Duration
}

func (Publish) isCommand()                {}
func (LogLeaving) isCommand()             {}
func (LogAnnouncementDropped) isCommand() {}

// LeavingSource is what showed that an upstream is leaving, as it appears in logs.
type LeavingSource string

// The sources of the state leaving.
const (
	SourceList         LeavingSource = "list"
	SourceAnnouncement LeavingSource = "announcement"
	SourceRefusals     LeavingSource = "refusals"
)

// Lister is the state machine that decides which upstreams are known and usable. It is not safe for concurrent use.
type Lister struct {
	config   Config
	revision int64
	// lowerLists counts the lists in a row whose revision is lower than the current one.
	lowerLists int
	hosts      map[identifier.UpstreamID]*host
	// announcements holds the upstreams that stated in a response that they are leaving, listed or not.
	announcements map[identifier.UpstreamID]announcement
}

// announcement records that an upstream stated that it is leaving.
type announcement struct {
	// listed reports whether the list had an entry of the upstream then, and startedAt is the start in it. The entry may lag, so
	// it may be that of a former process.
	listed    bool
	startedAt time.Time
	// statedAt is when the upstream last stated it.
	statedAt time.Time
	// lastSeen is when the upstream last stated it or was last listed.
	lastSeen time.Time
}

// by reports whether the process of a list entry may have stated that it is leaving: it has the start that was known then, or
// had started by then. The latter compares the clocks of two machines, so it holds for announcementMemory only.
func (a announcement) by(now time.Time, listed codec.ListedHost) bool {
	if a.listed && listed.StartedAt.Equal(a.startedAt) {
		return true
	}
	return !listed.StartedAt.After(a.statedAt) && now.Sub(a.statedAt) <= announcementMemory
}

type host struct {
	listed codec.ListedHost
	// failures counts failures since the last complete response.
	failures    int
	lastFailure time.Time
	// outUntil is the end of an outage: until then the host is not used.
	outUntil time.Time
	// refusals counts the refusals in a row with EvidenceLeaving.
	refusals int
	// leavingUntil is how long the host counts as leaving because of refusals.
	leavingUntil time.Time
	// announced is set while an announcement of the host counts. Neither a newer entry of its process nor later responses end it.
	announced bool
}

// New returns a Lister that knows no hosts.
func New(config Config) *Lister {
	return &Lister{
		config: config.withDefaults(), revision: noRevision, hosts: make(map[identifier.UpstreamID]*host),
		announcements: make(map[identifier.UpstreamID]announcement),
	}
}

// Handle applies one event; it returns a Publish if a list was accepted or the state of an upstream changed.
func (l *Lister) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case ListReceived:
		return l.receive(now, e.List)
	case EvidenceReported:
		return l.report(now, e)
	case Tick:
		return l.tick(now)
	default:
		return nil
	}
}

func (l *Lister) receive(now time.Time, list codec.HostList) []Command {
	if !l.accepts(list.Revision) {
		return nil
	}
	l.revision = list.Revision
	var commands []Command
	next := make(map[identifier.UpstreamID]*host, len(list.Hosts))
	for _, listed := range list.Hosts {
		if dropped, ok := l.dropAnnouncement(now, listed); ok {
			commands = append(commands, dropped)
		}
		h, startedLeaving := l.merge(now, listed)
		next[listed.ID] = h
		if startedLeaving {
			commands = append(commands, LogLeaving{ID: listed.ID, Source: h.leavingSource()})
		}
	}
	l.hosts = next
	return append(commands, l.publish(now))
}

// accepts reports whether a list with this revision replaces the current one.
func (l *Lister) accepts(revision int64) bool {
	if revision >= l.revision {
		l.lowerLists = 0
		return revision > l.revision
	}
	l.lowerLists++
	if l.lowerLists < restartThreshold {
		return false
	}
	l.lowerLists = 0
	return true
}

// merge combines a list entry with what is known of its host, and reports whether the host is newly listed as leaving. A
// host once listed as leaving stays so while its entry remains in the list with the same address and start.
func (l *Lister) merge(now time.Time, listed codec.ListedHost) (h *host, startedLeaving bool) {
	announced := l.recallAnnouncement(now, listed)
	known, ok := l.hosts[listed.ID]
	if !ok || known.listed.Address != listed.Address || !known.listed.StartedAt.Equal(listed.StartedAt) {
		return &host{listed: listed, announced: announced}, announced || listed.State == codec.HostStateLeaving
	}
	wasLeaving := known.listed.State == codec.HostStateLeaving
	known.listed = listed
	if wasLeaving {
		known.listed.State = codec.HostStateLeaving
	}
	known.announced = announced
	known.restore()
	return known, !wasLeaving && listed.State == codec.HostStateLeaving
}

// dropAnnouncement forgets the announcement of an earlier process with the same id, and reports whether there was one.
func (l *Lister) dropAnnouncement(now time.Time, listed codec.ListedHost) (dropped LogAnnouncementDropped, ok bool) {
	known, ok := l.announcements[listed.ID]
	if !ok || known.by(now, listed) {
		return LogAnnouncementDropped{}, false
	}
	delete(l.announcements, listed.ID)
	return LogAnnouncementDropped{
		ID: listed.ID, AnnouncedBy: known.startedAt, ListedStart: listed.StartedAt, Age: now.Sub(known.statedAt),
	}, true
}

// recallAnnouncement reports whether the process of a list entry stated that it is leaving.
func (l *Lister) recallAnnouncement(now time.Time, listed codec.ListedHost) bool {
	known, ok := l.announcements[listed.ID]
	if !ok {
		return false
	}
	known.lastSeen = now
	l.announcements[listed.ID] = known
	return true
}

// restore ends an outage and a leaving state that follows from refusals. The count of failures stays, so that the outage
// after another failure is longer.
func (h *host) restore() {
	h.outUntil = time.Time{}
	h.leavingUntil = time.Time{}
	h.refusals = 0
}

func (l *Lister) report(now time.Time, e EvidenceReported) []Command {
	h, ok := l.hosts[e.ID]
	if e.Evidence == connector.EvidenceAnnouncedLeaving {
		l.recordAnnouncement(now, e.ID, h)
	}
	if !ok {
		return nil
	}
	wasUsable, wasLeaving := h.usable(now), h.leaving(now)
	l.apply(now, h, e.Evidence)
	var commands []Command
	if !wasLeaving && h.leaving(now) {
		commands = append(commands, LogLeaving{ID: e.ID, Source: h.leavingSource()})
	}
	if wasUsable != h.usable(now) || wasLeaving != h.leaving(now) {
		commands = append(commands, l.publish(now))
	}
	return commands
}

// recordAnnouncement remembers that an upstream stated that it is leaving; h is nil if the list does not contain it.
func (l *Lister) recordAnnouncement(now time.Time, id identifier.UpstreamID, h *host) {
	stated := announcement{statedAt: now, lastSeen: now}
	if h != nil {
		stated.listed = true
		stated.startedAt = h.listed.StartedAt
	}
	l.announcements[id] = stated
}

func (l *Lister) apply(now time.Time, h *host, evidence connector.Evidence) {
	switch evidence {
	case connector.EvidenceResponded:
		h.restore()
		h.failures = 0
	case connector.EvidenceConnectFailed, connector.EvidenceConnectionLost:
		l.fail(now, h)
	case connector.EvidenceLeaving:
		h.refusals++
		if h.refusals >= leavingRefusals {
			h.leavingUntil = now.Add(l.config.LeavingHold)
		}
	case connector.EvidenceAnnouncedLeaving:
		h.announced = true
	case connector.EvidenceRefused:
		// A full engine refuses as well, so a refusal alone shows only that the upstream is alive.
		h.outUntil = time.Time{}
		h.refusals = 0
	}
}

// fail starts an outage. Failures during an outage come from attempts that ran at the same time as the first failed one, so
// they do not lengthen it.
func (l *Lister) fail(now time.Time, h *host) {
	h.refusals = 0
	if now.Before(h.outUntil) {
		return
	}
	if now.Sub(h.lastFailure) > failureResetTime {
		h.failures = 0
	}
	outage := l.config.FirstOutage
	for range h.failures {
		outage = min(2*outage, l.config.LongestOutage)
	}
	h.failures++
	h.lastFailure = now
	h.outUntil = now.Add(outage)
}

func (l *Lister) tick(now time.Time) []Command {
	for id, stated := range l.announcements {
		if _, listed := l.hosts[id]; !listed && now.Sub(stated.lastSeen) > announcementMemory {
			delete(l.announcements, id)
		}
	}
	changed := false
	for _, h := range l.hosts {
		changed = h.expire(now) || changed
	}
	if !changed {
		return nil
	}
	return []Command{l.publish(now)}
}

// expire ends an outage, or a leaving state that follows from refusals, whose time is over; it reports whether it ended one.
func (h *host) expire(now time.Time) bool {
	expired := false
	if !h.outUntil.IsZero() && !now.Before(h.outUntil) {
		h.outUntil = time.Time{}
		expired = true
	}
	if !h.leavingUntil.IsZero() && !now.Before(h.leavingUntil) {
		h.leavingUntil = time.Time{}
		h.refusals = 0
		expired = true
	}
	return expired
}

func (h *host) usable(now time.Time) bool { return !now.Before(h.outUntil) }

func (h *host) leaving(now time.Time) bool {
	return h.listed.State == codec.HostStateLeaving || h.announced || now.Before(h.leavingUntil)
}

// leavingSource returns what shows that a host is leaving; of several sources, the one that holds longest.
func (h *host) leavingSource() LeavingSource {
	switch {
	case h.announced:
		return SourceAnnouncement
	case h.listed.State == codec.HostStateLeaving:
		return SourceList
	default:
		return SourceRefusals
	}
}

func (l *Lister) publish(now time.Time) Publish {
	p := Publish{
		Pools: make(map[identifier.PoolName][]connector.Upstream), Listed: make(map[identifier.PoolName][]codec.ListedHost),
	}
	for _, h := range l.hosts {
		if h.listed.Pool == CelerygapPool {
			p.Seeds = append(p.Seeds, h.listed)
			continue
		}
		if h.usable(now) {
			p.Pools[h.listed.Pool] = append(p.Pools[h.listed.Pool], h.upstream(now))
			p.Listed[h.listed.Pool] = append(p.Listed[h.listed.Pool], h.entry(now))
		}
	}
	sort.Slice(p.Seeds, func(i, j int) bool { return p.Seeds[i].ID < p.Seeds[j].ID })
	for _, pool := range p.Pools {
		sort.Slice(pool, func(i, j int) bool { return pool[i].ID < pool[j].ID })
	}
	for _, listed := range p.Listed {
		sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	}
	return p
}

// entry returns the list entry with the state leaving if the host counts as leaving.
func (h *host) entry(now time.Time) codec.ListedHost {
	entry := h.listed
	if h.leaving(now) {
		entry.State = codec.HostStateLeaving
	}
	return entry
}

func (h *host) upstream(now time.Time) connector.Upstream {
	return connector.Upstream{
		ID:        h.listed.ID,
		Address:   h.listed.Address,
		Zone:      h.listed.Zone,
		Region:    h.listed.Region,
		Software:  h.listed.Software,
		StartedAt: h.listed.StartedAt,
		Leaving:   h.leaving(now),
	}
}
