package peerconnector

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"celerygap.example/lib/annotator"
)

// sweepsPerIdleTimeout is the number of sweeps during one idle timeout. A sweep closes idle connections and adds the byte
// counts to the metrics.
const sweepsPerIdleTimeout = 6

// acceptedGrace is how much longer than the dialing side the accepting side keeps an idle connection open.
const acceptedGrace = 10 * time.Second

// Run serves other hosts until the context ends; then it closes all connections and waits for the handlers.
func (c *Connector) Run(ctx context.Context) error {
	c.background.Go(func() { c.sweepLoop(ctx) })
	release := context.AfterFunc(ctx, func() { _ = c.config.Listener.Close() })
	defer release()
	err := c.accept(ctx)
	c.shutdown()
	return annotator.Wrap("accept peer connections", "self", err)
}

func (c *Connector) accept(ctx context.Context) error {
	for {
		socket, err := c.config.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = socket.Close()
			}
			return nil
		}
		if err != nil {
			if retryable(err) {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return err
		}
		c.background.Go(func() { c.serveConn(ctx, socket) })
	}
}

// retryable reports whether Accept may succeed later, as after a temporary shortage of file descriptors.
func retryable(err error) bool {
	return !errors.Is(err, net.ErrClosed)
}

// serveConn completes the TLS handshake of an accepted connection, if TLS is configured, and serves the connection.
func (c *Connector) serveConn(ctx context.Context, socket net.Conn) {
	var conn net.Conn = &countingConn{Conn: socket, traffic: &c.traffic, writeTimeout: c.config.CallTimeout}
	if c.config.TLS != nil {
		secured := tls.Server(conn, c.config.TLS)
		handshake, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
		defer cancel()
		if err := secured.HandshakeContext(handshake); err != nil {
			_ = socket.Close()
			return
		}
		conn = secured
	}
	c.serveAccepted(ctx, conn)
}

func (c *Connector) sweepLoop(ctx context.Context) {
	ticks, cancel := c.config.Timer.Subscribe(c.config.IdleTimeout / sweepsPerIdleTimeout)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			c.flushMetrics()
			return
		case now := <-ticks:
			c.sweep(now)
			c.flushMetrics()
		}
	}
}

// sweep removes closed connections from the tables and closes idle ones.
func (c *Connector) sweep(now time.Time) {
	c.mu.Lock()
	var idle []*link
	for l := range c.links {
		if l.disconnected() {
			delete(c.links, l)
		} else if l.expired(now) {
			// From here on no call gets this connection.
			l.retired.Store(true)
			idle = append(idle, l)
		}
	}
	for key, l := range c.byPeer {
		if l.disconnected() {
			delete(c.byPeer, key)
		}
	}
	c.mu.Unlock()
	for _, l := range idle {
		_ = l.conn.Close()
	}
}

func (l *link) disconnected() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// expired reports whether the connection has no calls in progress and is retired or has been idle for too long.
func (l *link) expired(now time.Time) bool {
	if l.retired.Load() && l.running.Load() == 0 {
		return true
	}
	limit := l.owner.config.IdleTimeout
	if !l.dialed {
		limit += acceptedGrace
	}
	return l.running.Load() == 0 && now.Sub(time.Unix(0, l.lastUse.Load())) >= limit
}

func (c *Connector) flushMetrics() {
	c.mu.Lock()
	now := c.trafficLocked()
	sent := now.BytesSent - c.flushed.BytesSent
	received := now.BytesReceived - c.flushed.BytesReceived
	c.flushed = now
	c.mu.Unlock()
	c.config.Meter.PeerBytes("sent", sent)
	c.config.Meter.PeerBytes("received", received)
}

func (c *Connector) shutdown() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.stop()
	c.background.Wait()
	c.mu.Lock()
	links := make([]*link, 0, len(c.links))
	for l := range c.links {
		links = append(links, l)
	}
	c.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Close()
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		l.handlers.Wait()
	}
}
