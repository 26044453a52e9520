package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// itemState is the state of an item.
type itemState string

const (
	itemWaiting itemState = "waiting"
	itemRunning itemState = "running"
	// itemScoring means that the text is complete and the reward call is in progress or waits for a retry.
	itemScoring itemState = "scoring"
	// itemFinished means that the result is final, though the store may not hold it yet.
	itemFinished itemState = "finished"
)

// item is one item of a job with its text so far.
type item struct {
	spec     *codec.BatchItem
	position int
	// hint is the length that the submitter expects of the text in relation to the mean of those of the job; 1 if it states none.
	// Submitters state tokens, of which an event may hold many.
	hint  float64
	state itemState
	// events holds the text so far; versions holds the weight versions that generated it, in order of first use.
	events   []string
	versions []identifier.WeightVersion
	// origin is that of the first event; only engines of the same origin may continue the text.
	origin   codec.StreamOrigin
	complete bool
	score    string
	run      *run
	// blockedSince is when no engine of the text's origin was free for the next run; zero while the item is not blocked.
	blockedSince time.Time
	// failures counts the runs to which engines responded with a failure status.
	failures int
	// rewardFailures counts the failures that scorers returned; rewardAt is when the call may be sent again.
	rewardFailures int
	rewardSent     bool
	rewardAt       time.Time
	// notBefore is the earliest time of the next run after a failed one.
	notBefore time.Time
	// saved is the number of the text's events in the store. With savedAll set, the text is saved again only once it has
	// more events.
	saved    int
	savedAll bool
	// restarts counts how often the text was cleared.
	restarts int
	// bodyStored is set if the body of the item is only in the store.
	bodyStored bool
	// moves counts the runs that were moved away from slow engines; movedFrom is the last of these engines.
	moves     int
	movedFrom identifier.UpstreamID
}

// run is one run of an item on an engine.
type run struct {
	id        RunID
	job       *job
	item      *item
	engine    *engine
	startedAt time.Time
	// lastEventAt is when the last event arrived, or the start of the run before the first event.
	lastEventAt   time.Time
	receivedEvent bool
	// events is the number of events received; eventInterval is the moving average of the time between them.
	events        int
	eventInterval time.Duration
	// stopped is set when StopRun is emitted.
	stopped StopReason
}

// savedState is the state of a text when a SaveTexts command with it was emitted.
type savedState struct {
	restarts int
	events   int
}

// job is a batch job that this host owns; it stays readable after its end.
type job struct {
	job   codec.BatchJob
	entry codec.Entry
	// customerPriority is the priority of the customer in the configuration in effect; nil if it has none.
	customerPriority *int
	// routed is set once an entry has been in effect for the job; until then its items do not run.
	routed bool
	// routeRemovedAt is when the route of the job was found removed; zero while it is there.
	routeRemovedAt time.Time
	submittedAt    time.Time
	items          []*item
	// startOrder holds the items in the order in which they start, the longest expected text first.
	startOrder []*item
	byID       map[identifier.ItemID]*item
	ended      bool
	// expected is the expected time until the completion of the item whose engine was chosen last, zero if it was not chosen by that.
	expected time.Duration
	// results holds the results in the store; pending holds the final results that are not stored yet, of which the
	// first inAppend are being written.
	results   []codec.BatchResult
	pending   []codec.BatchResult
	pendingAt time.Time
	inAppend  int
	// groupCompleted is set when the pending results complete a group.
	groupCompleted bool
	// saving holds the texts of the SaveTexts in progress; savedAt is when the last one was emitted, and savingStopped
	// is set once another host has added to the saved texts.
	saving        map[*item]savedState
	savedAt       time.Time
	savingStopped bool
	// waitedUntil is when items of the job last waited for engines, as of a statement of demand.
	waitedUntil time.Time
}

func newJob(event JobOpened) *job {
	j := &job{
		job: event.Job, submittedAt: event.SubmittedAt, byID: make(map[identifier.ItemID]*item, len(event.Job.Items)),
		results: event.Results,
	}
	j.job.Items = nil
	for i, spec := range event.Job.Items {
		// Each item has a copy of its own, which can be released alone.
		it := &item{spec: &spec, position: i, state: itemWaiting, hint: 1, bodyStored: event.BodiesStored && spec.Body == nil}
		j.items = append(j.items, it)
		j.byID[it.spec.ID] = it
	}
	setHints(j.items)
	j.startOrder = slices.Clone(j.items)
	slices.SortStableFunc(j.startOrder, func(x, y *item) int { return cmp.Compare(y.spec.ExpectedTokens, x.spec.ExpectedTokens) })
	j.markListed()
	for _, saved := range event.Saved {
		if it, ok := j.byID[saved.Item]; ok && it.state == itemWaiting {
			it.restore(saved)
			it.saved = len(saved.Events)
			it.savedAll = true
		}
	}
	for _, progress := range event.Progress {
		if it, ok := j.byID[progress.Item]; ok && it.state == itemWaiting && len(progress.Events) >= len(it.events) {
			it.restore(progress)
			// The former owner may have restarted the text since it was saved, so all of it is saved again.
			it.saved = 0
			it.savedAll = false
		}
	}
	return j
}

