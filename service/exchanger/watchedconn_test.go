package exchanger

import (
	"net"
	"testing"

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
