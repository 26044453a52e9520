package sizer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"celerygap.example/lib/asserter"
	"celerygap.example/service/sizer"
)

// Guards against a fleet over real connections that does not become ready, misses a change or leaves goroutines behind,
// and against results that are not set.
func TestMeasureRunsARealFleet(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer asserter.SetHandler(func(name asserter.Invariant, text string) { t.Errorf("%s: %s", name, text) })()
	result, err := sizer.Measure(t.Context(), 10, sizer.Config{Quiet: 2 * time.Second, Changes: 3, Entries: 20})
	require.NoError(t, err)
	require.Positive(t, result.BytesSent)
	require.Positive(t, result.MessagesReceived)
	require.Positive(t, result.CPU)
	require.Positive(t, result.BytesPerChange)
	require.Less(t, result.InEffectMax, 13*time.Second)
	var out strings.Builder
	require.NoError(t, sizer.Report(&out, []sizer.Result{result}))
	require.Contains(t, out.String(), "10 hosts")
}

// Guards against a fit that does not return the line on which all points lie.
func TestFitFindsALine(t *testing.T) {
	line := sizer.Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	require.InDelta(t, 3, line.Base, 1e-9)
	require.InDelta(t, 2, line.Slope, 1e-9)
	require.InDelta(t, 23, line.At(10), 1e-9)
}

// Guards against a host list of which not all upstreams are decoded, which MeasureList returns as an error.
func TestMeasureListDecodesAllUpstreams(t *testing.T) {
	cost, err := sizer.MeasureList(30, 5)
	require.NoError(t, err)
	require.Positive(t, cost.Bytes)
}
