package batcher

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/profiler"
)

const (
	// defaultMaxAttempts bounds the failed runs and reward calls of an item whose route sets no max_attempts.
	defaultMaxAttempts = 3
	// runRetryDelay is the wait before an item runs again after a failed run, so that an outage of all engines does not
	// cause a burst of retries.
	runRetryDelay = 100 * time.Millisecond
	// rewardRetryDelay is the wait before a failed reward call is sent again.
	rewardRetryDelay = 200 * time.Millisecond
	// loadCost is added to the slowness of an engine whose slots are all in use, and proportionally less below that. It
	// is small because engines batch their requests: a busy one is hardly slower than an idle one.
	loadCost = 0.2
	// foreignCost is added to the slowness of an engine that mainly serves another model: the owner of that model's jobs fills it
	// without knowing of this host's runs. It is larger than loadCost, so that such an engine is used once the own ones are full.
	foreignCost = 0.3
	// returnCost is added to the slowness of the engine from which a text was moved, whose slot is free again at once.
	returnCost = 0.5
	// promptBonus is subtracted from the slowness of the engine that has already processed the group's prompt. It is
	// small because processing a prompt takes a fraction of the time of one event.
	promptBonus = 0.05
)

// Batcher is the state machine that schedules batch jobs; it is not safe for concurrent use.
type Batcher struct {
	jobs      map[identifier.BatchID]*job
	engines   map[identifier.UpstreamID]*engine
	engineIDs []identifier.UpstreamID
	runs      map[RunID]*run
	lastRun   RunID
	// promptEngines holds the engine that last processed the shared prompt of a group.
	promptEngines map[groupKey]identifier.UpstreamID
	// pacer keeps the runs within the limits that engines name; withoutTurn holds the engines that have none in this pass of
	// schedule.
	pacer       Pacer
	withoutTurn map[identifier.UpstreamID]struct{}
	// stating holds the pools whose engines state how long work takes on them.
	stating    map[identifier.PoolName]struct{}
	completion *completion
	// startsHeld is set while no runs and reward calls may start.
	startsHeld bool
	commands   []Command
}

// Pacer hands out turns for runs on engines that name a limit.
type Pacer interface {
	// Take uses up a turn for one run on an engine, if there is one, and requests one otherwise.
	Take(id identifier.UpstreamID) (ok bool, earliest time.Time)
	// Available reports whether Take would succeed now.
	Available(id identifier.UpstreamID) bool
}

// unlimited is the Pacer of engines that name no limits.
type unlimited struct{}

// Take always succeeds.
func (unlimited) Take(identifier.UpstreamID) (ok bool, earliest time.Time) { return true, time.Time{} }

// Available is always true.
func (unlimited) Available(identifier.UpstreamID) bool { return true }

type groupKey struct {
	job   identifier.BatchID
	group identifier.GroupID
}

// Config configures a Batcher.
type Config struct {
	// Pacer keeps the runs within the limits that engines name; nil means that they name none.
	Pacer Pacer
}

// New returns a batcher without jobs.
func New(config Config) *Batcher {
	if config.Pacer == nil {
		config.Pacer = unlimited{}
	}
	return &Batcher{
		pacer: config.Pacer, withoutTurn: make(map[identifier.UpstreamID]struct{}),
		jobs: make(map[identifier.BatchID]*job), engines: make(map[identifier.UpstreamID]*engine),
		runs: make(map[RunID]*run), promptEngines: make(map[groupKey]identifier.UpstreamID),
		stating: make(map[identifier.PoolName]struct{}), completion: newCompletion(),
	}
}

// Handle applies one event and returns the commands to execute.
func (b *Batcher) Handle(now time.Time, event Event) []Command {
	b.commands = nil
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
		b.noteLeaving(now)
		b.moveFromLeaving(now)
	case EventReceived:
		b.receive(now, e)
		return b.commands
	case LoadReported:
		if reporting, ok := b.engines[e.Engine]; ok {
			reporting.applyLoad(now, e.Load)
			b.noteSlowness(reporting.host.Pool, e.Load)
			b.completion.profile.Handle(now, profiler.Stated{Upstream: e.Engine, Load: e.Load})
		}
		return nil
	case RunEnded:
		b.endRun(now, e)
	case RewardEnded:
		b.endReward(now, e)
	case Appended:
		b.confirmAppend(e.Job)
	case TextsSaved:
		b.confirmSave(e.Job)
	case SaveConflict:
		b.stopSaving(e.Job)
	case AppendConflict:
		b.replaceResults(e)
	case StartsHeld:
		b.startsHeld = true
		return nil
	case StartsReleased:
		b.startsHeld = false
	case Tick:
		b.tick(now)
	}
	b.schedule(now)
	b.flush(now)
	return b.commands
}

func (b *Batcher) emit(command Command) { b.commands = append(b.commands, command) }

// open adds a job. An item that an ended job left unfinished may be submitted again under its ID; the text generated so
// far is reused if its weight versions are allowed in the new job.
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

