package tunneler

import "time"

const (
	// hedgeDelay is how long a direct dial may take before other hosts are asked as well. A sound path takes at most some ten
	// milliseconds.
	hedgeDelay = 150 * time.Millisecond
	// cutMemory is how long an address is remembered as cut off after the last time that only another host reached it.
	cutMemory = 5 * time.Second
	// minCutAddresses is the number of addresses that only other hosts reach, from which on all addresses count as cut off.
	minCutAddresses = 2
	// reachMemory is how long a direct connection shows that this host reaches upstreams.
	reachMemory = 2 * time.Second
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// DirectOpened means that this host opened a connection to an address itself.
type DirectOpened struct{ Address string }

// OnlyRelayed means that another host opened a connection to an address to which this host failed to open one.
type OnlyRelayed struct{ Address string }

func (DirectOpened) isEvent() {}
func (OnlyRelayed) isEvent()  {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

// LogLost logs that this host has lost its own path to all upstreams that it tried lately.
type LogLost struct{ Addresses int }

// LogRegained logs that this host reaches an upstream itself again.
type LogRegained struct{ Address string }

func (LogLost) isCommand()     {}
func (LogRegained) isCommand() {}

// Paths is the state machine of this host's own paths to the upstreams. It is not safe for concurrent use.
type Paths struct {
	// lastDirect is when this host last opened a connection itself.
	lastDirect time.Time
	// cut holds the addresses that only other hosts reach, and when that was last seen.
	cut map[string]time.Time
	// lost is set from LogLost to LogRegained.
	lost bool
}

// NewPaths returns a Paths that knows of no broken path.
func NewPaths() *Paths { return &Paths{cut: make(map[string]time.Time)} }

// Handle applies one event.
func (p *Paths) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case DirectOpened:
		p.lastDirect = now
		delete(p.cut, e.Address)
		if p.lost {
			p.lost = false
			return []Command{LogRegained(e)}
		}
	case OnlyRelayed:
		for address, seen := range p.cut {
			if now.Sub(seen) > cutMemory {
				delete(p.cut, address)
			}
		}
		p.cut[e.Address] = now
		if count := p.cutSinceDirect(now); count >= minCutAddresses && !p.lost {
			p.lost = true
			return []Command{LogLost{Addresses: count}}
		}
	}
	return nil
}

// cutSinceDirect returns the number of addresses that were found cut off after the last direct connection.
func (p *Paths) cutSinceDirect(now time.Time) int {
	count := 0
	for _, seen := range p.cut {
		if seen.After(p.lastDirect) && now.Sub(seen) <= cutMemory {
			count++
		}
	}
	return count
}

// HedgeDelay returns how long a direct dial of an address may take before other hosts are asked as well; zero means at once.
func (p *Paths) HedgeDelay(now time.Time, address string) time.Duration {
	if seen, ok := p.cut[address]; ok && now.Sub(seen) <= cutMemory || p.Lost(now) {
		return 0
	}
	return hedgeDelay
}

// Lost reports whether only other hosts have reached several addresses lately.
func (p *Paths) Lost(now time.Time) bool { return p.cutSinceDirect(now) >= minCutAddresses }

// Reaches reports whether this host has opened a connection itself lately.
func (p *Paths) Reaches(now time.Time) bool {
	return !p.lastDirect.IsZero() && now.Sub(p.lastDirect) <= reachMemory
}
