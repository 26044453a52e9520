package batcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstEventLimit is how long a run may take to its first event: an engine with a queue or one that changes its
	// weights needs up to about a second.
	firstEventLimit = 2 * time.Second
	// shortestStall and stallGaps bound the pause between two events: a pause of so many typical gaps, and no less than
	// the time that a change of weights takes.
	shortestStall = 1500 * time.Millisecond
	stallGaps     = 12
	// moveSlowness is how many times slower than a free engine an engine must be before its runs move: a move reads the
	// prompt and the text again.
	moveSlowness = 1.25
	// maxMoves bounds the moves of one tick, so that the free engine's own speed shows before more follow.
	maxMoves = 4
	// maxItemMoves bounds the moves of one item.
	maxItemMoves = 3
)

// stopStalled ends runs whose engine is silent; they go on elsewhere.
func (b *Batcher) stopStalled(now time.Time) {
	stall := max(shortestStall, stallGaps*b.typicalGap(now))
	for _, r := range b.runs {
		limit := stall
		if !r.begun {
			limit = max(firstEventLimit, stall)
		}
		if r.stopped == "" && now.Sub(r.eventAt) > limit {
			r.engine.pause(now, failedPause)
			b.stop(r, StopStalled)
		}
	}
}

// moveFromSlow moves runs from engines that are much slower than a free one. It answers the load in which a few engines
// run several times slower than the others and hold up their groups.
func (b *Batcher) moveFromSlow(now time.Time) {
	typical := b.typicalGap(now)
	moves := 0
	for _, id := range b.order {
		for _, r := range b.runsOf(b.engines[id]) {
			if moves == maxMoves {
				return
			}
			if r.stopped == "" && r.begun && r.item.moves < maxItemMoves && b.hasFasterPlace(now, r, typical, moves) {
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

func (b *Batcher) hasFasterPlace(now time.Time, r *run, typical time.Duration, moves int) bool {
	if r.job.waiting() {
		return false
	}
	own := r.engine.slowness(now, typical)
	for _, id := range b.order {
		e := b.engines[id]
		if e != r.engine && e.serves(now, r.job) && e.free() > moves && own > moveSlowness*e.slowness(now, typical) {
			return true
		}
	}
	return false
}

// waiting reports whether an item of the job waits for an engine.
func (j *job) waiting() bool {
	return slices.ContainsFunc(j.items, func(it *item) bool { return it.state == itemWaiting })
}
