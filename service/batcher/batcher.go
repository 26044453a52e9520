package batcher

import (
	"slices"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

const (
	// defaultMaxAttempts bounds the failing runs of an item whose route sets no bound.
	defaultMaxAttempts = 3
	// retryPause keeps an item back after a failed run, so that a failure of all engines is not met by a flood.
	retryPause = 100 * time.Millisecond
	// rewardPause is the wait before a reward call is repeated.
	rewardPause = 200 * time.Millisecond
	// loadCost is the cost of a full engine against an idle one, in parts of the speed of a typical engine. Engines batch
	// their requests, so a busy one is hardly slower than an idle one.
	loadCost = 0.2
	// affinity is the advantage of the engine that has read the group's prompt, in the same unit; a prompt is read in the
	// time of a fraction of an event.
	affinity = 0.05
)

// Batcher decides about batch jobs; it is not safe for concurrent use.
type Batcher struct {
	jobs    map[identifier.BatchID]*job
	engines map[identifier.UpstreamID]*engine
	order   []identifier.UpstreamID
	runs    map[RunID]*run
	lastRun RunID
	// prompts holds the engine that read the shared prompt of a group last.
	prompts map[groupKey]identifier.UpstreamID
	out     []Command
}

type groupKey struct {
	job   identifier.BatchID
	group identifier.GroupID
}

// New returns a batcher without jobs.
func New() *Batcher {
	return &Batcher{
		jobs: make(map[identifier.BatchID]*job), engines: make(map[identifier.UpstreamID]*engine),
		runs: make(map[RunID]*run), prompts: make(map[groupKey]identifier.UpstreamID),
	}
}

// Handle processes one event.
func (b *Batcher) Handle(now time.Time, event Event) []Command {
	b.out = nil
	switch e := event.(type) {
	case JobOpened:
		b.open(e)
	case JobEnded:
		b.end(e.Job)
	case JobDropped:
		b.drop(e.Job)
	case RoutesChanged:
		b.changeRoutes(now, e)
	case EnginesChanged:
		b.replaceEngines(e.Engines)
	case EventReceived:
		b.receive(now, e)
		return b.out
	case RunEnded:
		b.endRun(now, e)
	case RewardEnded:
		b.endReward(now, e)
	case Appended:
		b.appended(e.Job)
	case TextsSaved:
		b.textsSaved(e.Job)
	case SavingEnded:
		b.endSaving(e.Job)
	case Superseded:
		b.supersede(e)
	case Tick:
		b.tick(now)
	}
	b.schedule(now)
	b.flush(now)
	return b.out
}

func (b *Batcher) emit(command Command) { b.out = append(b.out, command) }

// open adds a job. An item that an earlier job left unfinished may come again; what is held of its text is used if its
// versions allow it.
func (b *Batcher) open(event JobOpened) {
	if _, ok := b.jobs[event.Job.ID]; ok {
		return
	}
	j := newJob(event)
	b.jobs[event.Job.ID] = j
	for _, it := range j.items {
		if it.state != itemWaiting || len(it.events) > 0 {
			continue
		}
		if earlier := b.earlierProgress(j, it.spec.ID); earlier != nil {
			it.restore(*earlier)
		}
	}
}

// earlierProgress returns the most that an ended job of the same model holds of an item's text.
func (b *Batcher) earlierProgress(j *job, id identifier.ItemID) *codec.ItemProgress {
	var best *codec.ItemProgress
	for _, other := range b.jobs {
		it, ok := other.byID[id]
		if !ok || other == j || !other.ended || other.job.Model != j.job.Model || !it.fits(j) || len(it.events) == 0 {
			continue
		}
		if progress := it.progress(); best == nil || len(progress.Events) > len(best.Events) {
			best = &progress
		}
	}
	return best
}

// changeRoutes applies the entries in effect. An item of a job whose route is gone can never be run.
func (b *Batcher) changeRoutes(now time.Time, event RoutesChanged) {
	for id, j := range b.jobs {
		entry, ok := event.Entries[id]
		switch {
		case ok:
			j.entry = entry
			j.routed = true
			for _, it := range j.items {
				if it.state == itemWaiting && !it.fits(j) {
					it.clear()
				}
			}
		case j.routed && !j.ended:
			b.giveUp(now, j, StopRouteGone)
		}
	}
}

// giveUp decides all remaining items of a job as dead.
func (b *Batcher) giveUp(now time.Time, j *job, reason StopReason) {
	for _, it := range j.items {
		if it.state == itemFinished {
			continue
		}
		if it.run != nil {
			b.stop(it.run, reason)
		}
		j.finish(now, it, codec.ResultStateDead)
	}
}

func (b *Batcher) end(id identifier.BatchID) {
	j, ok := b.jobs[id]
	if !ok || j.ended {
		return
	}
	j.ended = true
	j.pending = j.pending[:j.inAppend]
	for _, it := range j.items {
		if it.run != nil {
			b.stop(it.run, StopJobEnded)
		}
		delete(b.prompts, groupKey{id, it.spec.Group})
	}
	b.emit(Changed{Job: id})
}

func (b *Batcher) drop(id identifier.BatchID) {
	b.end(id)
	delete(b.jobs, id)
}

func (b *Batcher) stop(r *run, reason StopReason) {
	if r.stopped != "" {
		return
	}
	r.stopped = reason
	b.emit(StopRun{Run: r.id, Reason: reason})
}

// receive adds an event to an item's text.
func (b *Batcher) receive(now time.Time, e EventReceived) {
	r, ok := b.runs[e.Run]
	if !ok || r.stopped != "" || r.item.run != r {
		return
	}
	it, j := r.item, r.job
	if r.begun {
		r.engine.measure(now, now.Sub(r.eventAt))
	}
	r.begun = true
	r.eventAt = now
	r.engine.seen[j.job.Model] = max(r.engine.seen[j.job.Model], e.Event.Version)
	switch {
	case e.Event.Version < j.job.MinVersion:
		r.engine.seen[j.job.Model] = e.Event.Version
		b.stop(r, StopOldWeights)
		return
	case j.singleVersion() && len(it.versions) > 0 && it.versions[0] != e.Event.Version:
		it.clear()
		b.stop(r, StopMixedWeights)
		return
	}
	if !asserter.Check(asserter.EventsInOrder, e.Event.Number == it.last()+1,
		"item %s: event %d after %d", it.spec.ID, e.Event.Number, it.last()) {
		b.stop(r, StopStalled)
		return
	}
	it.events = append(it.events, e.Event.Data)
	if !slices.Contains(it.versions, e.Event.Version) {
		it.versions = append(it.versions, e.Event.Version)
	}
}

func (b *Batcher) endRun(now time.Time, e RunEnded) {
	r, ok := b.runs[e.Run]
	if !ok {
		return
	}
	delete(b.runs, e.Run)
	r.engine.inFlight--
	it, j := r.item, r.job
	if it.run == r {
		it.run = nil
	}
	if it.state != itemRunning || j.ended {
		return
	}
	it.state = itemWaiting
	if e.Err == nil && r.stopped == "" {
		it.complete = true
		return
	}
	b.judge(now, r, e.Err)
}

// judge decides what follows from a run that did not complete.
func (b *Batcher) judge(now time.Time, r *run, err error) {
	it, j := r.item, r.job
	if r.stopped != "" {
		return
	}
	var failure connector.Failure
	if err != nil {
		failure = connector.FailureOf(err)
	}
	switch failure {
	case connector.FailureRejected:
		// The engine states that the item can never be done.
		j.finish(now, it, codec.ResultStateDead)
	case connector.FailureUnavailable:
		it.failures++
		it.notBefore = now.Add(retryPause)
		if it.failures >= j.maxAttempts() {
			j.finish(now, it, codec.ResultStateDead)
		}
	case connector.FailureNotStarted:
		r.engine.pause(now, fullPause)
	case connector.FailureMismatch, connector.FailureTruncated:
		it.notBefore = now.Add(retryPause)
	default:
		r.engine.pause(now, failedPause)
	}
}

func (b *Batcher) endReward(now time.Time, e RewardEnded) {
	j, ok := b.jobs[e.Job]
	if !ok {
		return
	}
	it, ok := j.byID[e.Item]
	if !ok || it.state != itemScoring || j.ended {
		return
	}
	it.rewardSent = false
	it.rewardFailures += e.Failures
	switch {
	case e.Score != "":
		it.score = e.Score
		j.finish(now, it, codec.ResultStateDone)
	case e.Limit > 0 && it.rewardFailures >= e.Limit:
		j.finish(now, it, codec.ResultStateDead)
	default:
		it.rewardAt = now.Add(rewardPause)
	}
}

func (b *Batcher) tick(now time.Time) {
	for _, j := range b.jobs {
		if !j.ended && j.routed && j.tooOld(now) && j.unfinished() > 0 {
			b.giveUp(now, j, StopMaxAge)
		}
	}
	b.stopStalled(now)
	b.moveFromSlow(now)
	b.save(now)
}

// Progress returns what is held of the items of a job that the store does not list.
func (b *Batcher) Progress(id identifier.BatchID) []codec.ItemProgress {
	j, ok := b.jobs[id]
	if !ok {
		return nil
	}
	listed := make(map[identifier.ItemID]struct{}, len(j.results))
	for _, result := range j.results {
		listed[result.Item] = struct{}{}
	}
	var progress []codec.ItemProgress
	for _, it := range j.items {
		if _, ok := listed[it.spec.ID]; !ok && len(it.events) > 0 {
			progress = append(progress, it.progress())
		}
	}
	return progress
}
