package batcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minSavedRatio is how many times as long the rest of a text must take on its engine as on another one, and minSaving the
	// seconds that a move must save: the prompt and the text are read again, and the new engine may turn slow as well.
	minSavedRatio = 1.25
	minSaving     = 0.3
	// tailShare is the share of the time to the end of the job's last text from which on a text may delay the job. Others end
	// before it wherever they run, so they stay.
	tailShare = 0.25
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
		if r.stopped != "" || r.item.moves >= maxItemMoves || !b.usesCompletion(now, r.job) || r.job.hasWaitingItems() {
			continue
		}
		if saving := b.savingByMove(now, r); saving > 0 {
			found = append(found, move{r, saving})
		}
	}
	slices.SortFunc(found, func(x, y move) int { return cmp.Or(cmp.Compare(y.saving, x.saving), cmp.Compare(x.run.id, y.run.id)) })
	for _, m := range found[:min(len(found), maxMoves)] {
		m.run.item.moves++
		m.run.item.movedFrom = m.run.engine.host.ID
		b.stop(m.run, StopSlowEngine)
	}
}

// savingByMove returns the expected saving in seconds by a move of a run, or zero if it is not worth it. The speed of the run itself
// counts, and not that of its engine, which is an average over short runs, too.
func (b *Batcher) savingByMove(now time.Time, r *run) float64 {
	own := r.interval()
	remaining := max(b.remainingEvents(r.job, r.item), minRemainingEvents)
	stay := remaining * own.Seconds()
	if stay <= minSaving || stay < tailShare*b.completion.pass.jobFinish[r.job.job.ID] {
		return 0
	}
	best := stay
	for _, id := range b.engineIDs {
		e := b.engines[id]
		snapshot := b.completion.pass.snapshots[id]
		if e == r.engine || !r.item.fits(e) || !e.serves(now, r.job) || b.expectedLoad(e, snapshot)+1 > float64(snapshot.Slots) || !b.pacer.Available(id) {
			continue
		}
		best = min(best, b.expectedTime(r.job, r.item, e, remaining))
	}
	if saving := stay - best; saving > minSaving && stay > minSavedRatio*best {
		return saving
	}
	return 0
}
