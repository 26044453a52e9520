package dispatcher

import (
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

// State is the progress of an attempt.
type State string

// The states of an attempt.
const (
	// StateUnsent means that no byte of the request was written.
	StateUnsent State = "unsent"
	// StateSent means that bytes of the request may have been written.
	StateSent State = "sent"
	// StateStarted means that a part of the response has arrived.
	StateStarted State = "started"
	// StateFinished means that the attempt completed or failed.
	StateFinished State = "finished"
)

// RetryScope is the set of requests that may be retried after a failure.
type RetryScope string

// The sets of requests that may be retried.
const (
	// RetryAny allows a retry of any request, because nothing was sent.
	RetryAny RetryScope = "any"
	// RetryIdempotent allows a retry only of requests that may run twice.
	RetryIdempotent RetryScope = "idempotent"
	// RetryNever allows no retry: it would fail in the same way, or nobody waits for it any more.
	RetryNever RetryScope = "never"
)

// Rule states the consequences of one failure in certain states of an attempt. Refusal and Text are used if the request is
// not retried; Evidence is reported for the upstream unless it is empty.
type Rule struct {
	States      []State
	Failure     connector.Failure
	Outcome     codec.Outcome
	Retryable   RetryScope
	RetryReason refuser.RetryReason
	Refusal     refuser.Reason
	Evidence    connector.Evidence
	Text        string
}

var (
	unsentOnly = []State{StateUnsent}
	sentOnly   = []State{StateSent}
	afterSent  = []State{StateSent, StateStarted}
	anyState   = []State{StateUnsent, StateSent, StateStarted}
)

// lostRule is the rule for a lost connection. It also applies when no rule matches the failure and the state, because a
// failure that contradicts the state, such as a failed connect after bytes were sent, does not prove that nothing ran.
var lostRule = Rule{
	anyState, connector.FailureConnectionLost, codec.OutcomeUnknown, RetryIdempotent, refuser.RetryConnectionLost,
	refuser.OutcomeUnknown, connector.EvidenceConnectionLost, "The connection ended after the request was sent.",
}

// Rules lists the consequences of each failure of an attempt (docs/design.md, section 5.4).
var Rules = []Rule{
	{
		unsentOnly, connector.FailureConnectFailed, codec.OutcomeNotRun, RetryAny, refuser.RetryConnectFailed,
		refuser.NoUpstream, connector.EvidenceConnectFailed, "The connection failed before any byte was written.",
	},
	{
		unsentOnly, connector.FailureCancelled, codec.OutcomeNotRun, RetryNever, "",
		refuser.CallerGone, "", "This host cancelled the attempt before it sent anything.",
	},
	{
		sentOnly, connector.FailureNotStarted, codec.OutcomeNotRun, RetryIdempotent, refuser.RetryUpstreamRefused,
		refuser.UpstreamRefused, connector.EvidenceRefused, "The upstream refused and states that nothing ran.",
	},
	{
		sentOnly, connector.FailureLeaving, codec.OutcomeNotRun, RetryIdempotent, refuser.RetryUpstreamLeaving,
		refuser.UpstreamRefused, connector.EvidenceLeaving, "The upstream is leaving and states that nothing ran.",
	},
	lostRule,
	{
		afterSent, connector.FailureTruncated, codec.OutcomeUnknown, RetryIdempotent, refuser.RetryTruncated,
		refuser.ResponseIncomplete, "", "The response ended without its end marker.",
	},
	{
		afterSent, connector.FailureBindingMismatch, codec.OutcomeUnknown, RetryIdempotent, refuser.RetryBindingMismatch,
		refuser.OutcomeUnknown, "", "The response belongs to another attempt or has a gap.",
	},
	{
		afterSent, connector.FailureUnavailable, codec.OutcomeUnknown, RetryIdempotent, refuser.RetryUpstreamRefused,
		refuser.UpstreamRefused, "", "The upstream failed without stating that nothing ran.",
	},
	{
		afterSent, connector.FailureStalled, codec.OutcomeUnknown, RetryIdempotent, refuser.RetryStalled,
		refuser.OutcomeUnknown, "", "The upstream sent nothing for too long.",
	},
	{
		afterSent, connector.FailureOlderWeights, codec.OutcomeUnknown, RetryIdempotent, refuser.RetryOlderWeights,
		refuser.NoUpstream, "", "The engine served weights older than the request allows.",
	},
	{
		afterSent, connector.FailureRestarted, codec.OutcomeUnknown, RetryIdempotent, refuser.RetryUpstreamRestarted,
		refuser.OutcomeUnknown, "", "Another process of the upstream responded than the one that the list describes.",
	},
	{
		afterSent, connector.FailureRejected, codec.OutcomeUnknown, RetryNever, "",
		refuser.UpstreamRefused, connector.EvidenceResponded, "The upstream rejected the request as invalid.",
	},
	{
		afterSent, connector.FailureTooLarge, codec.OutcomeUnknown, RetryNever, "",
		refuser.ResponseIncomplete, connector.EvidenceResponded, "The response exceeds the size limit.",
	},
	{
		unsentOnly, connector.FailureStopped, codec.OutcomeNotRun, RetryNever, "",
		refuser.CrashesUpstreams, "", "The request was proven to crash upstreams before it was sent.",
	},
	{
		afterSent, connector.FailureStopped, codec.OutcomeUnknown, RetryNever, "",
		refuser.CrashesUpstreams, "", "The request was proven to crash upstreams while it ran.",
	},
	{
		afterSent, connector.FailureCancelled, codec.OutcomeUnknown, RetryNever, "",
		refuser.CallerGone, "", "The caller disconnected or the deadline passed while the attempt ran.",
	},
}

// AttemptEvent is an input of the state machine of an attempt.
type AttemptEvent interface{ isAttemptEvent() }

// Sent means that the first byte of the request is about to be written.
type Sent struct{}

// ResponseStarted means that a part of the response has arrived; only the first one has an effect.
type ResponseStarted struct{}

// Completed means that the complete response has arrived.
type Completed struct{}

// Failed means that the attempt ended without a complete response.
type Failed struct{ Failure connector.Failure }

func (Sent) isAttemptEvent()            {}
func (ResponseStarted) isAttemptEvent() {}
func (Completed) isAttemptEvent()       {}
func (Failed) isAttemptEvent()          {}

// AttemptCommand is an output of the state machine of an attempt.
type AttemptCommand interface{ isAttemptCommand() }

// Conclude ends the attempt.
type Conclude struct {
	// Rule applies to the failure of the attempt; nil means that it completed.
	Rule *Rule
	// Retry reports whether the request may be retried.
	Retry bool
}

func (Conclude) isAttemptCommand() {}

// AttemptConfig configures an attempt.
type AttemptConfig struct {
	// Idempotent reports whether the request may run twice.
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

// State returns the progress of the attempt.
func (a *Attempt) State() State { return a.state }

// Handle applies one event; events after the first Completed or Failed have no effect.
func (a *Attempt) Handle(_ time.Time, event AttemptEvent) []AttemptCommand {
	if a.state == StateFinished {
		return nil
	}
	switch e := event.(type) {
	case Sent:
		if a.state == StateUnsent {
			a.state = StateSent
		}
	case ResponseStarted:
		a.state = StateStarted
	case Completed:
		a.state = StateFinished
		return []AttemptCommand{Conclude{}}
	case Failed:
		rule := findRule(a.state, e.Failure)
		a.state = StateFinished
		return []AttemptCommand{Conclude{Rule: &rule, Retry: a.mayRetry(rule)}}
	}
	return nil
}

func (a *Attempt) mayRetry(rule Rule) bool {
	return rule.Retryable == RetryAny || rule.Retryable == RetryIdempotent && a.config.Idempotent
}

func findRule(state State, failure connector.Failure) Rule {
	for _, rule := range Rules {
		if rule.Failure == failure && slices.Contains(rule.States, state) {
			return rule
		}
	}
	return lostRule
}
