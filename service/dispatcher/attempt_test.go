package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
)

var failures = []connector.Failure{
	connector.FailureConnectFailed, connector.FailureNotStarted, connector.FailureLeaving, connector.FailureConnectionLost,
	connector.FailureTruncated, connector.FailureBindingMismatch, connector.FailureUnavailable, connector.FailureRejected,
	connector.FailureTooLarge, connector.FailureStalled, connector.FailureOlderWeights, connector.FailureStopped,
	connector.FailureCancelled,
}

// Guards against "not run" for an attempt that may have run, against a second run of a non-idempotent request, and
// against an attempt that concludes twice.
func TestAttemptStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		a := dispatcher.NewAttempt(dispatcher.AttemptConfig{Idempotent: idempotent})
		var sent, started, concluded bool
		handle := func(event dispatcher.AttemptEvent) *dispatcher.Conclude {
			commands := a.Handle(time.Time{}, event)
			if len(commands) == 0 {
				return nil
			}
			require.False(t, concluded, "concluded twice")
			concluded = true
			c := commands[0].(dispatcher.Conclude)
			return &c
		}
		t.Repeat(map[string]func(*rapid.T){
			"send":  func(*rapid.T) { sent = sent || !concluded; handle(dispatcher.Sent{}) },
			"start": func(*rapid.T) { started = started || !concluded; handle(dispatcher.ResponseStarted{}) },
			"complete": func(t *rapid.T) {
				if c := handle(dispatcher.Completed{}); c != nil {
					require.Nil(t, c.Rule)
				}
			},
			"fail": func(t *rapid.T) {
				failure := rapid.SampledFrom(failures).Draw(t, "failure")
				c := handle(dispatcher.Failed{Failure: failure})
				if c == nil {
					return
				}
				refused := failure == connector.FailureNotStarted || failure == connector.FailureLeaving
				mayHaveRun := started || sent && !refused
				if mayHaveRun {
					require.Equal(t, codec.OutcomeUnknown, c.Rule.Outcome)
				}
				if c.Retry {
					require.True(t, idempotent || !sent && !started, "retry of a non-idempotent request that was sent")
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, concluded, a.State() == dispatcher.StateFinished)
			},
		})
	})
}

// Guards against two rules for the same failure and state, against a failure without any rule, and against a rule
// without its texts or reasons.
func TestRulesAreCompleteAndDocumented(t *testing.T) {
	seen := make(map[connector.Failure]map[dispatcher.State]bool)
	for _, rule := range dispatcher.Rules {
		require.NotEmpty(t, rule.Text)
		require.NotEmpty(t, rule.Refusal, rule.Failure)
		require.Equal(t, rule.Retryable == dispatcher.RetryNever, rule.RetryReason == "", rule.Failure)
		if seen[rule.Failure] == nil {
			seen[rule.Failure] = make(map[dispatcher.State]bool)
		}
		for _, state := range rule.States {
			require.False(t, seen[rule.Failure][state], "two rules for %s in state %s", rule.Failure, state)
			seen[rule.Failure][state] = true
		}
	}
	for _, failure := range failures {
		require.NotEmpty(t, seen[failure], "no rule for %s", failure)
	}
}
