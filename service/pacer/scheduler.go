package pacer

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// lowestRate is the rate, in requests a second, of an upstream that names a lower limit: a request now and then must show
	// when the limit ends.
	lowestRate = 0.1
	// burstTime is the time whose unused turns may be used at once.
	burstTime = 500 * time.Millisecond
	// maxAhead is how far ahead turns are handed out.
	maxAhead = time.Second
	// retrySpread is the time over which the hosts that get no turns ask again.
	retrySpread = time.Second
	// maxTurns bounds the turns of one reply.
	maxTurns = 64
	// substituteDivisor divides the rate of a host that is not the first choice for an upstream.
	substituteDivisor = 2
	// limitMemory is how long the limit of an upstream is remembered without any request or response.
	limitMemory = 10 * time.Minute
)

// Scheduler is the state machine that hands out the turns for upstreams, spaced according to their limits. It is not safe for
// concurrent use.
type Scheduler struct {
	upstreams map[identifier.UpstreamID]*schedule
}

type schedule struct {
	limit limit
	// next is the time of the next turn. retry is the time of the turn for which the next host without one may ask again, so that
	// not all of them come back for the same turn.
	next, retry time.Time
	usedAt      time.Time
}

// NewScheduler returns a Scheduler that knows no limits.
func NewScheduler() *Scheduler {
	return &Scheduler{upstreams: make(map[identifier.UpstreamID]*schedule)}
}

// Grant hands out as many turns as the limit allows, up to the requested number. The reply has no turns if the upstream names no
// limit any more, as far as this host knows, or if all turns of the next second are handed out. firstChoice reports whether this
// host is the one that should hand out turns for the upstream.
func (s *Scheduler) Grant(now time.Time, request codec.TurnRequest, firstChoice bool) codec.TurnReply {
	known, ok := s.upstreams[request.Upstream]
	if !ok {
		known = &schedule{next: now}
		s.upstreams[request.Upstream] = known
	}
	known.usedAt = now
	known.limit.hear(request.Limit.PerSecond, now.Add(-request.Limit.Age.Std()))
	reply := codec.TurnReply{Limit: known.limit.message(now)}
	if !known.limit.limited() || request.Count <= 0 {
		return reply
	}
	interval := time.Duration(float64(time.Second) / max(known.limit.perSecond, lowestRate))
	if !firstChoice {
		interval *= substituteDivisor
	}
	if earliest := now.Add(-burstTime); known.next.Before(earliest) {
		known.next = earliest
	}
	for range min(request.Count, maxTurns) {
		wait := max(known.next.Sub(now), 0)
		if wait > maxAhead {
			break
		}
		reply.Turns = append(reply.Turns, identifier.Duration(wait))
		known.next = known.next.Add(interval)
	}
	if len(reply.Turns) == 0 {
		if known.retry.Before(known.next) || known.retry.Sub(known.next) > retrySpread {
			known.retry = known.next
		}
		reply.RetryAfter = identifier.Duration(known.retry.Sub(now) - maxAhead)
		known.retry = known.retry.Add(interval)
	}
	return reply
}

// Expire forgets the upstreams for which nobody has requested turns for limitMemory.
func (s *Scheduler) Expire(now time.Time) {
	for id, known := range s.upstreams {
		if now.Sub(known.usedAt) > limitMemory {
			delete(s.upstreams, id)
		}
	}
}
