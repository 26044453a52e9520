package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/refuser"
	"celerygap.example/service/scheduler"
)

// Guards against a sample that waits for the window of the retry budget, which held up a step for 10 s after a host died.
func TestSpentRetryBudgetDoesNotHoldUpAStep(t *testing.T) {
	b := newBench(4)
	b.add("trainer", 1, 1)
	require.Len(t, b.starts, 1)
	b.handle(scheduler.GenerationFailed{Ref: b.starts[0].Ref, Refusal: refuser.Unknown(refuser.RetryBudgetSpent, 10*time.Second, "spent")})
	b.now = b.now.Add(2 * time.Second)
	require.Len(t, b.handle(scheduler.Tick{}), 1)
}
