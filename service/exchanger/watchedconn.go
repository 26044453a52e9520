package exchanger

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errAbandoned = errors.New("request was abandoned before its first byte was written")

// The phases of an exchange.
const (
	phaseUnsent int32 = iota
	phaseSent
	phaseAbandoned
)

// exchangeState records whether an exchange counts as sent; the decision is final. http.Transport may return an error
// before its writing goroutine has begun, so an exchange that failed unsent is marked as abandoned, which refuses a late
// write.
type exchangeState struct {
	phase  atomic.Int32
	reused atomic.Bool
	onSent func()
	conn   atomic.Pointer[watchedConn]
}

// markSent records that the first byte is about to be written and calls onSent once. It returns errAbandoned if the
// exchange was abandoned.
func (s *exchangeState) markSent() error {
	if s.phase.CompareAndSwap(phaseUnsent, phaseSent) {
		if s.onSent != nil {
			s.onSent()
		}
		return nil
	}
	if s.phase.Load() == phaseAbandoned {
		return errAbandoned
	}
	return nil
}

// abandon prevents the first byte from being written and reports whether none was.
func (s *exchangeState) abandon() bool {
	return s.phase.CompareAndSwap(phaseUnsent, phaseAbandoned) || s.phase.Load() == phaseAbandoned
}

// watchedConn marks its current exchange as sent before it writes the first byte. An HTTP/1.1 connection carries one
// exchange at a time, so one pointer is enough.
type watchedConn struct {
	net.Conn
	exchange   atomic.Pointer[exchangeState]
	connection Connection
	// address is that of the upstream, and lane the pool to which the connection belongs.
	address string
	lane    int
	ids     *carriedIDs
	// carried holds hashes of the ids of the latest requests, of which nextCarried is replaced next; both are guarded by ids.
	carried     []uint64
	nextCarried int
	// writing is locked during a write, and writeErr is the error of the last one that failed.
	writing  sync.Mutex
	writeErr error
}

const (
	// longRead is a wait for bytes that may have been a pause of this process. Bytes that arrived during a pause are read only
	// afterwards, all within drainTime.
	longRead  = 500 * time.Millisecond
	drainTime = 100 * time.Millisecond
)

// Connection is a connection to an upstream, as its user sees it.
type Connection struct {
	// receivedAt is a moment since which the connection has brought bytes; drainedAt is when bytes of a pause are certainly read.
	receivedAt atomic.Int64
	drainedAt  atomic.Int64
	closed     atomic.Bool
}

// AliveSince reports whether bytes have certainly arrived on the connection since a moment and it is still open.
func (c *Connection) AliveSince(moment time.Time) bool {
	return !c.closed.Load() && c.receivedAt.Load() >= moment.UnixNano()
}

// Closed reports whether this side has closed the connection.
func (c *Connection) Closed() bool { return c.closed.Load() }

// Read notes when bytes arrive: not before the call, as far as is known. The operating system reports a reset once, so that a read
// finds a plain end after a write has failed with it; Read then returns the error of the write.
func (c *watchedConn) Read(data []byte) (int, error) {
	began := time.Now()
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.connection.received(began, time.Now())
	}
	if errors.Is(err, io.EOF) {
		c.writing.Lock()
		defer c.writing.Unlock()
		err = cmp.Or(c.writeErr, err)
	}
	return n, err
}

// received notes bytes that a call has returned. Wall clocks count pauses of the machine, too.
func (c *Connection) received(began, ended time.Time) {
	if ended.UnixNano()-began.UnixNano() > int64(longRead) {
		c.drainedAt.Store(ended.Add(drainTime).UnixNano())
	}
	if began.UnixNano() >= c.drainedAt.Load() {
		c.receivedAt.Store(began.UnixNano())
	}
}

// Close notes that the connection is closed.
func (c *watchedConn) Close() error {
	c.connection.closed.Store(true)
	c.ids.forget(c)
	return c.Conn.Close()
}

// claim reserves the connection for an exchange, if it carries one only.
func (c *watchedConn) claim() error {
	if conn, ok := c.Conn.(OneExchange); ok {
		return conn.Claim()
	}
	return nil
}

// oneExchange reports whether the connection carries one exchange only.
func (c *watchedConn) oneExchange() bool {
	_, ok := c.Conn.(OneExchange)
	return ok
}

// Write writes nothing and returns an error if the current exchange was abandoned.
func (c *watchedConn) Write(data []byte) (int, error) {
	if current := c.exchange.Load(); current != nil {
		if err := current.markSent(); err != nil {
			return 0, err
		}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}
