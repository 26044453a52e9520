package asserter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
)

// Guards against a failed check that is not reported or not counted.
func TestCheckReportsAndCountsFailures(t *testing.T) {
	var got []asserter.Invariant
	restore := asserter.SetHandler(func(name asserter.Invariant, _ string) { got = append(got, name) })
	defer restore()
	before := asserter.Read(asserter.ResponseComplete)
	require.True(t, asserter.Check(asserter.ResponseComplete, true, "holds"))
	require.False(t, asserter.Check(asserter.ResponseComplete, false, "tokens %d", 3))
	after := asserter.Read(asserter.ResponseComplete)
	require.Equal(t, before.Checked+2, after.Checked)
	require.Equal(t, before.Failed+1, after.Failed)
	require.Equal(t, []asserter.Invariant{asserter.ResponseComplete}, got)
}
