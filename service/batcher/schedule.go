package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
)

// schedule starts waiting items on free engines and reward calls of complete texts. Jobs go by their due times and then
// by the priority of their routes; within a job the longest texts start first, because a text that starts late holds up
// its group and cannot be made faster by more engines.
func (b *Batcher) schedule(now time.Time) {
	open := b.openJobs()
	for _, j := range open {
		b.score(now, j)
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

// score sends the reward calls of complete texts; an item without one is done.
func (b *Batcher) score(now time.Time, j *job) {
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

// startItems starts the waiting items of a job for which an engine is free.
func (b *Batcher) startItems(now time.Time, j *job) {
	for _, it := range j.order {
		if it.state != itemWaiting || it.complete || now.Before(it.notBefore) || it.run != nil {
			continue
		}
		e := b.choose(now, j, it)
		if e == nil {
			return
		}
		b.start(now, j, it, e)
	}
}

// choose returns the fastest free engine, the less loaded one of two that are equally fast; the one that has read the
// group's prompt has a small advantage.
func (b *Batcher) choose(now time.Time, j *job, it *item) *engine {
	typical := b.typicalGap(now)
	var best *engine
	var bestCost float64
	for _, id := range b.order {
		e := b.engines[id]
		if e.free() <= 0 || !e.serves(now, j) {
			continue
		}
		cost := e.slowness(now, typical) + loadCost*float64(e.inFlight)/float64(e.slots())
		if b.prompts[groupKey{j.job.ID, it.spec.Group}] == id {
			cost -= affinity
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (b *Batcher) start(now time.Time, j *job, it *item, e *engine) {
	if version, known := e.version(j.job.Model); j.singleVersion() && known && len(it.versions) > 0 && it.versions[0] != version {
		it.clear()
	}
	b.lastRun++
	r := &run{id: b.lastRun, job: j, item: it, engine: e, eventAt: now}
	b.runs[r.id] = r
	it.run = r
	it.state = itemRunning
	e.inFlight++
	b.prompts[groupKey{j.job.ID, it.spec.Group}] = e.host.ID
	b.emit(StartRun{Run: r.id, Job: j.job.ID, Host: j.job.Host, Item: it.spec, Engine: e.host, After: it.last()})
}
