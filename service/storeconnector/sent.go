package storeconnector

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countingConn counts the writes that may have put bytes on the network.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts the write before the system call, because a blocked write may already have sent bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

func dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// sentTracker reports whether any byte of a request may have been sent. The transport may use several connections for one
// request: it retries on a new one if an idle one was closed before anything was written.
type sentTracker struct {
	mu   sync.Mutex
	used []usedConn
}

// usedConn is a connection of a request with the number of its earlier writes.
type usedConn struct {
	conn   *countingConn
	before int64
}

// trace returns a context that records the connections that a request uses.
func (m *sentTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: m.gotConn})
}

func (m *sentTracker) gotConn(info httptrace.GotConnInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		// The writes of a TLS connection are not visible here, so its use counts as sent.
		m.used = append(m.used, usedConn{conn: &countingConn{}, before: -1})
		return
	}
	m.used = append(m.used, usedConn{conn: conn, before: conn.writes.Load()})
}

func (m *sentTracker) mayHaveArrived() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range m.used {
		if u.conn.writes.Load() > u.before {
			return true
		}
	}
	return false
}
