package peerconnector

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/reserver"
)

// maxFrameBytes bounds one message: a complete catalogue has at most 1 MiB, a page of samples a few MiB. Without a bound,
// a damaged length prefix could make the receiver allocate any amount of memory.
const maxFrameBytes = 16 << 20

const (
	// firstFrameStage and secondFrameStage are the sizes up to which a message is read before memory for more is reserved, so that a message costs its
	// account no more than its sender has sent.
	firstFrameStage  = 64 << 10
	secondFrameStage = 1 << 20
	// minFrameRate is the rate in bytes a second at which a message must come after the idle time-out, on average.
	minFrameRate = 256 << 10
)

// frameCodec is a jsonrpc2.ObjectCodec that encodes a message as a varint length and one JSON value.
type frameCodec struct {
	traffic *counters
	memory  *reserver.Account
	// unknown is the account of messages from connections whose other end is not known.
	unknown *reserver.Account
	// conn is the connection that the messages are read from, timeout the time for a message without its length.
	conn    *countingConn
	timeout time.Duration
}

// WriteObject writes one message; it is an error if the message exceeds maxFrameBytes.
func (f frameCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return fmt.Errorf("peer message of %d bytes exceeds the limit of %d bytes", len(data), maxFrameBytes)
	}
	if _, err := stream.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = stream.Write(data)
	f.traffic.messagesSent.Add(1)
	return err
}

// reservedFrameBytes is the size above which a message, which can only be a job or its texts, waits for memory before it is read. A
// smaller one, such as the list of upstreams, is charged: it must not wait behind requests of callers.
const reservedFrameBytes = 2 << 20

// ReadObject reads one message into object; it is an error if the message exceeds maxFrameBytes. A message for which there is no
// memory, or which is not JSON, is left out, so its call gets no reply.
func (f frameCodec) ReadObject(stream *bufio.Reader, object any) error {
	for {
		size, err := binary.ReadUvarint(stream)
		if err != nil {
			return err
		}
		if size > maxFrameBytes {
			return fmt.Errorf("peer message of %d bytes exceeds the limit of %d bytes", size, maxFrameBytes)
		}
		err = f.readFrame(stream, object, int(size))
		var malformed *json.SyntaxError
		if errors.As(err, &malformed) || errors.Is(err, errNoMemory) {
			// The frame was read to its end, so the next one can be read: one message must not cost the connection.
			f.traffic.messagesLeftOut.Add(1)
			continue
		}
		return err
	}
}

// errNoMemory means that a message was discarded because there was no memory for it.
var errNoMemory = errors.New("there is no memory for the message")

// readFrame reads a message of the given size. What is reserved for it counts until it is decoded.
func (f frameCodec) readFrame(stream *bufio.Reader, object any, size int) error {
	_ = f.conn.SetReadDeadline(time.Now().Add(f.timeout + time.Duration(size)*time.Second/minFrameRate))
	defer func() { _ = f.conn.SetReadDeadline(time.Time{}) }()
	var data []byte
	for _, stage := range []int{firstFrameStage, secondFrameStage, size} {
		stage = min(stage, size)
		if stage <= len(data) {
			continue
		}
		if len(data) > 0 {
			held, err := f.reserve(identifier.Bytes(stage))
			if err != nil {
				if _, err := io.CopyN(io.Discard, stream, int64(size-len(data))); err != nil {
					return err
				}
				return errNoMemory
			}
			defer held.Release()
		}
		read := len(data)
		data = append(make([]byte, 0, stage), data...)[:stage]
		if _, err := io.ReadFull(stream, data[read:]); err != nil {
			return err
		}
	}
	f.traffic.messagesReceived.Add(1)
	return json.Unmarshal(data, object)
}

// reserve reserves memory for a message, which is copied once while it is decoded.
func (f frameCodec) reserve(size identifier.Bytes) (*reserver.Reservation, error) {
	if !f.conn.known.Load() {
		return f.unknown.Reserve(context.Background(), 2*size)
	}
	if size <= reservedFrameBytes {
		return f.memory.Charge(2 * size), nil
	}
	return f.memory.Reserve(context.Background(), 2*size)
}

// counters holds the traffic of this host with all peers.
type counters struct {
	bytesSent        atomic.Int64
	bytesReceived    atomic.Int64
	messagesSent     atomic.Int64
	messagesReceived atomic.Int64
	messagesLeftOut  atomic.Int64
	dials            atomic.Int64
}

// countingConn counts bytes and sets a deadline for each write, so that a frozen peer cannot block the callers; a writeTimeout of
// zero sets none.
type countingConn struct {
	net.Conn
	traffic      *counters
	writeTimeout time.Duration
	received     atomic.Int64
	// known is set once the connection is known to lead to another host.
	known atomic.Bool
}

// Read also counts the bytes for this host and for this connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesReceived.Add(int64(n))
	c.received.Add(int64(n))
	return n, err
}

// Write also counts the bytes. After an error it closes the connection, because a partial message cannot be resumed.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	n, err := c.Conn.Write(p)
	c.traffic.bytesSent.Add(int64(n))
	if err != nil {
		_ = c.Conn.Close()
	}
	return n, err
}

// keep records that the connection leads to another host, so that it is not closed in favor of new ones.
func (c *countingConn) keep() {
	c.known.Store(true)
	if kept, ok := c.Conn.(interface{ Keep() }); ok {
		kept.Keep()
	}
}
