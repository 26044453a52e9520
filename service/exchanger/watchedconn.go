package exchanger

import (
	"errors"
	"net"
	"sync/atomic"
)

var errSealed = errors.New("exchange was given up before its first byte")

// The phases of an exchange.
const (
	phaseOpen int32 = iota
	phaseSent
	phaseSealed
)

// exchangeState decides once whether an exchange counts as sent. http.Transport may return an error while its writing
// goroutine has yet to begin, so an exchange that failed unsent is sealed against a late write.
type exchangeState struct {
	phase  atomic.Int32
	reused atomic.Bool
	onSent func()
}

// send allows the first byte, unless the exchange is sealed.
func (s *exchangeState) send() error {
	if s.phase.CompareAndSwap(phaseOpen, phaseSent) {
		if s.onSent != nil {
			s.onSent()
		}
		return nil
	}
	if s.phase.Load() == phaseSealed {
		return errSealed
	}
	return nil
}

// seal forbids the first byte and reports whether none was written.
func (s *exchangeState) seal() bool {
	return s.phase.CompareAndSwap(phaseOpen, phaseSealed) || s.phase.Load() == phaseSealed
}

// watchedConn tells the current exchange before its first byte is written. An HTTP/1.1 connection carries one exchange
// at a time, so one place is enough.
type watchedConn struct {
	net.Conn
	exchange atomic.Pointer[exchangeState]
}

// Write writes to the connection.
func (c *watchedConn) Write(data []byte) (int, error) {
	if current := c.exchange.Load(); current != nil {
		if err := current.send(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}
