package chronometer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultPersistence is how long a step of the wall clock must last before it is taken over. The wall clock of a host may be
	// wrong by seconds for less than that.
	DefaultPersistence = 60 * time.Second
	// tolerance is the difference that does not count as a step; the two clocks are read one after the other.
	tolerance = 20 * time.Millisecond
)

// Anchor is the state machine that keeps the offset of the wall clock to the boot-time clock. The zero value takes its offset from
// the first reading.
type Anchor struct {
	// Persistence is how long a step must last; zero means DefaultPersistence.
	Persistence time.Duration

	anchored bool
	// origin is the true time at the boot of the machine.
	origin time.Time
	// stepped is set while the wall clock differs from the true time; candidate is the origin by the wall clock since the boot
	// time candidateSince.
	stepped        bool
	candidate      time.Time
	candidateSince time.Duration
}

// Read returns the true time for a reading of both clocks. A step is only noticed by a reading, so readings must be frequent.
func (a *Anchor) Read(sinceBoot time.Duration, wall time.Time) time.Time {
	origin := wall.Round(0).Add(-sinceBoot)
	switch {
	case !a.anchored:
		a.anchored, a.origin = true, origin
	case near(origin, a.origin):
		a.stepped = false
	case !a.stepped || !near(origin, a.candidate):
		a.stepped, a.candidate, a.candidateSince = true, origin, sinceBoot
	case sinceBoot-a.candidateSince >= a.persistence():
		a.stepped, a.origin = false, origin
	}
	return a.origin.Add(sinceBoot)
}

func (a *Anchor) persistence() time.Duration {
	if a.Persistence > 0 {
		return a.Persistence
	}
	return DefaultPersistence
}

func near(x, y time.Time) bool { return x.Sub(y).Abs() <= tolerance }

// Clock tells the true time; it is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	anchor Anchor
}

// New returns a clock that takes the present wall clock as true.
func New() *Clock {
	c := &Clock{}
	c.Now()
	return c
}

// Now returns the true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.anchor.Read(SinceBoot(), time.Now())
}

// SinceBoot returns the time since the boot of the machine, including the time for which it was suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since version 2.6.39. Without it the monotonic clock must do.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()
