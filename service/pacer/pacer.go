package pacer

import (
	"math"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// turnLifetime is how long a turn may be used; requests that are sent much later than planned would come in a burst.
	turnLifetime = time.Second
	// requestTime is the time whose turns are requested at once at most, so that a host that has many requests waiting does not
	// take turns that it uses late.
	requestTime = 250 * time.Millisecond
	// minRetryDelay is the least time between a request for turns that got none and the next one.
	minRetryDelay = 20 * time.Millisecond
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// ResponseReceived delivers the limit in a response of an upstream.
type ResponseReceived struct {
	Upstream identifier.UpstreamID
	// PerSecond is zero if the response named no limit.
	PerSecond float64
	// SentAt is when the request was sent. A response without a limit ends a limit only if its request was sent after the limit
	// was named, because responses on different connections overtake each other.
	SentAt time.Time
}

// TurnWanted asks whether a request may be sent to an upstream now; the commands contain either Proceed, which uses up a turn,
// or Wait.
type TurnWanted struct{ Upstream identifier.UpstreamID }

// TurnsReceived delivers the reply to a RequestTurns.
type TurnsReceived struct {
	Upstream identifier.UpstreamID
	Reply    codec.TurnReply
}

// RequestFailed means that the host that hands out the turns did not reply.
type RequestFailed struct{ Upstream identifier.UpstreamID }

// Tick lets the memory of limits expire.
type Tick struct{}

func (ResponseReceived) isEvent() {}
func (TurnWanted) isEvent()       {}
func (TurnsReceived) isEvent()    {}
func (RequestFailed) isEvent()    {}
func (Tick) isEvent()             {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

// Proceed lets a request be sent.
type Proceed struct{}

// Wait means that there is no turn. Earliest is when there can be one, or zero if that is not known.
type Wait struct{ Earliest time.Time }

// RequestTurns requests turns for an upstream, or reports its limit, to the host that hands them out.
type RequestTurns struct{ Request codec.TurnRequest }

// LogLimit logs that an upstream named another limit; zero means that it names none any more.
type LogLimit struct {
	Upstream  identifier.UpstreamID
	PerSecond float64
}

func (Proceed) isCommand()      {}
func (Wait) isCommand()         {}
func (RequestTurns) isCommand() {}
func (LogLimit) isCommand()     {}

// Pacer is the state machine of the turns that this host holds for limited upstreams. It is not safe for concurrent use.
type Pacer struct {
	upstreams map[identifier.UpstreamID]*upstream
}

type upstream struct {
	limit  limit
	usedAt time.Time
	// turns holds the times from which on each turn may be used, in order.
	turns []time.Time
	// wanted counts the requests that found no turn since turns were requested last.
	wanted int
	// requested is set while a RequestTurns is under way; the next one follows at requestAt at the earliest.
	requested bool
	requestAt time.Time
}

// New returns a Pacer that knows no limits.
func New() *Pacer { return &Pacer{upstreams: make(map[identifier.UpstreamID]*upstream)} }

// Handle applies one event.
func (p *Pacer) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case ResponseReceived:
		return p.receiveResponse(now, e)
	case TurnWanted:
		return p.takeTurn(now, e.Upstream)
	case TurnsReceived:
		return p.receiveTurns(now, e)
	case RequestFailed:
		if u, ok := p.upstreams[e.Upstream]; ok {
			u.requested = false
		}
	case Tick:
		for id, u := range p.upstreams {
			if now.Sub(u.usedAt) > limitMemory {
				delete(p.upstreams, id)
			}
		}
	}
	return nil
}

func (p *Pacer) receiveResponse(now time.Time, e ResponseReceived) []Command {
	u, known := p.upstreams[e.Upstream]
	if e.PerSecond <= 0 {
		if !known || !u.limit.limited() || !u.limit.hear(0, e.SentAt) {
			return nil
		}
		u.turns = nil
		report := RequestTurns{Request: codec.TurnRequest{Upstream: e.Upstream, Limit: u.limit.message(now)}}
		return []Command{LogLimit{Upstream: e.Upstream}, report}
	}
	if !known {
		u = &upstream{}
		p.upstreams[e.Upstream] = u
	}
	u.usedAt = now
	if u.limit.hear(e.PerSecond, now) {
		return []Command{LogLimit{Upstream: e.Upstream, PerSecond: e.PerSecond}}
	}
	return nil
}

func (p *Pacer) takeTurn(now time.Time, id identifier.UpstreamID) []Command {
	u, ok := p.upstreams[id]
	if !ok || !u.limit.limited() {
		return []Command{Proceed{}}
	}
	u.usedAt = now
	u.dropExpired(now)
	if u.hasTurn(now) {
		u.turns = u.turns[1:]
		return []Command{Proceed{}}
	}
	u.wanted++
	if u.requested || now.Before(u.requestAt) {
		return []Command{Wait{Earliest: u.earliest(now)}}
	}
	most := max(1, int(math.Ceil(u.limit.perSecond*requestTime.Seconds())))
	request := codec.TurnRequest{Upstream: id, Limit: u.limit.message(now), Count: min(u.wanted, most)}
	u.wanted = 0
	u.requested = true
	return []Command{Wait{Earliest: u.earliest(now)}, RequestTurns{Request: request}}
}

func (p *Pacer) receiveTurns(now time.Time, e TurnsReceived) []Command {
	u, ok := p.upstreams[e.Upstream]
	if !ok {
		return nil
	}
	u.requested = false
	var commands []Command
	if u.limit.hear(e.Reply.Limit.PerSecond, now.Add(-e.Reply.Limit.Age.Std())) {
		commands = append(commands, LogLimit{Upstream: e.Upstream, PerSecond: u.limit.perSecond})
	}
	if !u.limit.limited() {
		u.turns = nil
		return commands
	}
	u.dropExpired(now)
	for _, wait := range e.Reply.Turns {
		u.turns = append(u.turns, now.Add(wait.Std()))
	}
	slices.SortFunc(u.turns, time.Time.Compare)
	if len(e.Reply.Turns) == 0 {
		u.requestAt = now.Add(max(e.Reply.RetryAfter.Std(), minRetryDelay))
	}
	return commands
}

// Available reports whether a request may be sent to an upstream now.
func (p *Pacer) Available(now time.Time, id identifier.UpstreamID) bool {
	u, ok := p.upstreams[id]
	if !ok || !u.limit.limited() {
		return true
	}
	u.dropExpired(now)
	return u.hasTurn(now)
}

// Limit returns the requests a second that an upstream takes from all hosts together, or zero if it names no limit.
func (p *Pacer) Limit(id identifier.UpstreamID) float64 {
	if u, ok := p.upstreams[id]; ok {
		return u.limit.perSecond
	}
	return 0
}

// Limited returns the number of upstreams that name a limit.
func (p *Pacer) Limited() int {
	count := 0
	for _, u := range p.upstreams {
		if u.limit.limited() {
			count++
		}
	}
	return count
}

func (u *upstream) hasTurn(now time.Time) bool { return len(u.turns) > 0 && !now.Before(u.turns[0]) }

func (u *upstream) dropExpired(now time.Time) {
	u.turns = slices.DeleteFunc(u.turns, func(from time.Time) bool { return now.Sub(from) > turnLifetime })
}

// earliest returns when the next turn can be used: one that is held already, or one that can be requested.
func (u *upstream) earliest(now time.Time) time.Time {
	switch {
	case len(u.turns) > 0:
		return u.turns[0]
	case now.Before(u.requestAt):
		return u.requestAt
	default:
		return time.Time{}
	}
}
