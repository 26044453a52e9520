package exchanger

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a byte that is written after the request was reported as not sent: http.Transport returns the error of an
// ended context even if its writing goroutine has not begun yet.
func TestAbandonedExchangeWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	sent := 0
	state := &exchangeState{onSent: func() { sent++ }}
	conn := &watchedConn{Conn: near}
	conn.exchange.Store(state)
	require.True(t, state.abandon())
	_, err := conn.Write([]byte("x"))
	require.ErrorIs(t, err, errAbandoned)
	require.Zero(t, sent)

	state = &exchangeState{onSent: func() { sent++ }}
	require.NoError(t, state.markSent())
	require.NoError(t, state.markSent())
	require.False(t, state.abandon())
	require.Equal(t, 1, sent)
}

// Guards against a connection that seems to lead to a living process because this one read, after a pause, what had arrived before
// or during it: another process may have taken the upstream's address meanwhile.
func TestBytesReadAfterAPauseDoNotShowThatTheUpstreamLives(t *testing.T) {
	start := time.Now()
	at := func(offset time.Duration) time.Time { return start.Add(offset) }
	c := &Connection{}
	c.received(at(0), at(50*time.Millisecond))
	require.True(t, c.AliveSince(at(0)))
	paused := 3 * time.Second
	c.received(at(50*time.Millisecond), at(paused))
	c.received(at(paused), at(paused+time.Millisecond))
	require.False(t, c.AliveSince(at(paused-time.Second)))
	later := paused + drainTime
	c.received(at(later), at(later+50*time.Millisecond))
	require.True(t, c.AliveSince(at(later)))
	c.closed.Store(true)
	require.False(t, c.AliveSince(at(0)))
}