// earlierProgress returns the longest text of an item among the ended jobs of the same model and customer, or nil.
func (b *Batcher) earlierProgress(j *job, id identifier.ItemID) *codec.ItemProgress {
	var best *codec.ItemProgress
	for _, other := range b.jobs {
		it, ok := other.byID[id]
		if !ok || other == j || !other.ended || other.job.Model != j.job.Model || other.job.Customer != j.job.Customer || !it.allowedIn(j) || len(it.events) == 0 {
			continue
		}
		if progress := it.progress(); best == nil || len(progress.Events) > len(best.Events) {
			// The later job may name another reward call.
			progress.Score = ""
			best = &progress
		}
	}
	return best
}

// abandonJob finishes all remaining items of a job as dead.
func (b *Batcher) abandonJob(now time.Time, j *job, reason StopReason) {
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
		it.releaseRequest()
		delete(b.promptEngines, groupKey{id, it.spec.Group})
		delete(b.completion.groupEngines, groupKey{id, it.spec.Group})
	}
	b.emit(StopRewards{Job: id})
	b.emit(NotifyReaders{Job: id})
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

// receive appends an event to an item's text. An event that is out of order, or from weights that the job does not allow,
// stops the run instead.
func (b *Batcher) receive(now time.Time, e EventReceived) {
	r, ok := b.runs[e.Run]
	if !ok || r.stopped != "" || r.item.run != r {
		return
	}
	it, j := r.item, r.job
	b.completion.received(now, r)
	r.measure(now)
	r.receivedEvent = true
	r.engine.refusals = 0
	r.engine.unproven = false
	r.lastEventAt = now
	r.engine.seenVersions[j.job.Model] = max(r.engine.seenVersions[j.job.Model], e.Event.Version)
	switch {
	case e.Event.Version < j.job.MinVersion:
		r.engine.contradict(now, j.job.Model, e.Event.Version)
		b.stop(r, StopOldWeights)
		return
	case j.singleVersion() && len(it.versions) > 0 && it.versions[0] != e.Event.Version:
		it.clear()
		b.stop(r, StopMixedWeights)
		return
	}
	if !asserter.Check(asserter.EventsInOrder, e.Event.Number == it.lastEvent()+1,
		"item %s: event %d after %d", it.spec.ID, e.Event.Number, it.lastEvent()) {
		b.stop(r, StopStalled)
		return
	}
	if len(it.events) == 0 {
		it.origin = r.engine.origin()
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
	b.completion.ended(now, r, e.Err == nil && r.stopped == "")
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
	b.handleFailedRun(now, r, e.Err)
}

// handleFailedRun delays the item, pauses the engine or finishes the item as dead, depending on the kind of failure.
func (b *Batcher) handleFailedRun(now time.Time, r *run, err error) {
	it, j := r.item, r.job
	switch r.stopped {
	case "":
	case StopOldWeights:
		// The next run may meet the same weights.
		it.notBefore = now.Add(runRetryDelay)
		return
	default:
		return
	}
	var failure connector.Failure
	if err != nil {
		failure = connector.FailureOf(err)
	}
	switch failure {
	case connector.FailureRejected:
		// The engine rejected the request itself, so another run would fail the same way.
		j.finish(now, it, codec.ResultStateDead)
	case connector.FailureUnavailable:
		if isFailedRun(err) {
			it.failures++
		}
		it.notBefore = now.Add(runRetryDelay)
		if it.failures >= j.maxAttempts() {
			j.finish(now, it, codec.ResultStateDead)
		}
	case connector.FailureNotStarted:
		b.pauseRefusing(now, r.engine)
	case connector.FailureBodyUnavailable:
		it.notBefore = now.Add(runRetryDelay)
	case connector.FailureBindingMismatch, connector.FailureTruncated:
		it.notBefore = now.Add(runRetryDelay)
		r.engine.unproven = r.engine.unproven || !r.receivedEvent
	case connector.FailureTooLarge:
		// No text of an item is that long, so none of it is kept.
		it.clear()
		it.notBefore = now.Add(runRetryDelay)
		r.engine.pause(now, failedPause)
	default:
		r.engine.unproven = r.engine.unproven || !r.receivedEvent
		r.engine.pause(now, failedPause)
	}
}

// isFailedRun reports whether an engine ran an item and failed. Other failure statuses, such as that of an engine that reached
// its time limit, say nothing about the item.
func isFailedRun(err error) bool {
	var failed *connector.UpstreamError
	return errors.As(err, &failed) && failed.Status == http.StatusInternalServerError
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
		it.rewardAt = now.Add(rewardRetryDelay)
	}
}

func (b *Batcher) tick(now time.Time) {
	for _, j := range b.jobs {
		switch {
		case j.ended:
		case j.routeEnded(now) && j.unfinished() > 0:
			b.abandonJob(now, j, StopRouteGone)
		case j.routed && j.tooOld(now) && j.unfinished() > 0:
			b.abandonJob(now, j, StopMaxAge)
		}
	}
	b.stopStalled(now)
	b.moveFromLeaving(now)
	b.moveFromSlow(now)
	b.save(now)
}

// Progress returns the texts generated so far for the items whose results the store does not hold yet.
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
