package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/service/profiler"
)

const (
	// movedShare bounds the moved runs in relation to the items of the jobs, because each one reads its prompt and text again;
	// maxMoveBudget bounds the moves that unused budget allows at once. The first jobs begin with firstMoveBudget.
	movedShare      = 0.025
	firstMoveBudget = 2
	maxMoveBudget   = 24
	// lastingTime is how long an engine must have been slow to be taken for lastingly slow; the speed of any engine changes
	// for 600 ms at a time.
	lastingTime = 1500 * time.Millisecond
	// minSaving and minSavedShare are the expected saving of a move, in seconds and as a share of the time to completion;
	// minDueSaving is enough if the group misses its due time otherwise.
	minSaving     = 0.8
	minSavedShare = 0.2
	minDueSaving  = 0.4
	// lastingRatio is the ratio of an engine's long-run event interval to the typical one from which on it counts as lastingly
	// slow, if its relative error is below maxLastingError.
	lastingRatio    = 1.5
	maxLastingError = 0.2
	// maxEngineQueue bounds the time for which a run may be expected to wait at its engine.
	maxEngineQueue = 6 * time.Second
)

// moveByCompletion stops the runs whose move to another engine is expected to bring the completion of their groups forward by
// much, those with the largest savings first.
func (b *Batcher) moveByCompletion(now time.Time) {
	type move struct {
		run    *run
		saving float64
	}
	var found []move
	if !b.completion.profile.StatesAny(now) {
		return
	}
	b.beginPass(now)
	for _, r := range b.runs {
		if r.stopped != "" || r.item.moves > 0 || !r.receivedEvent || !b.usesCompletion(now, r.job) {
			continue
		}
		if saving := b.savingByMove(now, r); saving > 0 {
			found = append(found, move{r, saving})
		}
	}
	slices.SortFunc(found, func(x, y move) int { return cmp.Or(cmp.Compare(y.saving, x.saving), cmp.Compare(x.run.id, y.run.id)) })
	for _, m := range found[:min(len(found), maxMoves)] {
		if b.completion.moveBudget >= 1 {
			b.completion.moveBudget--
			m.run.item.moves++
			m.run.item.movedFrom = m.run.engine.host.ID
			b.stop(m.run, StopSlowEngine)
		}
	}
}

// savingByMove returns the expected saving in seconds by a move of a run, or zero if it is not worth it.
func (b *Batcher) savingByMove(now time.Time, r *run) float64 {
	c := b.completion
	picture := c.pass.pictures[r.engine.host.ID]
	if !b.lastinglySlow(picture) {
		return 0
	}
	remaining := b.remainingEvents(r.job, r.item)
	stay := picture.Expected(remaining).Seconds()
	key := groupKey{r.job.job.ID, r.item.spec.Group}
	if r.item.spec.Group != "" && stay < c.pass.finish[key]*0.99 {
		return 0
	}
	best := stay
	for _, id := range b.engineIDs {
		e := b.engines[id]
		other := c.pass.pictures[id]
		if e == r.engine || !r.item.fits(e) || !e.serves(now, r.job) || b.expectedLoad(e, other)+1 > float64(other.Slots) || !b.pacer.Available(id) {
			continue
		}
		best = min(best, b.expectedTime(r.job, r.item, e, remaining))
	}
	saving := stay - best
	due := r.job.due().Sub(now).Seconds()
	switch {
	case saving > minSaving && saving > minSavedShare*stay:
		return saving
	case due > 0 && stay > due && best < due && saving > minDueSaving:
		return saving
	default:
		return 0
	}
}

// lastinglySlow reports whether an engine has been slow for longer than speeds change, or is so in the long run.
func (b *Batcher) lastinglySlow(picture profiler.Picture) bool {
	return picture.SlowFor >= lastingTime ||
		picture.LongRun > time.Duration(lastingRatio*float64(b.completion.pass.typical)) && picture.LongRunError < maxLastingError
}

// queueTime returns how long a run may wait in the queue of its engine before its first event, beyond the usual time.
func (b *Batcher) queueTime(now time.Time, r *run) time.Duration {
	picture, ok := b.completion.profile.View(now, r.engine.host.ID)
	if !ok || !b.completion.profile.States(now, r.engine.host.Pool) {
		return 0
	}
	excess := b.expectedLoad(r.engine, picture) - float64(picture.Slots)
	if picture.Stated && picture.Waiting > 0 {
		excess = max(excess, float64(picture.Waiting))
	}
	if excess <= 0 {
		return 0
	}
	mean := b.completion.lengths.mean(r.job.job.Model) * picture.Expected(1).Seconds()
	return min(time.Duration(2*(1+excess/float64(picture.Slots))*mean*float64(time.Second)), maxEngineQueue)
}
