package exchanger_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/exchanger"
)

// endless is a body without end that calls onRead before each read.
type endless struct{ onRead func() }

// Read fills p.
func (e endless) Read(p []byte) (int, error) {
	e.onRead()
	return len(p), nil
}

// Guards against bodies that are rejected although they are exactly as long as allowed, and against bytes lost between steps.
func TestBodyUpToTheLimit(t *testing.T) {
	budget := exchanger.NewBudget(10<<20, nil)
	for _, size := range []identifier.Bytes{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		want := bytes.Repeat([]byte("y"), int(size))
		text, err := budget.ReadBody(t.Context(), bytes.NewReader(want), 1<<20)
		require.NoError(t, err, "%d bytes", size)
		require.True(t, bytes.Equal(want, text))
	}
	_, err := budget.ReadBody(t.Context(), bytes.NewReader(make([]byte, 1<<20+1)), 1<<20)
	require.True(t, exchanger.IsTooLarge(err))
	require.Zero(t, budget.Used())
}

// Guards against several endless bodies that together take more memory than allowed while each is below its own limit.
func TestBudgetIsSharedByAllBodies(t *testing.T) {
	budget := exchanger.NewBudget(1<<20, nil)
	var inner error
	entered := false
	_, err := budget.ReadBody(t.Context(), endless{func() {
		require.LessOrEqual(t, budget.Used(), identifier.Bytes(1<<20))
		if budget.Used() > 512<<10 && !entered {
			entered = true
			_, inner = budget.ReadBody(t.Context(), endless{func() {}}, 768<<10)
		}
	}}, 900<<10)
	require.True(t, exchanger.IsTooLarge(err))
	require.True(t, exchanger.IsTooLarge(inner))
	require.Zero(t, budget.Used())
	_, err = budget.ReadBody(t.Context(), io.LimitReader(endless{func() {}}, 100<<10), 1<<20)
	require.NoError(t, err)
}
