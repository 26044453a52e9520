package tunneler

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxFrame is the size in bytes of the largest frame.
	maxFrame = 16 << 10
	// unusedTimeout is how long a connection may wait for its exchange. An HTTP client may keep a connection that it has opened
	// for a request which then found another one.
	unusedTimeout = time.Second
)

// tunnelConn is a connection to an upstream through another host. That host sends the upstream's bytes in frames, each a varint
// length and the bytes, and an empty frame at the end of the upstream's bytes. A stream that ends without it was broken off, so
// that a response that ends with its connection is not taken for complete when the other host fails.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of bytes of the current frame that have not been read.
	left  uint64
	ended bool
	// claimed is set by the first Claim, or when the connection was closed unused; unused closes it then.
	claimed atomic.Bool
	unused  *time.Timer
}

var errClaimed = errors.New("the connection carries another exchange or was closed unused")

func newTunnelConn(conn net.Conn, reader *bufio.Reader) *tunnelConn {
	c := &tunnelConn{Conn: conn, reader: reader}
	c.unused = time.AfterFunc(unusedTimeout, func() {
		if c.claimed.CompareAndSwap(false, true) {
			_ = conn.Close()
		}
	})
	return c
}

// Claim reserves the connection for one exchange, so that the other host holds no idle connections for this one.
func (c *tunnelConn) Claim() error {
	if !c.claimed.CompareAndSwap(false, true) {
		return errClaimed
	}
	c.unused.Stop()
	return nil
}

// Read returns io.EOF only if the upstream ended the connection.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		size, err := binary.ReadUvarint(c.reader)
		switch {
		case errors.Is(err, io.EOF):
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		case size > maxFrame:
			return 0, fmt.Errorf("tunnel frame of %d bytes exceeds the limit of %d bytes", size, maxFrame)
		case size == 0:
			c.ended = true
			return 0, io.EOF
		}
		c.left = size
	}
	n, err := c.reader.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// copyFrames sends the bytes of an upstream in frames until the upstream ends the connection; only then it sends the last,
// empty frame and returns nil.
func copyFrames(stream io.Writer, upstream io.Reader) error {
	buffer := make([]byte, binary.MaxVarintLen32+maxFrame)
	for {
		n, err := upstream.Read(buffer[binary.MaxVarintLen32:])
		if n > 0 {
			prefix := binary.AppendUvarint(nil, uint64(n))
			start := binary.MaxVarintLen32 - len(prefix)
			copy(buffer[start:], prefix)
			if _, err := stream.Write(buffer[start : binary.MaxVarintLen32+n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_, err := stream.Write([]byte{0})
			return err
		case err != nil:
			return err
		}
	}
}
