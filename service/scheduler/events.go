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

// PageID identifies one waiting page request on this host.
type PageID int64

// ReleasedStep is an open step with its finished samples and the slots that this host still finishes.
type ReleasedStep struct {
	Declaration codec.StepDeclaration
	Samples     []codec.Sample
	Running     []int
}

// Event is something that the scheduler decides on.
type Event interface{ isEvent() }

// Command is a decision of the scheduler.
type Command interface{ isCommand() }

// The events of a scheduler.
type (
	// TrainerConfigured gives the settings of a trainer from the catalogue.
	TrainerConfigured struct {
		Trainer  identifier.EntryName
		Settings Settings
	}
	// TrainerRemoved tells that the catalogue no longer has a trainer.
	TrainerRemoved struct{ Trainer identifier.EntryName }
	// StepDeclared adds a step; a repeat has no effect.
	StepDeclared struct {
		Trainer     identifier.EntryName
		Declaration codec.StepDeclaration
		// Cursor holds the slots that the trainer is known to hold already; it may be empty.
		Cursor string
		// Copies are finished samples that other hosts kept. They come with the declaration, so that none of them is
		// started again in between.
		Copies []codec.SampleCopies
		// Running are slots that the former host still generates and passes on.
		Running []int
	}
	// WeightsAnnounced tells the trainer's newest weight version.
	WeightsAnnounced struct {
		Trainer identifier.EntryName
		Version identifier.WeightVersion
	}
	// ChunkArrived tells that an attempt made progress.
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
	// PageAsked asks for a page; it is answered at Until at the latest.
	PageAsked struct {
		ID      PageID
		Trainer identifier.EntryName
		Step    identifier.StepNumber
		Cursor  string
		Version identifier.WeightVersion
		Until   time.Time
	}
	// PageAbandoned tells that the caller of a page request is gone.
	PageAbandoned struct{ ID PageID }
	// SamplesAdopted brings finished samples from another host.
	SamplesAdopted struct {
		Trainer identifier.EntryName
		Step    identifier.StepNumber
		// Fingerprint names the declaration that the samples belong to.
		Fingerprint identifier.Fingerprint
		Samples     []codec.Sample
	}
	// TrainerReleased tells that another host schedules the trainer from now on.
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
	// CancelGeneration ends an attempt whose sample is no longer needed.
	CancelGeneration struct{ Ref Ref }
	// StartScore asks the scorer for the reward of a sample.
	StartScore struct {
		Ref Ref
		// Attempt is the generator's own id of the attempt, which no other host uses.
		Attempt identifier.AttemptID
		Entry   identifier.EntryName
		Prompt  string
		Text    string
	}
	// ReplyPage answers a page request with a page or a refusal.
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
	// SampleFinished tells that a sample waits for delivery and may be copied to other hosts.
	SampleFinished struct {
		Trainer     identifier.EntryName
		Fingerprint identifier.Fingerprint
		Sample      codec.Sample
		// Released tells that another host schedules the trainer and needs the sample.
		Released bool
	}
	// StepEnded tells that the declaration of a step is no longer needed.
	StepEnded struct {
		Trainer  identifier.EntryName
		Step     identifier.StepNumber
		Complete bool
	}
	// Released hands the open steps and finished samples of a trainer to its new host.
	Released struct {
		Trainer identifier.EntryName
		Steps   []ReleasedStep
	}
	// Retried tells that a slot is generated again, for the metrics.
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
func (PageAsked) isEvent()         {}
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
