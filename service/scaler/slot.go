package scaler

import (
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

const (
	// refusedPause is how long a kind and zone of which no engines are available is not asked again.
	refusedPause = 5 * time.Second
	// preemptedPause is how long no preemptible engines are ordered in a zone in which some were taken away: the platform needed
	// them for others.
	preemptedPause = 15 * time.Second
	// retryDelay is the wait before an order without an effect is repeated.
	retryDelay = time.Second
	// lateCall is how long a call without a response may still be carried out, after newer ones. The order is sent once more then.
	lateCall = 10 * time.Second
	// steadyTime is how long the number of listed engines must have been the same before missing engines are given up: an order that
	// counts on an incomplete list would take engines away.
	steadyTime = 10 * time.Second
)

// place is a kind of engines in a zone.
type place struct {
	zone        identifier.Zone
	preemptible bool
}

// stock is what is known of the engines of one place.
type stock struct {
	// alive is the number of listed engines that are not leaving, as of aliveAt.
	alive   int
	aliveAt time.Time
	// desired is the number that was decided last, at desiredAt; accepted is the last one that the platform accepted.
	desired, accepted int
	desiredAt         time.Time
	reason            Reason
	// unsent is set while the platform has not accepted desired; calling while a call is under way.
	unsent, calling bool
	retryAt         time.Time
	// repeatAt is when desired is sent again, because an older call may be carried out late; zero if not.
	repeatAt     time.Time
	refusedUntil time.Time
}

// have returns the engines that are listed or on their way. These count until twice the boot time has passed.
func (s *stock) have(now time.Time, boot time.Duration) int {
	if now.Sub(s.desiredAt) < 2*boot {
		return s.desired
	}
	return min(s.desired, s.alive)
}

// list applies a new number of listed engines, of which left have begun to leave.
func (s *stock) list(now time.Time, alive, left int, preemptible bool) {
	if expected := max(0, s.alive-s.desired); left > expected {
		// The platform takes these away without an order, so they are not on their way any more.
		lost := left - expected
		s.desired = max(0, s.desired-lost)
		s.accepted = max(0, s.accepted-lost)
		if preemptible {
			s.refusedUntil = later(s.refusedUntil, now.Add(preemptedPause))
		}
	}
	if alive != s.alive {
		s.alive = alive
		s.aliveAt = now
	}
}

// settle gives up engines that were ordered and have not come.
func (s *stock) settle(now time.Time, boot time.Duration) {
	if !s.unsent && !s.calling && s.alive < s.desired && now.Sub(s.desiredAt) >= 2*boot && now.Sub(s.aliveAt) >= max(steadyTime, 2*boot) {
		s.desired, s.accepted = s.alive, s.alive
	}
}

// reset forgets the orders of a former lease.
func (s *stock) reset() {
	*s = stock{alive: s.alive, aliveAt: s.aliveAt, desired: s.alive, accepted: s.alive, calling: s.calling}
}

func (s *stock) decide(now time.Time, desired int, reason Reason) {
	s.desired = desired
	s.desiredAt = now
	s.reason = reason
	s.unsent = true
	s.retryAt = time.Time{}
}

// due reports whether an order is to be sent now.
func (s *stock) due(now time.Time) bool {
	if s.calling || now.Before(s.retryAt) {
		return false
	}
	return s.unsent || !s.repeatAt.IsZero() && !now.Before(s.repeatAt)
}

// end applies the outcome of an order of some engines.
func (s *stock) end(now time.Time, engines int, outcome Outcome) {
	s.calling = false
	current := engines == s.desired
	switch outcome {
	case connector.DutyAccepted:
		s.accepted = engines
		if current {
			s.unsent = false
		}
		if !s.repeatAt.IsZero() && !now.Before(s.repeatAt) {
			s.repeatAt = time.Time{}
		}
	case connector.DutyRejected, NotSent:
		if outcome == connector.DutyRejected {
			s.refusedUntil = later(s.refusedUntil, now.Add(refusedPause))
		}
		s.repeatAt = time.Time{}
		if current {
			s.unsent = false
			s.desired = s.accepted
			s.desiredAt = time.Time{}
		}
	case connector.DutyOutcomeUnknown:
		s.repeatAt = now.Add(lateCall)
		s.retryAt = now.Add(retryDelay)
		s.unsent = true
	default:
		s.retryAt = now.Add(retryDelay)
		s.unsent = true
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
