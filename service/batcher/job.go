package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// itemState is how far an item has come.
type itemState string

const (
	itemWaiting itemState = "waiting"
	itemRunning itemState = "running"
	// itemScoring means that the text is complete and the reward call is on its way or waits for its repeat.
	itemScoring itemState = "scoring"
	// itemFinished means that the result is decided.
	itemFinished itemState = "finished"
)

// item is one item of a job.
type item struct {
	spec     *codec.BatchItem
	position int
	state    itemState
	// events holds the text so far and versions the versions that made it, in order of their first use.
	events   []string
	versions []identifier.WeightVersion
	complete bool
	score    string
	run      *run
	// failures counts the runs that the engines answered with a failure.
	failures int
	// rewardFailures counts the failures that scorers answered, rewardAt is when the call may be repeated.
	rewardFailures int
	rewardSent     bool
	rewardAt       time.Time
	// notBefore keeps an item back after a failed run.
	notBefore time.Time
	// saved is how many events the store holds of the text, and savedAll whether it holds its latest state.
	saved    int
	savedAll bool
	// start counts how often the text was started.
	start int
	// moves counts the moves away from slow engines.
	moves int
}

// run is one run of an item on an engine.
type run struct {
	id     RunID
	job    *job
	item   *item
	engine *engine
	// eventAt is when the last event came, or the run's start.
	eventAt time.Time
	begun   bool
	// stopped is set once StopRun was issued.
	stopped StopReason
}

// savedState is the state of a text when it was given to SaveTexts.
type savedState struct {
	start  int
	events int
}

// job is an open batch job.
type job struct {
	job         codec.BatchJob
	entry       codec.Entry
	routed      bool
	submittedAt time.Time
	items       []*item
	// order holds the items in the order in which they start.
	order []*item
	byID  map[identifier.ItemID]*item
	ended bool
	// results are those that the store holds, pending those that are decided but not stored; the first inAppend of
	// them are being written.
	results   []codec.BatchResult
	pending   []codec.BatchResult
	pendingAt time.Time
	inAppend  int
	// saving holds the texts of the SaveTexts on its way; savedAt is when the last one
	// began, and noSaving is set once another host has added to the saved texts.
	saving   map[*item]savedState
	savedAt  time.Time
	noSaving bool
}

func newJob(event JobOpened) *job {
	j := &job{
		job: event.Job, submittedAt: event.SubmittedAt, byID: make(map[identifier.ItemID]*item, len(event.Job.Items)),
		results: event.Results,
	}
	for i := range event.Job.Items {
		it := &item{spec: &event.Job.Items[i], position: i, state: itemWaiting}
		j.items = append(j.items, it)
		j.byID[it.spec.ID] = it
	}
	j.order = slices.Clone(j.items)
	slices.SortStableFunc(j.order, func(x, y *item) int { return cmp.Compare(y.spec.ExpectedTokens, x.spec.ExpectedTokens) })
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
			// The former owner may have started the text again since it was saved, so all of it is saved anew.
			it.saved = 0
			it.savedAll = false
		}
	}
	return j
}

// markListed finishes the items whose results the store holds.
func (j *job) markListed() {
	for _, result := range j.results {
		if it, ok := j.byID[result.Item]; ok {
			it.state = itemFinished
		}
	}
}

func (it *item) restore(progress codec.ItemProgress) {
	it.events = slices.Clone(progress.Events)
	it.versions = slices.Clone(progress.Versions)
	it.complete = progress.Complete
	it.score = progress.Score
}

func (it *item) progress() codec.ItemProgress {
	return codec.ItemProgress{
		Item: it.spec.ID, Events: slices.Clone(it.events), Versions: slices.Clone(it.versions), Complete: it.complete, Score: it.score,
	}
}

// clear forgets the text, so that the item starts from the beginning.
func (it *item) clear() {
	it.events = nil
	it.versions = nil
	it.complete = false
	it.score = ""
	it.saved = 0
	it.savedAll = false
	it.start++
}

func (it *item) last() identifier.EventNumber { return identifier.EventNumber(len(it.events)) }

// fits reports whether the text that is held may become part of a result of the job.
func (it *item) fits(j *job) bool {
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

// unfinished counts the items whose result is not decided.
func (j *job) unfinished() int {
	count := 0
	for _, it := range j.items {
		if it.state != itemFinished {
			count++
		}
	}
	return count
}

// finish decides the result of an item.
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
}
