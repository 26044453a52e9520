package measurer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/service/measurer"
)

func small(policy measurer.Policy, condition measurer.Condition) measurer.Scenario {
	deployment := measurer.Deployments[1]
	deployment.Groups = 24
	return measurer.Scenario{
		Deployment: deployment, Condition: condition, Policy: policy, Placement: measurer.LeastInFlight, HonourSeeds: true, Steps: 4,
	}
}

// Guards against results that differ between two runs with one seed, a baseline that delivers stale samples, samples
// beyond the staleness bound, and delivered lengths that differ from the requested ones.
func TestRunsAreRepeatableAndWithinTheBound(t *testing.T) {
	defer asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("%s: %s", name, detail) })()
	for _, condition := range measurer.Conditions {
		baseline, err := measurer.Run(small(measurer.Synchronous, condition), 1)
		require.NoError(t, err)
		require.Zero(t, baseline.Staleness.Max())
		first, err := measurer.Run(small(measurer.RunAhead, condition), 1)
		require.NoError(t, err)
		second, err := measurer.Run(small(measurer.RunAhead, condition), 1)
		require.NoError(t, err)
		require.Equal(t, first, second)
		require.LessOrEqual(t, first.Staleness.Max(), measurer.Deployments[1].Bound)
		require.LessOrEqual(t, first.Useful, 1.0)
		require.Less(t, first.IdleShare, baseline.IdleShare)
		require.InDelta(t, first.Requested.Mean(), first.Delivered.Mean(), 0)
	}
}
