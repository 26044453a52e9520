package batcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstEventTimeout is how long a run may take to produce its first event: an engine with a queue or one that is
	// changing its weights takes up to about a second.
	firstEventTimeout = 2 * time.Second
	// minStall and stallIntervals define a stall: no event for stallIntervals typical event intervals, but at least for
	// minStall, the time that a change of weights takes.
	minStall       = 1500 * time.Millisecond
	stallIntervals = 12
	// moveSlowness is how many times slower than a free engine an engine must be before its runs move.
	moveSlowness = 1.25
	// moveCost is the time that a move must save at least: the prompt and the text are processed again.
	moveCost = 300 * time.Millisecond
	// maxRunIntervalRatio caps a single interval of a run at this multiple of the average.
	maxRunIntervalRatio = 2
	// minMeasuredEvents is the number of events from which on the speed of a run is known.
	minMeasuredEvents = 8
	// minRemainingEvents is assumed to remain of a short text. Of a longer one, as many events as it has so far: the lengths of
	// texts vary by orders of magnitude.
	minRemainingEvents = 16
	// maxMoves bounds the moves per tick, so that the speed of the engines that take them is measured before more follow.
	maxMoves = 4
	// maxItemMoves bounds the moves per item. It leaves some for a slow engine late in a long text.
	maxItemMoves = 6
)

// stopStalled stops runs without recent events and pauses their engines, so that the items resume on other engines.
func (b *Batcher) stopStalled(now time.Time) {
	stall := max(minStall, stallIntervals*b.typicalInterval(now))
	for _, r := range b.runs {
		limit := stall
		if !r.receivedEvent {
			limit = max(firstEventTimeout, stall)
		}
		if r.stopped == "" && now.Sub(r.lastEventAt) > limit {
			r.engine.pause(now, failedPause)
			b.stop(r, StopStalled)
		}
	}
}

// moveFromSlow stops runs on engines that are much slower than a free one, so that the items resume there. Otherwise a
// few engines that are several times slower than the others would delay the groups of their items.
func (b *Batcher) moveFromSlow(now time.Time) {
	b.moveByCompletion(now)
	typical := b.typicalInterval(now)
	moves := 0
	for _, id := range b.engineIDs {
		for _, r := range b.runsOf(b.engines[id]) {
			if moves == maxMoves {
				return
			}
			if r.stopped == "" && !b.usesCompletion(now, r.job) && r.item.moves < maxItemMoves && b.hasFasterEngine(now, r, typical, moves) {
				r.item.moves++
				r.item.movedFrom = r.engine.host.ID
				b.stop(r, StopSlowEngine)
				moves++
			}
		}
	}
}

// measure counts an event that arrives now and updates the average time between the events of the run. A single long interval,
// such as during a change of weights, hardly changes it.
func (r *run) measure(now time.Time) {
	r.events++
	if interval := now.Sub(r.lastEventAt); r.events == 2 {
		r.eventInterval = interval
	} else if r.events > 2 {
		r.eventInterval += time.Duration(speedWeight * float64(min(interval, maxRunIntervalRatio*r.eventInterval)-r.eventInterval))
	}
}

// interval returns the time between two events of the run, or zero if it has too few.
func (r *run) interval() time.Duration {
	if r.events < minMeasuredEvents {
		return 0
	}
	return r.eventInterval
}

func (b *Batcher) runsOf(e *engine) []*run {
	var found []*run
	for _, r := range b.runs {
		if r.engine == e {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y *run) int { return cmp.Compare(x.id, y.id) })
	return found
}

// hasFasterEngine reports whether an engine that is fast enough to move the run has a slot left after the moves of this
// tick. Free slots go to waiting items of the job first. The speed of the run itself counts, because that of its engine is an
// average over short runs, too, and a text that moves on every small difference is never done.
func (b *Batcher) hasFasterEngine(now time.Time, r *run, typical time.Duration, moves int) bool {
	own := r.interval()
	if own == 0 || r.job.hasWaitingItems() {
		return false
	}
	remaining := max(len(r.item.events), minRemainingEvents)
	for _, id := range b.engineIDs {
		e := b.engines[id]
		if e == r.engine || !r.item.fits(e) || !e.serves(now, r.job) || e.freeSlots(now) <= moves || !b.pacer.Available(id) {
			continue
		}
		other := time.Duration(e.slowness(now, typical) * float64(typical))
		if float64(own) > moveSlowness*float64(other) && time.Duration(remaining)*(own-other) > moveCost {
			return true
		}
	}
	return false
}

// hasWaitingItems reports whether an item of the job is in state itemWaiting.
func (j *job) hasWaitingItems() bool {
	return slices.ContainsFunc(j.items, func(it *item) bool { return it.state == itemWaiting })
}
