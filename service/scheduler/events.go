package scheduler

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

// Ref identifies one attempt to produce the sample of a slot.
type Ref struct {
	Trainer identifier.EntryName
	Step    identifier.StepNumber
	Slot    int
	Attempt int
}

// PageID identifies one page request on this host.
type PageID int64

// ReleasedStep is an open step with its finished samples and the slots that this host is still generating or scoring.
type ReleasedStep struct {
	Declaration codec.StepDeclaration
	Samples     []codec.Sample
	Running     []int
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Command is an output of the state machine.
type Command interface{ isCommand() }

// The events of a scheduler.
type (
	// TrainerConfigured gives the settings of a trainer from the catalogue.
	TrainerConfigured struct {
		Trainer  identifier.EntryName
		Settings Settings
	}
	// TrainerRemoved reports that the catalogue no longer has a trainer.
	TrainerRemoved struct{ Trainer identifier.EntryName }
	// StepDeclared adds a step. It has no effect if the step exists.
	StepDeclared struct {
		Trainer     identifier.EntryName
		Declaration codec.StepDeclaration
		// Cursor is the trainer's cursor of the step if known; it may be empty.
		Cursor string
		// Copies are finished samples that other hosts kept. They are part of this event, so that none of their slots is
		// started before they are adopted.
		Copies []codec.SampleCopies
		// Running are the slots that the former owner is still generating or scoring; it sends their samples to this host.
		Running []int
	}
	// WeightsAnnounced gives the trainer's newest weight version.
	WeightsAnnounced struct {
		Trainer identifier.EntryName
		Version identifier.WeightVersion
	}
	// ChunkArrived reports progress of an attempt: a chunk that an upstream generated with a weight version.
	ChunkArrived struct {
		Ref      Ref
		Version  identifier.WeightVersion
		Upstream identifier.UpstreamID
	}
	// Generated ends an attempt with a labelled sample.
	Generated struct {
		Ref    Ref
		Sample codec.Sample
	}
	// GenerationFailed ends an attempt without a sample.
	GenerationFailed struct {
		Ref     Ref
		Refusal *refuser.Refusal
	}
	// Scored gives the reward of a sample.
	Scored struct {
		Ref    Ref
		Reward float64
	}
	// ScoreFailed ends a call to the scorer without a reward.
	ScoreFailed struct {
		Ref     Ref
		Refusal *refuser.Refusal
	}
	// PageRequested requests a page. From Until on, it gets a reply even if there is nothing to deliver.
	PageRequested struct {
		ID      PageID
		Trainer identifier.EntryName
		Step    identifier.StepNumber
		Cursor  string
		Version identifier.WeightVersion
		Until   time.Time
	}
	// PageAbandoned reports that the caller of a page request is gone.
	PageAbandoned struct{ ID PageID }
	// SamplesAdopted gives finished samples from another host.
	SamplesAdopted struct {
		Trainer identifier.EntryName
		Step    identifier.StepNumber
		// Fingerprint identifies the declaration that the samples belong to.
		Fingerprint identifier.Fingerprint
		Samples     []codec.Sample
	}
	// TrainerReleased reports that another host schedules the trainer from now on.
	TrainerReleased struct{ Trainer identifier.EntryName }
	// Tick advances the time of the state machine.
	Tick struct{}
)

// The commands of a scheduler.
type (
	// StartGeneration starts one attempt.
	StartGeneration struct {
		Ref     Ref
		Request connector.GenerateRequest
	}
	// CancelGeneration cancels an attempt whose sample is no longer needed.
	CancelGeneration struct{ Ref Ref }
	// StartScore starts a call to the scorer for the reward of a sample.
	StartScore struct {
		Ref Ref
		// Attempt is the id that the generator gave to the attempt. Unlike Ref, it is unique across hosts.
		Attempt identifier.AttemptID
		Entry   identifier.EntryName
		Prompt  string
		Text    string
	}
	// ReplyPage replies to a page request with a page or a refusal.
	ReplyPage struct {
		ID      PageID
		Trainer identifier.EntryName
		Page    codec.SamplePage
		Refusal *refuser.Refusal
		// Waited is how long the request waited with nothing to deliver.
		Waited time.Duration
		// Staleness has one entry for each sample of the page.
		Staleness []int64
	}
	// SampleFinished reports that a sample is ready for delivery and can be copied to other hosts.
	SampleFinished struct {
		Trainer     identifier.EntryName
		Fingerprint identifier.Fingerprint
		Sample      codec.Sample
		// Released reports whether another host schedules the trainer now and needs the sample.
		Released bool
	}
	// StepEnded reports that the declaration of a step is no longer needed.
	StepEnded struct {
		Trainer  identifier.EntryName
		Step     identifier.StepNumber
		Complete bool
	}
	// Released hands over the open steps and finished samples of a trainer to its new host.
	Released struct {
		Trainer identifier.EntryName
		Steps   []ReleasedStep
	}
	// Retried reports for the metrics that a slot is generated again.
	Retried struct {
		Trainer identifier.EntryName
		Reason  refuser.RetryReason
	}
)

func (TrainerConfigured) isEvent() {}
func (TrainerRemoved) isEvent()    {}
func (StepDeclared) isEvent()      {}
func (WeightsAnnounced) isEvent()  {}
func (ChunkArrived) isEvent()      {}
func (Generated) isEvent()         {}
func (GenerationFailed) isEvent()  {}
func (Scored) isEvent()            {}
func (ScoreFailed) isEvent()       {}
func (PageRequested) isEvent()     {}
func (PageAbandoned) isEvent()     {}
func (SamplesAdopted) isEvent()    {}
func (TrainerReleased) isEvent()   {}
func (Tick) isEvent()              {}

func (StartGeneration) isCommand()  {}
func (CancelGeneration) isCommand() {}
func (StartScore) isCommand()       {}
func (ReplyPage) isCommand()        {}
func (SampleFinished) isCommand()   {}
func (StepEnded) isCommand()        {}
func (Released) isCommand()         {}
func (Retried) isCommand()          {}
