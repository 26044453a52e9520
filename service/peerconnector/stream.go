package peerconnector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"
)

const (
	// streamPrefix begins a connection that carries a stream of bytes instead of calls. No call begins with it, because it is
	// the length of an empty message.
	streamPrefix = 0
	// maxProtocolLength is the length in bytes of the longest name of a stream's protocol.
	maxProtocolLength = 64
)

// streamKeepAlive detects within three seconds that the other end of a stream is gone.
var streamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// HandleStream registers the handler of the streams of a protocol; it must be called before Run. A stream is closed when its
// handler returns, or when the context of the handler ends.
func (c *Connector) HandleStream(protocol string, handler connector.StreamHandler) {
	c.streams[protocol] = handler
}

// DialStream opens a connection of its own to another host, for a stream of bytes of the given protocol.
func (c *Connector) DialStream(ctx context.Context, to codec.Member, protocol string) (net.Conn, error) {
	if len(protocol) == 0 || len(protocol) > maxProtocolLength {
		return nil, fmt.Errorf("stream protocol %q: the name must have 1 to %d bytes", protocol, maxProtocolLength)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: streamKeepAlive}
	socket, err := dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, annotator.Wrap("open stream", peerName(to), err)
	}
	conn, err := c.secure(ctx, socket, to.Address)
	if err != nil {
		return nil, annotator.Wrap("secure stream", peerName(to), err)
	}
	// A stream may wait for a slow reader for any time.
	countingConnOf(conn).writeTimeout = 0
	preface := append([]byte{streamPrefix, byte(len(protocol))}, protocol...)
	if _, err := conn.Write(preface); err != nil {
		_ = conn.Close()
		return nil, annotator.Wrap("open stream", peerName(to), err)
	}
	return conn, nil
}

// bufferedConn is a connection whose first bytes have been read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads the buffered bytes first.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// serveAccepted serves an accepted connection as a link for calls or as a stream, depending on its first byte.
func (c *Connector) serveAccepted(ctx context.Context, accepted net.Conn) {
	conn := &bufferedConn{Conn: accepted, reader: bufio.NewReader(accepted)}
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	_ = conn.SetReadDeadline(time.Now().Add(c.config.IdleTimeout + acceptedGrace))
	first, err := conn.reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		_ = conn.Close()
	case first[0] == streamPrefix:
		c.serveStream(ctx, conn)
		_ = conn.Close()
	default:
		l := c.newLink(conn, false)
		if c.addLink(l, "") != nil {
			return
		}
		release()
		select {
		case <-l.conn.DisconnectNotify():
			c.removeLink(l)
		case <-ctx.Done():
		}
	}
}

func (c *Connector) serveStream(ctx context.Context, conn *bufferedConn) {
	_ = conn.SetReadDeadline(time.Now().Add(c.config.DialTimeout))
	protocol, err := readPreface(conn.reader)
	_ = conn.SetReadDeadline(time.Time{})
	handler, ok := c.streams[protocol]
	if err != nil || !ok {
		return
	}
	counted := countingConnOf(conn)
	counted.writeTimeout = 0
	counted.keep()
	if socket, ok := counted.Conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		_ = socket.SetKeepAliveConfig(streamKeepAlive)
	}
	handler(ctx, conn)
}

func readPreface(reader io.Reader) (protocol string, err error) {
	var head [2]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return "", err
	}
	if head[1] == 0 || head[1] > maxProtocolLength {
		return "", errors.New("invalid length of a stream's protocol")
	}
	name := make([]byte, head[1])
	_, err = io.ReadFull(reader, name)
	return string(name), err
}
