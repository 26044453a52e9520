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
	// moveSlowness is how many times slower than a free engine an engine must be before its runs move. A move costs
	// processing the prompt and the text again.
	moveSlowness = 1.25
	// maxMoves bounds the moves per tick, so that the speed of the engines that take them is measured before more follow.
	maxMoves = 4
	// maxItemMoves bounds the moves per item, each of which has the cost given at moveSlowness.
	maxItemMoves = 3
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
	typical := b.typicalInterval(now)
	moves := 0
	for _, id := range b.engineIDs {
		for _, r := range b.runsOf(b.engines[id]) {
			if moves == maxMoves {
				return
			}
			if r.stopped == "" && r.receivedEvent && r.item.moves < maxItemMoves && b.hasFasterEngine(now, r, typical, moves) {
				r.item.moves++
				b.stop(r, StopSlowEngine)
				moves++
			}
		}
	}
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
// tick. Free slots go to waiting items of the job first.
func (b *Batcher) hasFasterEngine(now time.Time, r *run, typical time.Duration, moves int) bool {
	if r.job.hasWaitingItems() {
		return false
	}
	own := r.engine.slowness(now, typical)
	for _, id := range b.engineIDs {
		e := b.engines[id]
		if e != r.engine && e.serves(now, r.job) && e.freeSlots(now) > moves && own > moveSlowness*e.slowness(now, typical) {
			return true
		}
	}
	return false
}

// hasWaitingItems reports whether an item of the job is in state itemWaiting.
func (j *job) hasWaitingItems() bool {
	return slices.ContainsFunc(j.items, func(it *item) bool { return it.state == itemWaiting })
}
