package dispatcher

import (
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

// State is how far an attempt came.
type State string

// The states of an attempt.
const (
	// StateUnsent means that no byte was written.
	StateUnsent State = "unsent"
	// StateSent means that bytes may have been written.
	StateSent State = "sent"
	// StateStarted means that the upstream has sent a part of its response.
	StateStarted State = "started"
	// StateFinished means that the attempt is over.
	StateFinished State = "finished"
)

// Repeat says which requests may be attempted again.
type Repeat string

// The kinds of repeats.
const (
	// RepeatAny allows any request, because nothing was sent.
	RepeatAny Repeat = "any"
	// RepeatIdempotent allows only requests that may run twice.
	RepeatIdempotent Repeat = "idempotent"
	// RepeatNever allows none, because a repeat would fail in the same way.
	RepeatNever Repeat = "never"
)

// Rule is one row of Rules.
type Rule struct {
	States   []State
	Failure  connector.Failure
	Outcome  codec.Outcome
	Repeat   Repeat
	Retry    refuser.RetryReason
	Refusal  refuser.Reason
	Evidence connector.Evidence
	Text     string
}

var (
	unsentOnly = []State{StateUnsent}
	sentOnly   = []State{StateSent}
	afterSent  = []State{StateSent, StateStarted}
	anyState   = []State{StateUnsent, StateSent, StateStarted}
)

// lostRule applies when no row matches the state: a failure that claims less than the state shows proves nothing.
var lostRule = Rule{
	anyState, connector.FailureLost, codec.OutcomeUnknown, RepeatIdempotent, refuser.RetryConnectionLost,
	refuser.OutcomeUnknown, connector.EvidenceConnectionLost, "The connection ended after the request was sent.",
}

// Rules documents what follows from each failure of an attempt (docs/design.md, section 5.4).
var Rules = []Rule{
	{
		unsentOnly, connector.FailureConnect, codec.OutcomeNotRun, RepeatAny, refuser.RetryConnectFailed,
		refuser.NoUpstream, connector.EvidenceConnectFailed, "No connection was made and no byte written.",
	},
	{
		unsentOnly, connector.FailureCancelled, codec.OutcomeNotRun, RepeatNever, "",
		refuser.CallerGone, "", "This host gave up before it sent anything.",
	},
	{
		sentOnly, connector.FailureNotStarted, codec.OutcomeNotRun, RepeatIdempotent, refuser.RetryUpstreamRefused,
		refuser.UpstreamRefused, connector.EvidenceRefused, "The upstream states that nothing ran.",
	},
	{
		sentOnly, connector.FailureLeaving, codec.OutcomeNotRun, RepeatIdempotent, refuser.RetryUpstreamLeaving,
		refuser.UpstreamRefused, connector.EvidenceLeaving, "The upstream is leaving and states that nothing ran.",
	},
	lostRule,
	{
		afterSent, connector.FailureTruncated, codec.OutcomeUnknown, RepeatIdempotent, refuser.RetryTruncated,
		refuser.ResponseIncomplete, "", "The response ended without its end marker.",
	},
	{
		afterSent, connector.FailureMismatch, codec.OutcomeUnknown, RepeatIdempotent, refuser.RetryBindingMismatch,
		refuser.OutcomeUnknown, "", "The response belongs to another attempt or skips a part.",
	},
	{
		afterSent, connector.FailureUnavailable, codec.OutcomeUnknown, RepeatIdempotent, refuser.RetryUpstreamRefused,
		refuser.UpstreamRefused, "", "The upstream failed without stating that nothing ran.",
	},
	{
		afterSent, connector.FailureStalled, codec.OutcomeUnknown, RepeatIdempotent, refuser.RetryStalled,
		refuser.OutcomeUnknown, "", "The upstream sent nothing for too long.",
	},
	{
		afterSent, connector.FailureOlderWeights, codec.OutcomeUnknown, RepeatIdempotent, refuser.RetryOlderWeights,
		refuser.NoUpstream, "", "The engine served weights older than the request allows.",
	},
	{
		afterSent, connector.FailureRejected, codec.OutcomeUnknown, RepeatNever, "",
		refuser.UpstreamRefused, connector.EvidenceResponded, "The upstream finds fault with the request itself.",
	},
	{
		afterSent, connector.FailureTooLarge, codec.OutcomeUnknown, RepeatNever, "",
		refuser.ResponseIncomplete, connector.EvidenceResponded, "The response exceeds the size limit.",
	},
	{
		unsentOnly, connector.FailureStopped, codec.OutcomeNotRun, RepeatNever, "",
		refuser.CrashesUpstreams, "", "The request was proven to crash upstreams before it was sent.",
	},
	{
		afterSent, connector.FailureStopped, codec.OutcomeUnknown, RepeatNever, "",
		refuser.CrashesUpstreams, "", "The request was proven to crash upstreams while it ran.",
	},
	{
		afterSent, connector.FailureCancelled, codec.OutcomeUnknown, RepeatNever, "",
		refuser.CallerGone, "", "The caller left or the deadline passed while the attempt ran.",
	},
}

// AttemptEvent is an input of an attempt.
type AttemptEvent interface{ isAttemptEvent() }

// Sent means that the first byte is about to be written.
type Sent struct{}

// Started means that a part of the response has arrived.
type Started struct{}

// Completed means that the whole response has arrived.
type Completed struct{}

// Failed means that the attempt failed.
type Failed struct{ Failure connector.Failure }

func (Sent) isAttemptEvent()      {}
func (Started) isAttemptEvent()   {}
func (Completed) isAttemptEvent() {}
func (Failed) isAttemptEvent()    {}

// AttemptCommand is an output of an attempt.
type AttemptCommand interface{ isAttemptCommand() }

// Conclude ends the attempt; the rule is nil when it completed.
type Conclude struct {
	Rule *Rule
	// Repeat reports whether the request may be attempted again.
	Repeat bool
}

func (Conclude) isAttemptCommand() {}

// AttemptConfig configures an attempt.
type AttemptConfig struct {
	// Idempotent tells that the request may run twice.
	Idempotent bool
}

// Attempt is the state machine of one attempt; it is not safe for concurrent use.
type Attempt struct {
	config AttemptConfig
	state  State
}

// NewAttempt returns an unsent attempt.
func NewAttempt(config AttemptConfig) *Attempt {
	return &Attempt{config: config, state: StateUnsent}
}

// State returns how far the attempt came.
func (a *Attempt) State() State { return a.state }

// Handle processes one event; events after the end have no effect.
func (a *Attempt) Handle(_ time.Time, event AttemptEvent) []AttemptCommand {
	if a.state == StateFinished {
		return nil
	}
	switch e := event.(type) {
	case Sent:
		if a.state == StateUnsent {
			a.state = StateSent
		}
	case Started:
		a.state = StateStarted
	case Completed:
		a.state = StateFinished
		return []AttemptCommand{Conclude{}}
	case Failed:
		rule := findRule(a.state, e.Failure)
		a.state = StateFinished
		return []AttemptCommand{Conclude{Rule: &rule, Repeat: a.mayRepeat(rule)}}
	}
	return nil
}

func (a *Attempt) mayRepeat(rule Rule) bool {
	return rule.Repeat == RepeatAny || rule.Repeat == RepeatIdempotent && a.config.Idempotent
}

func findRule(state State, failure connector.Failure) Rule {
	for _, rule := range Rules {
		if rule.Failure == failure && slices.Contains(rule.States, state) {
			return rule
		}
	}
	return lostRule
}
