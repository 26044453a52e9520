package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/estimator"
)

func newEstimator() *estimator.Estimator {
	return estimator.New(estimator.Config{Lowest: 1e-4, PriorMedian: 0.025, MaxClasses: 64})
}

// Guards against estimates that follow single requests of a caller whose bodies look alike while costs differ a hundredfold.
func TestCostsOfSimilarRequestsDifferAHundredfold(t *testing.T) {
	e, random := newEstimator(), rand.New(rand.NewPCG(1, 2))
	key := estimator.Key{Route: "r", Customer: "c", Size: estimator.SizeOf(4000)}
	for i := range 2000 {
		if i > 300 {
			require.InEpsilon(t, 0.109, e.Estimate(key).Mean, 0.6)
		}
		cost := 0.01
		if random.Float64() < 0.1 {
			cost = 1
		}
		e.Learn(key, cost)
	}
	require.InDelta(t, 1, e.Calibration().Ratio, 0.5)
	require.Greater(t, e.Calibration().Covered, 0.8)
}

// Guards against estimates that stay wrong for hundreds of requests after a cost has jumped, up or down.
func TestCostsThatJumpAreForgotten(t *testing.T) {
	e := newEstimator()
	key := estimator.Key{Route: "r", Size: 10}
	for _, cost := range []float64{0.01, 0.4, 0.005} {
		for range 500 {
			e.Learn(key, cost)
		}
		require.InEpsilon(t, cost, e.Estimate(key).Mean, 0.4)
	}
	for range 30 {
		e.Learn(key, 0.5)
	}
	require.Greater(t, e.Estimate(key).Mean, 0.2)
}

// Guards against classes that are estimated alike although size or customer tell them apart, and against a new class that is
// taken for unknown although its route is known.
func TestClassesAreToldApart(t *testing.T) {
	e := newEstimator()
	small, large := estimator.Key{Route: "r", Customer: "a", Size: 8}, estimator.Key{Route: "r", Customer: "a", Size: 14}
	for range 100 {
		e.Learn(small, 0.01)
		e.Learn(large, 0.3)
	}
	require.Less(t, e.Estimate(small).Mean, 0.03)
	require.Greater(t, e.Estimate(large).Mean, 0.2)
	require.Greater(t, e.Estimate(estimator.Key{Route: "r", Customer: "b", Size: 14}).Mean, 0.2)
	e.Forget()
	require.Zero(t, e.Estimate(small).Known)
}

// Guards against estimates that heavy tails carry away: the sum of the estimates stays near that of the costs.
func TestHeavyTails(t *testing.T) {
	e, random := newEstimator(), rand.New(rand.NewPCG(3, 4))
	key := estimator.Key{Route: "r"}
	var estimated, seen float64
	for range 5000 {
		cost := 0.01 * math.Pow(1-random.Float64(), -1/1.8)
		estimated += e.Estimate(key).Mean
		seen += cost
		e.Learn(key, cost)
		require.Less(t, e.Estimate(key).Mean, 0.2)
	}
	require.InEpsilon(t, seen, estimated, 0.3)
}

// Guards against memory that grows with the number of callers, and against a class in use that is dropped for rare ones.
func TestMemoryIsBounded(t *testing.T) {
	e := newEstimator()
	used := estimator.Key{Route: "r", Customer: "used", Size: 12}
	for i := range 5000 {
		e.Learn(used, 0.5)
		e.Learn(estimator.Key{Route: "r", Customer: identifier.CustomerName(fmt.Sprint(i)), Size: i % 4}, 0.01)
	}
	require.Greater(t, e.Estimate(used).Mean, 0.3)
	e.Learn(used, math.NaN())
	e.Learn(used, -1)
	require.False(t, math.IsNaN(e.Estimate(used).Mean))
}
