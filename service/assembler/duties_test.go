package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Guards against loads that wait for the runs of models whose texts may have several versions, only because texts of another
// pool may not.
func TestOnlyModelsOfSingleVersionJobsFinishRuns(t *testing.T) {
	entry := func(pool identifier.PoolName, single bool) codec.Entry {
		return codec.Entry{
			Batch: &codec.BatchSpec{SingleVersion: single},
			Route: &codec.RouteSpec{Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}},
		}
	}
	catalogue := &codec.Catalogue{
		Pools: []codec.Pool{
			{Name: "p", Models: []identifier.ModelName{"m1", "m2"}}, {Name: "q", Models: []identifier.ModelName{"m3"}},
		},
		Entries: []codec.Entry{entry("p", true), entry("q", false), {Route: &codec.RouteSpec{}}},
	}
	require.Equal(t, map[identifier.ModelName]bool{"m1": true, "m2": true}, finishRuns(catalogue))
}
