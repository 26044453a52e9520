package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
)

// schedule starts waiting items on free engines and sends the reward calls of complete texts. Jobs are ordered by their
// due times, shifted by the priority of their customers, and then by the priority of their routes; customers of one priority take
// turns. Within a job the longest texts start first: a long text that starts
// late delays its group, and more engines would not make it faster.
func (b *Batcher) schedule(now time.Time) {
	if b.startsHeld {
		return
	}
	clear(b.withoutTurn)
	if b.completion.profile.StatesAny(now) {
		b.beginPass(now)
	}
	open := b.openJobs()
	for _, j := range open {
		b.startRewards(now, j)
	}
	open = slices.DeleteFunc(open, func(j *job) bool { return !j.routeRemovedAt.IsZero() })
	if t := newTurns(open, b.runs); t != nil {
		t.start(func(s *starter) bool { return b.startNext(now, s) })
		return
	}
	for _, j := range open {
		b.startItems(now, j)
	}
}

// startItems starts waiting items of a job until no engine is free.
func (b *Batcher) startItems(now time.Time, j *job) {
	s := &starter{job: j}
	for started := true; started; {
		started = b.startNext(now, s)
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
		return cmp.Or(x.order().Compare(y.order()), cmp.Compare(x.priority(), y.priority()), cmp.Compare(x.job.ID, y.job.ID))
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

// startNext starts the next waiting item of a job; it returns false once there is none or no engine is free.
func (b *Batcher) startNext(now time.Time, s *starter) bool {
	j := s.job
	for ; s.next < len(j.startOrder); s.next++ {
		it := j.startOrder[s.next]
		if it.state != itemWaiting || it.complete || now.Before(it.notBefore) || it.run != nil {
			continue
		}
		e := b.chooseWithTurn(now, j, it)
		if e == nil && len(it.events) > 0 {
			if !b.restartPays(now, j, it) {
				continue
			}
			b.restartText(j, it)
			e = b.chooseWithTurn(now, j, it)
		}
		if e == nil {
			return false
		}
		b.startRun(now, j, it, e)
		return true
	}
	return false
}

// restartPays reports whether the text of an item that no free engine may continue starts again on another one, if one is free:
// because no engine of its origin is left, or because the item has waited for one for as long as it takes to generate the text
// again. A wait then costs at most twice what the better choice would have.
func (b *Batcher) restartPays(now time.Time, j *job, it *item) bool {
	if it.blockedSince.IsZero() {
		it.blockedSince = now
	}
	left, free := false, false
	for id, e := range b.engines {
		left = left || it.fits(e) && e.suits(now, j)
		_, without := b.withoutTurn[id]
		free = free || !without && b.pacer.Available(id) && e.freeSlots(now) > 0 && e.serves(now, j)
	}
	return free && (!left || now.Sub(it.blockedSince) > time.Duration(len(it.events))*b.typicalInterval(now))
}

// restartText discards the text of an item, so that any engine may run it.
func (b *Batcher) restartText(j *job, it *item) {
	b.emit(LogRestart{Job: j.job.ID, Item: it.spec.ID, Origin: it.origin, Events: len(it.events)})
	it.clear()
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
	j.expected = 0
	if b.usesCompletion(now, j) {
		return b.chooseByCompletion(now, j, it)
	}
	typical := b.typicalInterval(now)
	var best *engine
	var bestCost float64
	for _, id := range b.engineIDs {
		e := b.engines[id]
		if _, without := b.withoutTurn[id]; without || !it.fits(e) || e.freeSlots(now) <= 0 || !e.serves(now, j) {
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
	r := &run{id: b.lastRun, job: j, item: it, engine: e, startedAt: now, lastEventAt: now}
	b.runs[r.id] = r
	it.run = r
	it.state = itemRunning
	it.blockedSince = time.Time{}
	e.inFlight++
	b.completion.started(now, r)
	b.promptEngines[groupKey{j.job.ID, it.spec.Group}] = e.host.ID
	b.emit(StartRun{
		Run: r.id, Job: j.job.ID, Host: j.job.Host, Customer: j.job.Customer, Priority: j.customerPriority,
		Item: it.spec, Position: it.position, BodyStored: it.bodyStored, Engine: e.host, After: it.lastEvent(), Expected: j.expected,
	})
}
