package acceptor

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"celerygap.example/lib/refuser"
)

const (
	// fullRetry is the Retry-After of a listener whose connections all have a request running.
	fullRetry = time.Second
	// lingerTime and lingerBytes bound what is still read of a client that was refused. Without it the client would see its
	// connection reset and not the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refuseTime bounds the sending of a refusal.
	refuseTime = time.Second
)

// reason tells why a listener ended a connection or refused its request.
type reason string

const (
	reasonEvicted         reason = "evicted"
	reasonNoConnection    reason = "no_connection"
	reasonConnectionsFull reason = "connections_full"
	reasonIdle            reason = "idle"
	reasonHeadTooSlow     reason = "head_too_slow"
	reasonHeadTooLarge    reason = "head_too_large"
	reasonHeadMemoryFull  reason = "head_memory_full"
	reasonBodyTooSlow     reason = "body_too_slow"
	reasonBodyShed        reason = "body_shed"
	reasonAnswerUnread    reason = "answer_unread"
)

// end records why the connection ends. The server closes a connection without an answer after an error of this kind.
func (c *Conn) end(why reason) error {
	c.listener.ended(why)
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errClosed}
}

// refuse answers a request whose head is not passed on.
func (c *Conn) refuse(why reason, refusal *refuser.Refusal) error {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTime))
	if _, err := c.Conn.Write(response(refusal)); err == nil && c.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.end(why)
}

// response returns a refusal as an answer that ends its connection.
func response(refusal *refuser.Refusal) []byte {
	problem := refusal.Problem()
	body, err := json.Marshal(problem)
	if err != nil {
		body = nil
	}
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n", problem.Status, http.StatusText(problem.Status), refuser.ContentType, len(body))
	if refusal.RetryAfter > 0 {
		_, _ = fmt.Fprintf(&text, "Retry-After: %s\r\n", retryAfter(refusal.RetryAfter))
	}
	_, _ = fmt.Fprintf(&text, "\r\n%s", body)
	return text.Bytes()
}

// retryAfter formats a Retry-After in whole seconds, rounded up, as every client reads it.
func retryAfter(wait time.Duration) string {
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}

// refuseFull refuses a request because all other connections of the listener have one running.
func (c *Conn) refuseFull(w http.ResponseWriter, r *http.Request) {
	l := c.listener
	l.ended(reasonConnectionsFull)
	// The server reads a part of the body, so that its client gets the refusal.
	c.limitBody(time.Now().Add(lingerTime))
	refusal := refuser.NotRun(refuser.ConnectionsFull, fullRetry, "all %d connections of this host have a request running", l.config.Connections)
	w.Header().Set("Content-Type", refuser.ContentType)
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", retryAfter(refusal.RetryAfter))
	w.WriteHeader(refusal.Status())
	if r.Method != http.MethodHead {
		_ = json.NewEncoder(w).Encode(refusal.Problem())
	}
}

// ErrBodyTooSlow is that of a body that does not come in time, or slowly while its memory is needed.
var ErrBodyTooSlow = errors.New("the request body does not arrive in time")
