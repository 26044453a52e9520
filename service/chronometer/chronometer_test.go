package chronometer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/service/chronometer"
)

// Guards against requests that are counted in a wrong window while the wall clock is off by seconds, and against a clock that never
// follows a correction that lasts.
func TestStepIsTakenOverOnlyOnceItHasLasted(t *testing.T) {
	var anchor chronometer.Anchor
	start := time.Unix(1_700_000_000, 0)
	read := func(at, step time.Duration) time.Duration {
		return anchor.Read(time.Hour+at, start.Add(at+step)).Sub(start) - at
	}
	require.Zero(t, read(0, 0))
	for at := time.Second; at < 59*time.Second; at += time.Second {
		require.Zero(t, read(at, 7*time.Second), "the clock followed a step after %s", at)
	}
	require.Zero(t, read(59*time.Second, 0), "the wall clock came back")
	for at := 60 * time.Second; at < 119*time.Second; at += time.Second {
		require.Zero(t, read(at, -3*time.Second), "the return did not restart the time")
	}
	require.Equal(t, -3*time.Second, read(121*time.Second, -3*time.Second))
	require.Equal(t, -3*time.Second, read(122*time.Second, 0), "the way back is a step too")
}

// Guards against a clock that stops between two readings.
func TestSinceBootAdvances(t *testing.T) {
	before := chronometer.SinceBoot()
	time.Sleep(2 * time.Millisecond)
	require.GreaterOrEqual(t, chronometer.SinceBoot()-before, 2*time.Millisecond)
	require.WithinDuration(t, time.Now(), chronometer.New().Now(), time.Second)
}
