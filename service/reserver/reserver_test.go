package reserver_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/reserver"
)

const megabyte = identifier.Bytes(1 << 20)

// Guards against more memory in use than the limit, and against large requests that never get in: each of many that come at once is
// served within the wait or comes back after the stated time and is served then.
func TestLargeReservationsGetInOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := reserver.New(reserver.Config{Limit: 80 * megabyte})
		work := grouper.NewGroup(-1)
		for range 20 {
			work.Go(func() {
				for attempt := 0; ; attempt++ {
					held, err := a.Reserve(t.Context(), 60*megabyte)
					var full *reserver.FullError
					if errors.As(err, &full) {
						require.Positive(t, full.RetryAfter)
						require.Less(t, attempt, 20)
						time.Sleep(full.RetryAfter)
						continue
					}
					require.NoError(t, err)
					time.Sleep(300 * time.Millisecond)
					held.Release()
					return
				}
			})
		}
		work.Wait()
		require.Zero(t, a.Used())
		require.Equal(t, 60*megabyte, a.Peak())
	})
}

// Guards against small requests that wait behind large ones, and against large ones that take the room of the small ones.
func TestSmallReservationsPassLargeOnes(t *testing.T) {
	a := reserver.New(reserver.Config{Limit: 80 * megabyte, MaxWait: time.Hour})
	_, err := a.Reserve(t.Context(), 70*megabyte)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	work := grouper.NewGroup(-1)
	work.Go(func() { _, _ = a.Reserve(ctx, 9*megabyte) })
	for range 100 {
		_, err := a.Reserve(t.Context(), reserver.SmallSize)
		require.NoError(t, err)
	}
	cancel()
	work.Wait()
}

// Guards against a request within its limits that a small host refuses for ever, and against accepted work that is not counted.
func TestLargerThanTheLimitRunsAlone(t *testing.T) {
	a := reserver.New(reserver.Config{Limit: 10 * megabyte, MaxWait: time.Millisecond})
	job := a.Charge(9 * megabyte)
	_, err := a.Reserve(t.Context(), 33*megabyte)
	require.Error(t, err)
	job.Set(0)
	held, err := a.Reserve(t.Context(), 33*megabyte)
	require.NoError(t, err)
	_, err = a.Reserve(t.Context(), megabyte)
	require.Error(t, err)
	held.Release()
	held.Release()
	require.Zero(t, a.Used())
}

// Guards against bodies without a stated length that are read without a reservation, and against memory that is not released after
// an error.
func TestBodiesAreReservedBeforeTheyAreRead(t *testing.T) {
	a := reserver.New(reserver.Config{Limit: 10 * megabyte, MaxWait: time.Millisecond})
	text := strings.Repeat("x", int(2*megabyte))
	for _, length := range []int64{-1, int64(len(text))} {
		body, held, err := a.ReadBody(t.Context(), strings.NewReader(text), length, 2*megabyte)
		require.NoError(t, err)
		require.Len(t, body, len(text))
		require.GreaterOrEqual(t, held.Size(), 2*megabyte)
		held.Release()
		_, _, err = a.ReadBody(t.Context(), strings.NewReader(text), length, megabyte)
		require.ErrorIs(t, err, reserver.ErrTooLarge)
		blocked := a.Charge(9 * megabyte)
		_, _, err = a.ReadBody(t.Context(), strings.NewReader(text), length, 2*megabyte)
		var full *reserver.FullError
		require.ErrorAs(t, err, &full)
		blocked.Release()
	}
	_, _, err := a.ReadBody(t.Context(), strings.NewReader("x"), 2, megabyte)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Zero(t, a.Used())
}
