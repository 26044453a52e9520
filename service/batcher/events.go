package batcher

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// RunID names one run of an item on an engine.
type RunID uint64

// Event is an input of the state machine.
type Event interface{ isEvent() }

// JobOpened adds a job that this host owns. Results are those that the store holds already; Progress is what a former
// owner held of the other items.
type JobOpened struct {
	Job         codec.BatchJob
	SubmittedAt time.Time
	Results     []codec.BatchResult
	Progress    []codec.ItemProgress
	// Saved is what the store holds of the unfinished texts; Progress continues it.
	Saved []codec.ItemProgress
}

// JobEnded stops a job; what is listed stays.
type JobEnded struct{ Job identifier.BatchID }

// JobDropped forgets a job, because another host owns it or its results are no longer asked for.
type JobDropped struct{ Job identifier.BatchID }

// RoutesChanged gives the entry in effect of each open job; a job without one can no longer be run.
type RoutesChanged struct {
	Entries map[identifier.BatchID]codec.Entry
}

// EnginesChanged replaces the usable engines of all pools.
type EnginesChanged struct {
	Engines map[identifier.PoolName][]codec.ListedHost
}

// EventReceived is a part of an item's text.
type EventReceived struct {
	Run   RunID
	Event connector.RunEvent
}

// RunEnded tells how a run ended; an Err of nil means that the text is complete.
type RunEnded struct {
	Run RunID
	Err error
}

// RewardEnded tells how a reward call ended. Failures counts the failures that the scorers answered; without a score
// and with too few failures the call is repeated.
type RewardEnded struct {
	Job      identifier.BatchID
	Item     identifier.ItemID
	Score    string
	Failures int
	// Limit is the number of failures after which the item may be given up.
	Limit int
}

// Appended tells that the store holds the results of the last Append.
type Appended struct{ Job identifier.BatchID }

// TextsSaved tells that the store holds the texts of the last SaveTexts.
type TextsSaved struct{ Job identifier.BatchID }

// SavingEnded tells that another host has added to the saved texts, so that this one can no longer continue them.
type SavingEnded struct{ Job identifier.BatchID }

// Superseded replaces the list of results by the store's, after another host appended to it.
type Superseded struct {
	Job     identifier.BatchID
	Results []codec.BatchResult
}

// Tick advances the time of the state machine.
type Tick struct{}

func (JobOpened) isEvent()      {}
func (JobEnded) isEvent()       {}
func (JobDropped) isEvent()     {}
func (RoutesChanged) isEvent()  {}
func (EnginesChanged) isEvent() {}
func (EventReceived) isEvent()  {}
func (RunEnded) isEvent()       {}
func (RewardEnded) isEvent()    {}
func (Appended) isEvent()       {}
func (Superseded) isEvent()     {}
func (TextsSaved) isEvent()     {}
func (SavingEnded) isEvent()    {}
func (Tick) isEvent()           {}

// Command is an output of the state machine.
type Command interface{ isCommand() }

// StartRun starts an item on an engine after the last event that is held.
type StartRun struct {
	Run    RunID
	Job    identifier.BatchID
	Host   string
	Item   *codec.BatchItem
	Engine codec.ListedHost
	After  identifier.EventNumber
}

// StopRun ends a run; its RunEnded follows.
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

// Append writes results to the store, behind those that it holds; the next Append follows its outcome.
type Append struct {
	Job     identifier.BatchID
	Results []codec.BatchResult
}

// SaveTexts writes what was added to the long unfinished texts; the next SaveTexts follows its outcome.
type SaveTexts struct {
	Job   identifier.BatchID
	Texts []codec.SavedText
}

// Changed tells that the list of results of a job has grown or the job has ended.
type Changed struct{ Job identifier.BatchID }

func (StartRun) isCommand()    {}
func (StopRun) isCommand()     {}
func (StartReward) isCommand() {}
func (Append) isCommand()      {}
func (Changed) isCommand()     {}
func (SaveTexts) isCommand()   {}

// StopReason says why a run is stopped.
type StopReason string

// The reasons for which runs are stopped.
const (
	StopJobEnded     StopReason = "job_ended"
	StopStalled      StopReason = "stalled"
	StopSlowEngine   StopReason = "slow_engine"
	StopOldWeights   StopReason = "old_weights"
	StopMixedWeights StopReason = "mixed_weights"
	StopMaxAge       StopReason = "max_age"
	StopRouteGone    StopReason = "route_gone"
	StopEngineGone   StopReason = "engine_gone"
)
