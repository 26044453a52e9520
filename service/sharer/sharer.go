package sharer

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// evenFraction is the fraction of each limit that is divided evenly, so that a host can serve its first requests before
	// the others know of its demand. The rest is divided by demand.
	evenFraction = 0.3
	// smoothingFactor is the weight of the newest rate in the moving average.
	smoothingFactor = 0.5
	// demandLifetime is how long a host's demand is counted after its last report.
	demandLifetime = 10 * time.Second
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// MembersChanged replaces the live members.
type MembersChanged struct{ Live []identifier.HostID }

// DemandReported carries the requests that each host has counted since its start, collected at one time.
type DemandReported struct {
	At    time.Time
	Hosts []codec.HostStatus
}

func (MembersChanged) isEvent() {}
func (DemandReported) isEvent() {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

// SetShare sets the fraction of an entry's limits that this host may use.
type SetShare struct {
	Entry identifier.EntryName
	Share float64
}

// SetDefault sets the fraction for the entries that have no SetShare.
type SetDefault struct{ Share float64 }

func (SetShare) isCommand()   {}
func (SetDefault) isCommand() {}

// Config configures a Sharer.
type Config struct {
	Self identifier.HostID
}

// Sharer is the state machine that decides which fraction of each limit this host may use. The fractions of hosts that know
// the same members and the same demand add up to one.
type Sharer struct {
	config Config
	live   []identifier.HostID
	rates  map[demandKey]*rate
}

type demandKey struct {
	host  identifier.HostID
	entry identifier.EntryName
}

// rate is the demand of one host for one entry.
type rate struct {
	count     int64
	at        time.Time
	perSecond float64 // moving average
	// reportedAt is the time of the last report by this host's clock, which alone decides when a rate expires.
	reportedAt time.Time
}

// New returns a state machine that gives this host all of each limit until it knows other hosts.
func New(config Config) *Sharer {
	return &Sharer{config: config, live: []identifier.HostID{config.Self}, rates: make(map[demandKey]*rate)}
}

// Handle applies one event and returns commands that set all shares anew.
func (s *Sharer) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case MembersChanged:
		s.live = slices.Clone(e.Live)
		if !slices.Contains(s.live, s.config.Self) {
			s.live = append(s.live, s.config.Self)
		}
	case DemandReported:
		s.observe(now, e)
	}
	s.expire(now)
	return s.shares()
}

func (s *Sharer) observe(now time.Time, report DemandReported) {
	for _, host := range report.Hosts {
		for _, demand := range host.Demand {
			key := demandKey{host: host.Member.ID, entry: demand.Entry}
			s.updateRate(report.At, key, demand.Requests)
			s.rates[key].reportedAt = now
		}
	}
}

func (s *Sharer) updateRate(at time.Time, key demandKey, count int64) {
	known, ok := s.rates[key]
	if !ok || count < known.count {
		// A rate needs two counts; a lower count means that the host has restarted and counts anew.
		s.rates[key] = &rate{count: count, at: at}
		return
	}
	elapsed := at.Sub(known.at).Seconds()
	if elapsed <= 0 {
		return
	}
	newest := float64(count-known.count) / elapsed
	known.perSecond += smoothingFactor * (newest - known.perSecond)
	known.count, known.at = count, at
}

// expire deletes the rates of hosts that are not live or have not reported for demandLifetime.
func (s *Sharer) expire(now time.Time) {
	for key, known := range s.rates {
		if now.Sub(known.reportedAt) > demandLifetime || !slices.Contains(s.live, key.host) {
			delete(s.rates, key)
		}
	}
}

func (s *Sharer) shares() []Command {
	even := 1 / float64(len(s.live))
	commands := []Command{SetDefault{Share: even}}
	totals := make(map[identifier.EntryName]float64)
	for key, known := range s.rates {
		totals[key.entry] += known.perSecond
	}
	entries := make([]identifier.EntryName, 0, len(totals))
	for entry := range totals {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b identifier.EntryName) int { return cmp.Compare(a, b) })
	for _, entry := range entries {
		commands = append(commands, SetShare{Entry: entry, Share: s.share(entry, totals[entry], even)})
	}
	return commands
}

func (s *Sharer) share(entry identifier.EntryName, total, even float64) float64 {
	if total <= 0 {
		return even
	}
	var own float64
	if known, ok := s.rates[demandKey{host: s.config.Self, entry: entry}]; ok {
		own = known.perSecond
	}
	return evenFraction*even + (1-evenFraction)*own/total
}
