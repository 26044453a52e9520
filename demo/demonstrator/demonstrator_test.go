package demonstrator

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a demo that ends before its work is done or breaks a promise of docs/design.md section 1.1.
func TestDemoKeepsEveryPromise(t *testing.T) {
	report, err := Run(t.Context(), Config{Hosts: 3, Engines: 3, Steps: 2, Calls: 8, Progress: io.Discard})
	require.NoError(t, err)
	require.False(t, report.Failed(), "%+v", report)
	require.Equal(t, 2, report.Trainer.Steps)
	require.Equal(t, 64, report.Trainer.Samples)
	require.Equal(t, 24, report.Callers.Requests)
}
