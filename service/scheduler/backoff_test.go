package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/refuser"
	"celerygap.example/service/scheduler"
)

// Guards against a slot that waits for the window of the retry budget before its next attempt, which delayed a step by 10 s
// after a host failed.
func TestSpentRetryBudgetDoesNotHoldUpAStep(t *testing.T) {
	h := newHarness(4)
	h.add("trainer", 1, 1)
	require.Len(t, h.starts, 1)
	h.handle(scheduler.GenerationFailed{Ref: h.starts[0].Ref, Refusal: refuser.Unknown(refuser.RetryBudgetSpent, 10*time.Second, "spent")})
	h.now = h.now.Add(2 * time.Second)
	require.Len(t, h.handle(scheduler.Tick{}), 1)
}
