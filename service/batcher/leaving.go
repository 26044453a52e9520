package batcher

import (
	"time"

	"celerygap.example/lib/codec"
)

// leaveMargin is how long before an engine is gone its last runs are stopped: a run that breaks off with its engine shows the
// failure later, and may lose the events that are on their way.
const leaveMargin = 300 * time.Millisecond

// noteLeaving notes when engines that are leaving will be gone, as far as their entries state it.
func (b *Batcher) noteLeaving(now time.Time) {
	for _, e := range b.engines {
		if e.host.State != codec.HostStateLeaving || e.host.LeavesIn <= 0 {
			e.goneAt = time.Time{}
			continue
		}
		if gone := now.Add(e.host.LeavesIn.Std()); e.goneAt.IsZero() || gone.Before(e.goneAt) && e.statedLeave != e.host.LeavesIn {
			e.goneAt = gone
		}
		e.statedLeave = e.host.LeavesIn
	}
}

// moveFromLeaving stops the runs that will not end before their engine is gone, so that the items go on elsewhere with their texts:
// at once if another engine is free, and in any case before the engine is gone.
func (b *Batcher) moveFromLeaving(now time.Time) {
	typical := b.typicalInterval(now)
	moves := 0
	for _, id := range b.engineIDs {
		e := b.engines[id]
		if e.goneAt.IsZero() {
			continue
		}
		last := e.goneAt.Add(-leaveMargin)
		for _, r := range b.runsOf(e) {
			if r.stopped != "" {
				continue
			}
			if now.Before(last) && (!now.Add(b.expectedRest(now, r, typical)).After(last) || !b.hasFreeEngine(now, r, moves)) {
				continue
			}
			b.stop(r, StopEngineLeaving)
			moves++
		}
	}
}

// expectedRest returns how long the run will still take: what the text lacks, at the speed of the run, or that of its engine.
func (b *Batcher) expectedRest(now time.Time, r *run, typical time.Duration) time.Duration {
	// A text that is longer than expected may go on for as long again.
	events := max(int(b.remainingEvents(r.job, r.item)), len(r.item.events), 1)
	interval := r.interval()
	if interval == 0 && r.engine.measured(now) {
		interval = r.engine.eventInterval
	}
	if interval == 0 {
		interval = typical
	}
	if interval == 0 {
		// The speed of no engine is known, so the run counts as one that will not end.
		return firstEventTimeout + leaveMargin + time.Duration(events)*minStall
	}
	return time.Duration(events) * interval
}

// hasFreeEngine reports whether another engine has a slot for the run, after the moves of this pass.
func (b *Batcher) hasFreeEngine(now time.Time, r *run, moves int) bool {
	free := 0
	for _, id := range b.engineIDs {
		e := b.engines[id]
		if e != r.engine && r.item.fits(e) && e.serves(now, r.job) && b.pacer.Available(id) {
			free += max(0, e.freeSlots(now))
		}
	}
	return free > moves
}
