package acceptor

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// minBodyAge is the age from which a slow body may be given up for others.
const minBodyAge = time.Second

// body is that of a request. It must come at minRate after IdleTime, and all of it before the request is served.
type body struct {
	io.ReadCloser
	conn     *Conn
	began    time.Time
	received atomic.Int64
	complete bool
}

// receiveBody returns the body of a request that is read within its limits.
func (c *Conn) receiveBody(source io.ReadCloser, length int64) io.ReadCloser {
	b := &body{ReadCloser: source, conn: c, began: time.Now()}
	c.bodyLeft = length
	c.limitBody(b.deadline())
	c.body.Store(b)
	c.listener.move(c, receiving)
	return b
}

func (b *body) deadline() time.Time {
	return b.began.Add(b.conn.limits.IdleTime + time.Duration(b.received.Load())*time.Second/minRate)
}

// slow reports whether the body comes at less than minRate.
func (b *body) slow(now time.Time) bool {
	age := now.Sub(b.began)
	return age >= minBodyAge && float64(b.received.Load()) < minRate*age.Seconds()
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return b.ReadCloser.Read(p)
	}
	n, err := b.ReadCloser.Read(p)
	b.received.Add(int64(n))
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		b.conn.limitBody(time.Time{})
		if !b.conn.listener.move(b.conn, running) {
			return n, fmt.Errorf("%w: its connection was closed", ErrBodyTooSlow)
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.listener.ended(reasonBodyTooSlow)
		return n, fmt.Errorf("%w: %w", ErrBodyTooSlow, err)
	default:
		b.conn.limitBody(b.deadline())
	}
	return n, err
}
