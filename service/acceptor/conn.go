package acceptor

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/reserver"
)

const (
	// lateGrace is the time to read or send what was due before a deadline that passed while the process was paused.
	lateGrace = 50 * time.Millisecond
	// writeChunk is the part of an answer that a client must read within IdleTime.
	writeChunk = 64 << 10
	// smallRead bounds the reads of a body without a stated length, so that little of the next head is read with it.
	smallRead = 512
	readSize  = 4 << 10
)

// errClosed means that the listener closed a connection that broke its limits or took the place of another one.
var errClosed = errors.New("the connection was closed by its listener")

// phase tells to what the next bytes of a connection belong.
type phase string

const (
	// inHead lasts from the end of a request until the next head is parsed, inBody from then on.
	inHead phase = "head"
	inBody phase = "body"
	// unframed connections have no heads.
	unframed phase = "unframed"
)

// Conn is an accepted connection. It passes the bytes of a head on when the head is complete and there is memory for it.
type Conn struct {
	net.Conn
	// socket is the connection below TLS.
	socket   net.Conn
	listener *Listener
	entry    entry
	evicted  atomic.Bool
	closing  sync.Once
	body     atomic.Pointer[body]

	mu    sync.Mutex
	phase phase
	// asked is the read deadline that the server wants, bodyDeadline the one of the body.
	asked, bodyDeadline time.Time

	// The fields below belong to the goroutine that reads, of which the server has one at a time.

	limits  Limits
	scanner scanner
	// heard is set once an unframed connection has sent something.
	heard bool
	// headDeadline is zero until the first byte of a head has arrived.
	headDeadline time.Time
	// buffer holds bytes that were read and not passed on yet; the first of them, as many as whole, belong to a complete head.
	buffer []byte
	whole  int
	// bodyLeft is the number of bytes of the body that were not passed on yet, or negative if it is not stated.
	bodyLeft int64
	held     *reserver.Reservation
}

// Read passes on the bytes of complete heads, and the other bytes as they come.
func (c *Conn) Read(p []byte) (int, error) {
	switch c.currentPhase() {
	case inHead:
		return c.readHead(p)
	case inBody:
		return c.readBody(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.heard {
		c.heard = true
		c.listener.move(c, partial)
	}
	return n, err
}

func (c *Conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// readHead reads until the head is complete and passes it on.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.whole == 0 && len(c.buffer) > 0 {
		// These bytes arrived together with the former request.
		read, ended := c.scanner.scan(c.buffer)
		if ended {
			c.whole = read
		}
		if err := c.admitHead(ended); err != nil {
			return 0, err
		}
	}
	for c.whole == 0 {
		n, err := c.fill(p)
		if err != nil {
			return 0, err
		}
		read, ended := c.scanner.scan(p[:n])
		if ended && read == n && len(c.buffer) == 0 && c.scanner.cost() <= freeHead {
			return n, nil
		}
		if ended {
			c.whole = len(c.buffer) + read
		}
		c.buffer = append(c.buffer, p[:n]...)
		if err := c.admitHead(ended); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.buffer[:c.whole])
	c.whole -= n
	c.consume(n)
	return n, nil
}

// fill reads from the network within the limits for heads.
func (c *Conn) fill(p []byte) (int, error) {
	deadline := c.headDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(c.limits.IdleTime)
	}
	_ = c.Conn.SetReadDeadline(deadline)
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateGrace))
		n, err = c.Conn.Read(p)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if c.headDeadline.IsZero() {
			return 0, c.end(reasonIdle)
		}
		return 0, c.end(reasonHeadTooSlow)
	}
	return n, err
}

// admitHead checks what has arrived of a head and reserves memory for it.
func (c *Conn) admitHead(ended bool) error {
	if !ended && c.headDeadline.IsZero() {
		c.headDeadline = time.Now().Add(c.limits.HeadTime + transit)
		c.listener.move(c, partial)
	}
	limit := c.limits.HeadBytes + separators
	if c.scanner.size > limit {
		return c.refuse(reasonHeadTooLarge, refuser.NotRun(refuser.HeaderTooLarge, 0, "the request header exceeds the limit of %d bytes", c.limits.HeadBytes))
	}
	var size identifier.Bytes
	switch {
	case ended && c.scanner.cost() > freeHead:
		size = c.scanner.cost()
	case !ended && c.scanner.size > freeRaw:
		// A buffer that grows is copied.
		size = 2 * limit
	}
	err := c.hold(size)
	var full *reserver.FullError
	switch {
	case errors.As(err, &full):
		return c.refuse(reasonHeadMemoryFull, refuser.NotRun(refuser.MemoryFull, full.RetryAfter, "%v", full))
	case err != nil:
		return c.refuse(reasonHeadTooLarge, refuser.NotRun(refuser.HeaderTooLarge, 0, "the request header needs more memory than this host has for headers"))
	}
	return nil
}

