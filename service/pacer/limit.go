package pacer

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// limit is what was last heard of an upstream's limit.
type limit struct {
	// perSecond is zero if the upstream names no limit.
	perSecond float64
	heardAt   time.Time
}

// hear applies a limit unless a newer one is known, and reports whether the limit changed.
func (l *limit) hear(perSecond float64, at time.Time) (changed bool) {
	if !at.After(l.heardAt) {
		return false
	}
	changed = perSecond != l.perSecond
	*l = limit{perSecond: perSecond, heardAt: at}
	return changed
}

func (l *limit) limited() bool { return l.perSecond > 0 }

// message returns the limit for another host. The age replaces the time, because clocks of hosts differ. The receiver counts it
// from the receipt, so what one host has heard after another is newer there, too.
func (l *limit) message(now time.Time) codec.HeardLimit {
	return codec.HeardLimit{PerSecond: l.perSecond, Age: identifier.Duration(now.Sub(l.heardAt))}
}
