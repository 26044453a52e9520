package batcher

import (
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/profiler"
)

const (
	// queueAhead is by how many runs an engine may be expected to be filled beyond its slots: so many that the next one begins
	// as soon as a slot is free, and so few that it would hardly begin earlier elsewhere.
	queueAhead = 1
	// readPerSecond is the number of prompt tokens that an engine reads in a second; measured are 300,000 to 700,000.
	readPerSecond = 500_000
	// splitCost is the cost in seconds of an engine that has to read the shared prompt of the group. It is small, so that it
	// decides only among engines on which the item is complete at about the same time.
	splitCost = 0.2
	// foreignTime is the cost in seconds of an engine that mainly serves another model, whose owner fills it without knowing of
	// this host's runs.
	foreignTime = 0.3
	// fullTime is the cost in seconds of an engine whose slots are all in use, and proportionally less below that.
	fullTime = 0.1
	// maxGroupEngines bounds the remembered engines that have read the shared prompt of a group.
	maxGroupEngines = 8
	// loadingPause is how long an engine that refuses runs although it states free slots gets none: it loads weights, which takes
	// about 0.9 s. A statement is that of the refusal if it is not older than refusalAge.
	loadingPause = 900 * time.Millisecond
	refusalAge   = 100 * time.Millisecond
	// defaultInterval is the event interval of engines before any event was observed.
	defaultInterval = 35 * time.Millisecond
)

// completion is the state of the choice by expected completion time, which is used for pools whose engines state their speed.
type completion struct {
	profile *profiler.Profiler
	lengths *lengths
	// groupEngines holds the engines that have read the shared prompt of a group.
	groupEngines map[groupKey][]identifier.UpstreamID
	// pass holds what does not change during a pass of schedule.
	pass pass
}

// pass is the state of one pass of schedule.
type pass struct {
	at        time.Time
	snapshots map[identifier.UpstreamID]profiler.Snapshot
	// typical is the median of the engines' long-run event intervals.
	typical time.Duration
	// finish is the expected seconds until all texts of a group are complete, if those that wait start now.
	finish map[groupKey]float64
	// jobFinish is the same for the last text of each job.
	jobFinish map[identifier.BatchID]float64
}

func newCompletion() *completion {
	return &completion{
		profile: profiler.New(profiler.Config{}), lengths: newLengths(), groupEngines: make(map[groupKey][]identifier.UpstreamID),
		pass: pass{
			snapshots: make(map[identifier.UpstreamID]profiler.Snapshot), finish: make(map[groupKey]float64), jobFinish: make(map[identifier.BatchID]float64),
		},
	}
}

// listEngines passes a new list of engines on to the profiler.
func (c *completion) listEngines(former, next map[identifier.UpstreamID]*engine) {
	for id, e := range former {
		if next[id] != e {
			c.profile.Handle(time.Time{}, profiler.Removed{Upstream: id})
		}
	}
	for id, e := range next {
		c.profile.Handle(time.Time{}, profiler.Listed{Upstream: id, Pool: e.host.Pool, Slots: e.host.Slots})
	}
}

// started notes the start of a run.
func (c *completion) started(now time.Time, r *run) {
	id := r.engine.host.ID
	c.profile.Handle(now, profiler.Started{Upstream: id})
	key := groupKey{r.job.job.ID, r.item.spec.Group}
	if known := c.groupEngines[key]; r.item.spec.Group != "" && !slices.Contains(known, id) {
		if len(known) == maxGroupEngines {
			known = slices.Delete(known, 0, 1)
		}
		c.groupEngines[key] = append(known, id)
	}
}

// received notes an event of a run.
func (c *completion) received(now time.Time, r *run) {
	id := r.engine.host.ID
	if !r.receivedEvent {
		c.profile.Handle(now, profiler.Began{Upstream: id, StartedAt: r.startedAt})
		return
	}
	r.engine.measure(now, now.Sub(r.lastEventAt))
	c.profile.Handle(now, profiler.Worked{Upstream: id, Amount: 1, Took: now.Sub(r.lastEventAt)})
}

// ended notes the end of a run; the text is complete if err is nil and the run was not stopped.
func (c *completion) ended(now time.Time, r *run, complete bool) {
	c.profile.Handle(now, profiler.Ended{Upstream: r.engine.host.ID, StartedAt: r.startedAt})
	if complete {
		c.lengths.learn(r.job.job.Model, r.item.hint, len(r.item.events))
	}
}

// usesCompletion reports whether the engines of a job are chosen by the expected completion time.
func (b *Batcher) usesCompletion(now time.Time, j *job) bool {
	return j.entry.Route != nil && slices.ContainsFunc(j.entry.Route.Pools, func(share codec.WeightedPool) bool {
		return share.Weight > 0 && b.completion.profile.States(now, share.Pool)
	})
}

