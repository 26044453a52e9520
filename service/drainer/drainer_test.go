package drainer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/drainer"
)

func entry(idempotent bool, limit time.Duration) codec.Entry {
	return codec.Entry{Route: &codec.RouteSpec{Idempotent: idempotent}, Limits: codec.Limits{Deadline: identifier.Duration(limit)}}
}

// Guards against requests that are taken during a stop although they cannot end in time, and against refusals of those that can.
func TestDeadlinesDuringAStop(t *testing.T) {
	d := drainer.New()
	now := time.Now()
	deadline, err := d.Deadline(entry(false, time.Minute), now, now.Add(time.Hour))
	require.NoError(t, err)
	require.Equal(t, now.Add(time.Hour), deadline, "without a stop")
	until := now.Add(4 * time.Second)
	d.Drain(until)
	for _, c := range []struct {
		idempotent bool
		limit      time.Duration
		deadline   time.Time
		want       time.Time
		refused    bool
	}{
		{false, 2 * time.Second, now.Add(time.Hour), now.Add(time.Hour), false},
		{false, time.Minute, now.Add(3 * time.Second), now.Add(3 * time.Second), false},
		{false, 2 * time.Second, time.Time{}, time.Time{}, false},
		{false, time.Minute, now.Add(5 * time.Second), time.Time{}, true},
		{false, 0, time.Time{}, time.Time{}, true},
		{true, time.Minute, now.Add(5 * time.Second), until, false},
		{true, 0, time.Time{}, until, false},
	} {
		deadline, err := d.Deadline(entry(c.idempotent, c.limit), now, c.deadline)
		if c.refused {
			refusal, ok := refuser.As(err)
			require.True(t, ok, "%+v", c)
			require.Equal(t, refuser.Draining, refusal.Reason)
			require.Equal(t, codec.OutcomeNotRun, refusal.Outcome)
			continue
		}
		require.NoError(t, err, "%+v", c)
		require.Equal(t, c.want, deadline, "%+v", c)
	}
}

// Guards against requests that outlast a stop without an end, and against late ones that are taken.
func TestEndOfAStop(t *testing.T) {
	d := drainer.New()
	ctx, release := d.Context(t.Context())
	defer release()
	d.Drain(time.Now())
	require.NoError(t, d.CheckLate())
	d.Refuse()
	require.Error(t, d.CheckLate())
	require.NoError(t, ctx.Err())
	d.End()
	<-ctx.Done()
	require.ErrorIs(t, context.Cause(ctx), connector.ErrDraining)
}