// setHints relates the lengths that the submitter of a job expects to their mean.
func setHints(items []*item) {
	var sum, count float64
	for _, it := range items {
		if it.spec.ExpectedTokens > 0 {
			sum += float64(it.spec.ExpectedTokens)
			count++
		}
	}
	for _, it := range items {
		if it.spec.ExpectedTokens > 0 {
			it.hint = float64(it.spec.ExpectedTokens) * count / sum
		}
	}
}

// markListed finishes the items whose results the store holds.
func (j *job) markListed() {
	for _, result := range j.results {
		if it, ok := j.byID[result.Item]; ok {
			it.state = itemFinished
			it.releaseRequest()
		}
	}
}

// releaseRequest drops what is needed only to run the item. Runs in progress keep their copy.
func (it *item) releaseRequest() {
	it.spec = &codec.BatchItem{ID: it.spec.ID, Group: it.spec.Group, ExpectedTokens: it.spec.ExpectedTokens, Tokens: it.spec.Tokens}
	it.bodyStored = true
}

func (it *item) restore(progress codec.ItemProgress) {
	it.events = slices.Clone(progress.Events)
	it.versions = slices.Clone(progress.Versions)
	it.origin = progress.Origin
	it.complete = progress.Complete
	it.score = progress.Score
}

func (it *item) progress() codec.ItemProgress {
	return codec.ItemProgress{
		Item: it.spec.ID, Events: slices.Clone(it.events), Versions: slices.Clone(it.versions), Origin: it.origin,
		Complete: it.complete, Score: it.score,
	}
}

// clear discards the text, so that the item starts from the beginning.
func (it *item) clear() {
	it.events = nil
	it.versions = nil
	it.origin = codec.StreamOrigin{}
	it.complete = false
	it.score = ""
	it.saved = 0
	it.savedAll = false
	it.restarts++
}

// fits reports whether an engine may run the item: it may continue the text, or there is none yet.
func (it *item) fits(e *engine) bool { return len(it.events) == 0 || it.origin == e.origin() }

func (it *item) lastEvent() identifier.EventNumber { return identifier.EventNumber(len(it.events)) }

// allowedIn reports whether the text so far may become part of a result of the job.
func (it *item) allowedIn(j *job) bool {
	if j.singleVersion() && len(it.versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(it.versions, func(version identifier.WeightVersion) bool { return version < j.job.MinVersion })
}

func (j *job) singleVersion() bool { return j.entry.Batch != nil && j.entry.Batch.SingleVersion }

func (j *job) allowsPool(pool identifier.PoolName) bool {
	return j.entry.Route != nil && slices.ContainsFunc(j.entry.Route.Pools, func(share codec.WeightedPool) bool {
		return share.Pool == pool && share.Weight > 0
	})
}

func (j *job) maxAttempts() int {
	if j.entry.Route == nil || j.entry.Route.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return j.entry.Route.MaxAttempts
}

func (j *job) priority() int {
	if j.entry.Route == nil {
		return 0
	}
	return j.entry.Route.Priority
}

func (j *job) due() time.Time {
	if j.entry.Batch == nil || j.entry.Batch.Due <= 0 {
		return j.submittedAt
	}
	return j.submittedAt.Add(j.entry.Batch.Due.Std())
}

func (j *job) tooOld(now time.Time) bool {
	return j.entry.Batch != nil && j.entry.Batch.MaxAge > 0 && !now.Before(j.submittedAt.Add(j.entry.Batch.MaxAge.Std()))
}

// unfinished returns the number of items without a final result.
func (j *job) unfinished() int {
	count := 0
	for _, it := range j.items {
		if it.state != itemFinished {
			count++
		}
	}
	return count
}

// finish makes the result of an item final and queues it to be written.
func (j *job) finish(now time.Time, it *item, state codec.ResultState) {
	it.state = itemFinished
	result := codec.BatchResult{Item: it.spec.ID, State: state}
	if state == codec.ResultStateDone {
		result.Text = joinEvents(it.events)
		result.Versions = it.versions
		result.Score = it.score
	}
	if len(j.pending) == 0 {
		j.pendingAt = now
	}
	j.pending = append(j.pending, result)
	j.groupCompleted = j.groupCompleted || it.spec.Group != "" && j.hasFinished(it.spec.Group)
}

// hasFinished reports whether all items of a group have a final result.
func (j *job) hasFinished(group identifier.GroupID) bool {
	return !slices.ContainsFunc(j.items, func(it *item) bool { return it.spec.Group == group && it.state != itemFinished })
}