// beginPass computes the snapshots of all engines and the expected end of each open group.
func (b *Batcher) beginPass(now time.Time) {
	p := &b.completion.pass
	p.at = now
	clear(p.snapshots)
	clear(p.finish)
	clear(p.jobFinish)
	var intervals []time.Duration
	for _, id := range b.engineIDs {
		snapshot, ok := b.completion.profile.View(now, id)
		if !ok {
			snapshot.Slots, snapshot.Own = b.engines[id].slots(), b.engines[id].inFlight
		}
		p.snapshots[id] = snapshot
		if snapshot.LongRun > 0 {
			intervals = append(intervals, snapshot.LongRun)
		}
	}
	p.typical = defaultInterval
	if len(intervals) > 0 {
		slices.Sort(intervals)
		p.typical = intervals[len(intervals)/2]
	}
	for _, j := range b.jobs {
		if j.ended || !j.routed {
			continue
		}
		for _, it := range j.items {
			if it.state == itemFinished || it.complete {
				continue
			}
			remaining := b.remainingEvents(j, it)
			end := remaining * p.typical.Seconds()
			if it.run != nil {
				snapshot := p.snapshots[it.run.engine.host.ID]
				end = snapshot.Expected(remaining).Seconds()
			}
			key := groupKey{j.job.ID, it.spec.Group}
			p.finish[key] = max(p.finish[key], end)
			p.jobFinish[j.job.ID] = max(p.jobFinish[j.job.ID], end)
		}
	}
}

func (b *Batcher) remainingEvents(j *job, it *item) float64 {
	return b.completion.lengths.remaining(j.job.Model, it.hint, len(it.events))
}

// expectedLoad returns the expected number of requests of all hosts on an engine.
func (b *Batcher) expectedLoad(e *engine, snapshot profiler.Snapshot) float64 {
	return float64(e.inFlight) + snapshot.Others
}

// expectedTime returns the expected seconds until an item's text is complete on an engine, if its run starts now.
func (b *Batcher) expectedTime(j *job, it *item, e *engine, remaining float64) float64 {
	snapshot := b.completion.pass.snapshots[e.host.ID]
	if snapshot.LongRun <= 0 {
		snapshot.LongRun = b.completion.pass.typical
	}
	wait := 0.0
	if excess := b.expectedLoad(e, snapshot) + 1 - float64(snapshot.Slots); excess > 0 {
		run := b.completion.lengths.mean(j.job.Model) * snapshot.LongRun.Seconds()
		wait = excess / float64(snapshot.Slots) * run
	}
	read := float64(len(it.events))
	if !slices.Contains(b.completion.groupEngines[groupKey{j.job.ID, it.spec.Group}], e.host.ID) {
		read += float64(it.spec.Tokens)
	}
	return wait + read/readPerSecond + snapshot.Expected(remaining).Seconds()
}

// chooseByCompletion returns the engine with room on which an item is expected to be complete first, or nil if none has room. An item
// that ends before the last text of its group wherever it runs goes to an engine that has read the prompt of the group, and leaves
// the fast ones to the long texts.
func (b *Batcher) chooseByCompletion(now time.Time, j *job, it *item) *engine {
	c := b.completion
	if !c.pass.at.Equal(now) {
		b.beginPass(now)
	}
	remaining := b.remainingEvents(j, it)
	key := groupKey{j.job.ID, it.spec.Group}
	enough := c.pass.finish[key]
	if it.spec.Group == "" || remaining*c.pass.typical.Seconds() >= tailShare*c.pass.jobFinish[j.job.ID] {
		enough = 0
	}
	var best *engine
	var bestCost, bestTime float64
	for _, id := range b.engineIDs {
		e := b.engines[id]
		if _, without := b.withoutTurn[id]; without || !it.fits(e) || !e.serves(now, j) || !b.hasRoom(e) {
			continue
		}
		snapshot := c.pass.snapshots[id]
		expected := b.expectedTime(j, it, e, remaining)
		cost := max(expected, enough) + fullTime*b.expectedLoad(e, snapshot)/float64(snapshot.Slots)
		if !slices.Contains(c.groupEngines[key], id) {
			cost += splitCost
		}
		if it.movedFrom == id {
			cost += returnCost
		}
		if e.model != "" && e.model != j.job.Model {
			cost += foreignTime
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestTime = e, cost, expected
		}
	}
	j.expected = time.Duration(bestTime * float64(time.Second))
	return best
}

// hasRoom reports whether an engine is expected to begin a further run at once or soon.
func (b *Batcher) hasRoom(e *engine) bool {
	snapshot := b.completion.pass.snapshots[e.host.ID]
	return e.inFlight < snapshot.Slots && b.expectedLoad(e, snapshot)+1 <= float64(snapshot.Slots+queueAhead)
}

// pauseRefusing pauses an engine that refused a run. One that is full states it, and gets runs again by its stated load.
func (b *Batcher) pauseRefusing(now time.Time, e *engine) {
	snapshot, ok := b.completion.profile.View(now, e.host.ID)
	if ok && b.completion.profile.States(now, e.host.Pool) && snapshot.Stated && snapshot.StatedAge < refusalAge &&
		snapshot.Running+snapshot.Waiting < snapshot.Slots {
		e.pause(now, loadingPause)
		return
	}
	e.refuse(now)
}
