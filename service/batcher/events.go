package batcher

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// RunID identifies one run of an item on an engine; IDs grow in the order in which runs start.
type RunID uint64

// Event is an input of the state machine.
type Event interface{ isEvent() }

// JobOpened adds a job that this host owns. Results are those that the store already holds; Progress holds the texts of
// the other items that a former owner handed over.
type JobOpened struct {
	Job         codec.BatchJob
	SubmittedAt time.Time
	Results     []codec.BatchResult
	Progress    []codec.ItemProgress
	// BodiesStored means that some bodies of items were left in the store.
	BodiesStored bool
	// Saved holds the unfinished texts from the store. A text in Progress takes precedence unless the saved one is longer.
	Saved []codec.ItemProgress
}

// JobEnded stops the runs of a job; its listed results remain readable.
type JobEnded struct{ Job identifier.BatchID }

// JobDropped removes a job from the state machine, because another host owns it or the job has expired.
type JobDropped struct{ Job identifier.BatchID }

// RoutesChanged gives the entry in effect for each open job; the route of a job without one has been removed.
type RoutesChanged struct {
	Entries map[identifier.BatchID]codec.Entry
	// Pending holds the jobs whose routes an old catalogue may lack because they were added since, so that nothing changes.
	Pending map[identifier.BatchID]struct{}
	// Moved holds the jobs that their routes no longer match. Their items stay in the pools of the former entry, if there is one.
	Moved map[identifier.BatchID]struct{}
	// Priorities holds the priorities of the customers; a nil one means that the customer has none.
	Priorities map[identifier.CustomerName]*int
}

// EnginesChanged replaces the usable engines of all pools.
type EnginesChanged struct {
	Engines map[identifier.PoolName][]codec.ListedHost
}

// LoadReported delivers the load that an engine has stated.
type LoadReported struct {
	Engine identifier.UpstreamID
	Load   codec.LoadReport
}

// EventReceived delivers one event of an item's text.
type EventReceived struct {
	Run   RunID
	Event connector.RunEvent
}

// RunEnded reports the outcome of a run; an Err of nil means that the text is complete.
type RunEnded struct {
	Run RunID
	Err error
}

// RewardEnded reports the outcome of a reward call. Failures counts the attempts to which the scorers responded with a
// failure. Without a score the call is sent again until the failures of all calls reach Limit.
type RewardEnded struct {
	Job      identifier.BatchID
	Item     identifier.ItemID
	Score    string
	Failures int
	// Limit is the number of failures after which the item is finished as dead; zero means no limit.
	Limit int
}

// Appended reports that the store holds the results of the last Append.
type Appended struct{ Job identifier.BatchID }

// TextsSaved reports that the store holds the texts of the last SaveTexts.
type TextsSaved struct{ Job identifier.BatchID }

// SaveConflict reports that another host has added to the saved texts of a job, so that this host must not add to them
// any more.
type SaveConflict struct{ Job identifier.BatchID }

// AppendConflict reports that another host has appended to the list of results, and delivers the list in the store.
type AppendConflict struct {
	Job     identifier.BatchID
	Results []codec.BatchResult
}

// StartsHeld makes the state machine start no runs and reward calls until StartsReleased.
type StartsHeld struct{}

// StartsReleased ends StartsHeld.
type StartsReleased struct{}

// Tick lets time-based rules run: expiry of jobs, detection of stalled and slow runs, and saving of texts.
type Tick struct{}

func (JobOpened) isEvent()      {}
func (JobEnded) isEvent()       {}
func (JobDropped) isEvent()     {}
func (RoutesChanged) isEvent()  {}
func (EnginesChanged) isEvent() {}
func (LoadReported) isEvent()   {}
func (EventReceived) isEvent()  {}
func (RunEnded) isEvent()       {}
func (RewardEnded) isEvent()    {}
func (Appended) isEvent()       {}
func (AppendConflict) isEvent() {}
func (TextsSaved) isEvent()     {}
func (SaveConflict) isEvent()   {}
func (StartsHeld) isEvent()     {}
func (StartsReleased) isEvent() {}
func (Tick) isEvent()           {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

// StartRun runs an item on an engine; generation resumes after event number After, or starts anew if it is zero.
type StartRun struct {
	Run  RunID
	Job  identifier.BatchID
	Host string
	// Customer owns the job; empty if there is none.
	Customer identifier.CustomerName
	Priority *int
	Item     *codec.BatchItem
	// Position is that of the item in its job. With BodyStored, its body has to be read from the store.
	Position   int
	BodyStored bool
	Engine     codec.ListedHost
	After      identifier.EventNumber
	// Expected is the expected time until the text is complete, if the engine was chosen by it; zero otherwise.
	Expected time.Duration
}

// StopRun cancels a run; a RunEnded event follows.
type StopRun struct {
	Run    RunID
	Reason StopReason
}

// StartReward sends the reward call of an item whose text is complete.
type StartReward struct {
	Job  identifier.BatchID
	Item identifier.ItemID
	Call codec.RewardCall
}

// StopRewards cancels the reward calls of a job in progress and their retries.
type StopRewards struct{ Job identifier.BatchID }

// Append writes results to the end of the list in the store. A job has at most one Append in progress.
type Append struct {
	Job     identifier.BatchID
	Results []codec.BatchResult
}

// SaveTexts writes what was added to the long unfinished texts. A job has at most one SaveTexts in progress.
type SaveTexts struct {
	Job   identifier.BatchID
	Texts []codec.SavedText
}

// LogOversized logs an item that is given up because the store can't hold its result.
type LogOversized struct {
	Job  identifier.BatchID
	Item identifier.ItemID
	Size identifier.Bytes
}

// LogRestart logs that the text of an item starts again, because no engine of its origin could continue it.
type LogRestart struct {
	Job    identifier.BatchID
	Item   identifier.ItemID
	Origin codec.StreamOrigin
	// Events is the number of events that are discarded.
	Events int
}

// NotifyReaders wakes the readers that wait for results of a job: its list has changed or the job has ended.
type NotifyReaders struct{ Job identifier.BatchID }

func (StartRun) isCommand()      {}
func (StopRun) isCommand()       {}
func (StartReward) isCommand()   {}
func (StopRewards) isCommand()   {}
func (Append) isCommand()        {}
func (NotifyReaders) isCommand() {}
func (SaveTexts) isCommand()     {}
func (LogRestart) isCommand()    {}
func (LogOversized) isCommand()  {}

// StopReason is why a run was stopped, as it appears in logs.
type StopReason string

// Reasons to stop a run.
const (
	StopJobEnded     StopReason = "job_ended"
	StopStalled      StopReason = "stalled"
	StopSlowEngine   StopReason = "slow_engine"
	StopOldWeights   StopReason = "old_weights"
	StopMixedWeights StopReason = "mixed_weights"
	StopMaxAge       StopReason = "max_age"
	StopRouteGone    StopReason = "route_gone"
	StopEngineGone   StopReason = "engine_gone"
	// StopEngineLeaving means that the engine will be gone before the run could end.
	StopEngineLeaving StopReason = "engine_leaving"
)
