package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
)

// schedule starts waiting items on free engines and sends the reward calls of complete texts. Jobs are ordered by their
// due times and then by the priority of their routes. Within a job the longest texts start first: a long text that starts
// late delays its group, and more engines would not make it faster.
func (b *Batcher) schedule(now time.Time) {
	clear(b.withoutTurn)
	open := b.openJobs()
	for _, j := range open {
		b.startRewards(now, j)
	}
	for _, j := range open {
		b.startItems(now, j)
	}
}

func (b *Batcher) openJobs() []*job {
	var open []*job
	for _, j := range b.jobs {
		if !j.ended && j.routed {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(x, y *job) int {
		return cmp.Or(x.due().Compare(y.due()), cmp.Compare(x.priority(), y.priority()), cmp.Compare(x.job.ID, y.job.ID))
	})
	return open
}

// startRewards sends the reward calls of complete texts and finishes the items that need none.
func (b *Batcher) startRewards(now time.Time, j *job) {
	for _, it := range j.items {
		if it.state == itemWaiting && it.complete {
			if it.spec.Reward == nil || it.score != "" {
				j.finish(now, it, codec.ResultStateDone)
				continue
			}
			it.state = itemScoring
		}
		if it.state == itemScoring && !it.rewardSent && !now.Before(it.rewardAt) {
			it.rewardSent = true
			b.emit(StartReward{Job: j.job.ID, Item: it.spec.ID, Call: *it.spec.Reward})
		}
	}
}

// startItems starts waiting items of a job until no engine is free.
func (b *Batcher) startItems(now time.Time, j *job) {
	for _, it := range j.startOrder {
		if it.state != itemWaiting || it.complete || now.Before(it.notBefore) || it.run != nil {
			continue
		}
		e := b.chooseWithTurn(now, j, it)
		if e == nil {
			return
		}
		b.startRun(now, j, it, e)
	}
}

// chooseWithTurn returns the best engine that is not limited or has a turn for the run, and uses up the turn; nil if there is
// none.
func (b *Batcher) chooseWithTurn(now time.Time, j *job, it *item) *engine {
	for {
		e := b.chooseEngine(now, j, it)
		if e == nil {
			return nil
		}
		if ok, _ := b.pacer.Take(e.host.ID); ok {
			return e
		}
		b.withoutTurn[e.host.ID] = struct{}{}
	}
}

// chooseEngine returns the free engine with the lowest cost: its slowness plus a small cost for its load and one if it mainly
// serves another model, less a small bonus if it has processed the group's prompt. It returns nil if no free engine may run items of the job.
func (b *Batcher) chooseEngine(now time.Time, j *job, it *item) *engine {
	typical := b.typicalInterval(now)
	var best *engine
	var bestCost float64
	for _, id := range b.engineIDs {
		e := b.engines[id]
		if _, without := b.withoutTurn[id]; without || e.freeSlots(now) <= 0 || !e.serves(now, j) {
			continue
		}
		cost := e.slowness(now, typical) + loadCost*float64(e.inFlight)/float64(e.slots())
		if b.promptEngines[groupKey{j.job.ID, it.spec.Group}] == id {
			cost -= promptBonus
		}
		if it.movedFrom == id {
			cost += returnCost
		}
		if e.model != "" && e.model != j.job.Model {
			cost += foreignCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (b *Batcher) startRun(now time.Time, j *job, it *item, e *engine) {
	if version, known := e.version(now, j.job.Model); j.singleVersion() && known && len(it.versions) > 0 && it.versions[0] != version {
		it.clear()
	}
	b.lastRun++
	r := &run{id: b.lastRun, job: j, item: it, engine: e, lastEventAt: now}
	b.runs[r.id] = r
	it.run = r
	it.state = itemRunning
	e.inFlight++
	b.promptEngines[groupKey{j.job.ID, it.spec.Group}] = e.host.ID
	b.emit(StartRun{Run: r.id, Job: j.job.ID, Host: j.job.Host, Item: it.spec, Engine: e.host, After: it.lastEvent()})
}
