package spreader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/service/spreader"
)

// Guards against a host that takes its state for current after a pause, because of messages that had arrived during the pause, of a
// reply to a request from before it, or of a suspension that the monotonic clock does not count.
func TestConfirmationsFromBeforeAPauseDoNotCount(t *testing.T) {
	var c spreader.Confirmation
	begin := time.Now()
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	require.Zero(t, c.At(begin))
	c.Told(at(100*time.Millisecond), at(0))
	require.Equal(t, at(0), c.At(at(200*time.Millisecond)))
	c.Asked(at(500*time.Millisecond), 50*time.Millisecond)
	require.Equal(t, at(450*time.Millisecond), c.At(at(600*time.Millisecond)))

	resumed := 5 * time.Second
	c.Told(at(resumed), at(resumed))
	c.Told(at(resumed+500*time.Millisecond), at(resumed+400*time.Millisecond))
	c.Asked(at(600*time.Millisecond), 0)
	require.Equal(t, at(600*time.Millisecond), c.At(at(resumed+600*time.Millisecond)))
	c.Asked(at(resumed+600*time.Millisecond), 0)
	require.Equal(t, at(resumed+600*time.Millisecond), c.At(at(resumed+700*time.Millisecond)))
	c.Told(at(resumed+1100*time.Millisecond), at(resumed+time.Second))
	require.Equal(t, at(resumed+time.Second), c.At(at(resumed+1200*time.Millisecond)))

	suspended := at(resumed + time.Hour).Round(0)
	c.Told(suspended, suspended)
	require.Equal(t, at(resumed+time.Second), c.At(suspended))
}

// Guards against a host that watches the store and, just after a pause, takes its state for current because the store responds: the
// changes that came during the pause are read later, so a new key would be refused for good.
func TestStoreThatRespondsAfterAPauseConfirmsNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	var c spreader.Confirmation
	c.Compared(start, start)
	require.Equal(t, start, c.At(start))
	woken := start.Add(4 * time.Second)
	c.Compared(woken, woken)
	require.Equal(t, start, c.At(woken))
	for at := woken; at.Before(woken.Add(3 * time.Second)); at = at.Add(250 * time.Millisecond) {
		c.Compared(at, at)
	}
	require.True(t, c.At(woken.Add(3*time.Second)).After(woken.Add(2*time.Second)))
}
