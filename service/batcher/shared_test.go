package batcher

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
)

// Guards against a read for each of many callers at the same time, and against a caller that gets what was read before it
// called.
func TestSharedReadBeginsAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		work := grouper.NewGroup(-1)
		shared := newSharedRead(work, func() (time.Time, error) {
			began := time.Now()
			reads.Add(1)
			time.Sleep(10 * time.Millisecond)
			return began, nil
		})
		callers := grouper.NewGroup(-1)
		for i := range 100 {
			callers.Go(func() {
				time.Sleep(time.Duration(i%20) * time.Millisecond)
				called := time.Now()
				began, err := shared.get(t.Context())
				require.NoError(t, err)
				require.False(t, began.Before(called))
			})
		}
		callers.Wait()
		require.LessOrEqual(t, reads.Load(), int64(4))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := shared.get(ctx)
		require.ErrorIs(t, err, context.Canceled)
		work.Wait()
	})
}