// hold reserves memory of the given size for the head.
func (c *Conn) hold(size identifier.Bytes) (err error) {
	switch {
	case size <= c.held.Size():
	case c.held == nil:
		c.held, err = c.listener.config.Heads.Reserve(context.Background(), size)
	default:
		err = c.held.Grow(context.Background(), size-c.held.Size())
	}
	return err
}

// readBody passes on what follows a head, but little of the next one.
func (c *Conn) readBody(p []byte) (n int, err error) {
	switch {
	case c.bodyLeft > 0:
		p = p[:min(int64(len(p)), c.bodyLeft)]
	case c.bodyLeft == 0:
		// The server reads ahead one byte to learn whether the client is still there.
		p = p[:min(len(p), 1)]
	default:
		p = p[:min(len(p), smallRead)]
		if len(c.buffer) == 0 && len(p) > 1 {
			c.buffer = make([]byte, readSize)
			n, err = c.Conn.Read(c.buffer)
			c.buffer = c.buffer[:n]
			if err != nil && n == 0 {
				c.buffer = nil
				return 0, err
			}
		}
	}
	if len(c.buffer) > 0 {
		n = copy(p, c.buffer)
		c.consume(n)
	} else {
		n, err = c.Conn.Read(p)
	}
	if c.bodyLeft > 0 {
		c.bodyLeft -= int64(n)
	}
	return n, err
}

// consume removes the first bytes of the buffer.
func (c *Conn) consume(n int) {
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
}

// Write sends an answer, of which the client must read a part within IdleTime.
func (c *Conn) Write(p []byte) (written int, err error) {
	if c.currentPhase() == unframed {
		return c.Conn.Write(p)
	}
	for {
		chunk := p[:min(len(p), writeChunk)]
		n, err := c.writeWithin(chunk, c.listener.limits().IdleTime)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			var more int
			more, err = c.writeWithin(chunk[n:], lateGrace)
			n += more
		}
		written += n
		p = p[n:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.ended(reasonAnswerUnread)
		}
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

func (c *Conn) writeWithin(p []byte, limit time.Duration) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(limit))
	return c.Conn.Write(p)
}

// SetReadDeadline sets the deadline of reads, except those of heads.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = deadline
	return c.applyDeadline()
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// limitBody sets the deadline of the body; zero means none.
func (c *Conn) limitBody(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyDeadline = deadline
	_ = c.applyDeadline()
}

// applyDeadline sets the earlier one of the deadlines; c.mu must be held.
func (c *Conn) applyDeadline() error {
	if c.phase == inHead {
		return nil
	}
	deadline := c.asked
	if deadline.IsZero() || !c.bodyDeadline.IsZero() && c.bodyDeadline.Before(deadline) {
		deadline = c.bodyDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetKeepAliveConfig configures the probes that detect a client that is gone.
func (c *Conn) SetKeepAliveConfig(config net.KeepAliveConfig) error {
	if socket, ok := c.socket.(*net.TCPConn); ok {
		return socket.SetKeepAliveConfig(config)
	}
	return errors.ErrUnsupported
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection and releases what it held.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.listener.forget(c)
		c.held.Release()
	})
	return c.Conn.Close()
}

// Keep exempts an unframed connection from closing in favor of new ones.
func (c *Conn) Keep() { c.listener.move(c, running) }

// begin ends the head: a request is served from now on.
func (c *Conn) begin() {
	c.listener.move(c, running)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = inBody
	_ = c.applyDeadline()
}

// rest begins the next head: the connection is idle until its first byte.
func (c *Conn) rest() {
	c.mu.Lock()
	c.phase, c.bodyDeadline = inHead, time.Time{}
	c.mu.Unlock()
	c.body.Store(nil)
	c.held.Release()
	c.held = nil
	c.awaitHead()
	c.listener.move(c, idle)
}

func (c *Conn) awaitHead() {
	c.limits = c.listener.limits()
	c.scanner = scanner{line: atStart}
	c.headDeadline = time.Time{}
	c.bodyLeft = 0
}
