package isolator

import (
	"time"

	"celerygap.example/lib/identifier"
)

const (
	// responseMemory is how long a complete response speaks for the requests with the same fingerprint or of the same kind.
	responseMemory = time.Minute
	// maxResponded bounds the fingerprints that are remembered for it, twice over.
	maxResponded = 4096
)

// recentSet holds fingerprints for a time between memory and twice as long, or less if there are more than limit of them.
type recentSet struct {
	memory    time.Duration
	limit     int
	rotatedAt time.Time
	current   map[identifier.Fingerprint]time.Time
	previous  map[identifier.Fingerprint]time.Time
}

func newRecentSet(memory time.Duration, limit int) recentSet {
	return recentSet{memory: memory, limit: limit, current: make(map[identifier.Fingerprint]time.Time)}
}

func (s *recentSet) add(now time.Time, fingerprint identifier.Fingerprint) {
	if len(s.current) >= s.limit || now.Sub(s.rotatedAt) > s.memory {
		s.previous, s.current, s.rotatedAt = s.current, make(map[identifier.Fingerprint]time.Time), now
	}
	s.current[fingerprint] = now
}

func (s *recentSet) has(now time.Time, fingerprint identifier.Fingerprint) bool {
	at, ok := s.current[fingerprint]
	if !ok {
		at, ok = s.previous[fingerprint]
	}
	return ok && now.Sub(at) <= s.memory
}
