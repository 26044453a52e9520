package acceptor

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/service/reserver"
)

const (
	// refusalPart is the part of the connections that there are in addition for requests that are refused.
	refusalPart = 16
	// maxHeaderBytes is that of the server. It is above any limit for heads, which the connections apply.
	maxHeaderBytes = 16 << 20
	// logInterval is the least time between two lines about ended connections.
	logInterval = time.Second
)

// Name is the name of a listener in logs and metrics.
type Name string

// The names of the listeners.
const (
	Callers   Name = "callers"
	Readiness Name = "readiness"
	Peers     Name = "peers"
	Metrics   Name = "metrics"
)

// Config configures a Listener.
type Config struct {
	Name Name
	// Address is the IP:port to listen on.
	Address string
	// TLS, when set, secures the connections.
	TLS *tls.Config
	// Connections is the number of connections that are served at the same time; zero means DefaultConnections.
	Connections int
	// Limits returns the limits in effect; nil means the defaults.
	Limits func() Limits
	// Heads is the account of incomplete and of large heads; nil means no limit.
	Heads *reserver.Account
	// Unframed is set if the connections carry no HTTP requests. Their owner calls Keep on those that may stay.
	Unframed bool
	Log      *logger.Logger
	// Meter may be nil.
	Meter *meter.Meter
}

// Listener accepts connections and bounds what they hold; it is safe for concurrent use.
type Listener struct {
	net.Listener
	config Config

	mu     sync.Mutex
	roster *roster
	// unlogged counts the ends of connections since the last line, by their reasons.
	unlogged map[reason]int64
	loggedAt time.Time
}

// Listen opens a listener.
func Listen(config Config) (*Listener, error) {
	if config.Connections <= 0 {
		config.Connections = DefaultConnections
	}
	socket, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, annotator.Wrap(annotator.Step("listen for "+string(config.Name)), annotator.Peer(config.Address), err)
	}
	return &Listener{
		Listener: socket, config: config, unlogged: make(map[reason]int64),
		roster: newRoster(config.Connections, max(config.Connections/refusalPart, minConnections)),
	}, nil
}

// Accept returns the next connection that is admitted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.admit(socket); conn != nil {
			return conn, nil
		}
	}
}

// admit returns the connection of an accepted socket, or nil if it was closed.
func (l *Listener) admit(socket net.Conn) *Conn {
	conn := &Conn{Conn: socket, socket: socket, listener: l, phase: inHead}
	if l.config.Unframed {
		conn.phase = unframed
	}
	if l.config.TLS != nil {
		conn.Conn = tls.Server(socket, l.config.TLS)
	}
	conn.awaitHead()
	conn.entry.conn = conn
	l.mu.Lock()
	admitted, victim := l.roster.admit(&conn.entry)
	l.mu.Unlock()
	if victim != nil {
		victim.conn.evict(reasonEvicted)
	}
	if !admitted {
		l.ended(reasonNoConnection)
		_ = socket.Close()
		return nil
	}
	return conn
}

// evict closes a connection that is no longer part of the roster. Its server learns it from its next read or write.
func (c *Conn) evict(why reason) {
	c.evicted.Store(true)
	c.listener.ended(why)
	// The end of a TLS connection would wait for its client.
	_ = c.socket.Close()
}

// move changes the state of a connection and reports whether it was not closed to admit another one.
func (l *Listener) move(c *Conn, to state) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.move(&c.entry, to)
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roster.remove(&c.entry)
}

// ShedSlowBody closes the connection whose body comes most slowly, if that is less than minRate. It is to be called when
// memory is needed for other requests.
func (l *Listener) ShedSlowBody() {
	now := time.Now()
	var slowest *entry
	var least int64
	l.mu.Lock()
	for e := range l.roster.all(receiving) {
		b := e.conn.body.Load()
		if b == nil || !b.slow(now) {
			continue
		}
		if received := b.received.Load(); slowest == nil || received < least {
			slowest, least = e, received
		}
	}
	if slowest != nil {
		l.roster.remove(slowest)
	}
	l.mu.Unlock()
	if slowest != nil {
		slowest.conn.evict(reasonBodyShed)
	}
}

// limits returns the limits in effect.
func (l *Listener) limits() Limits {
	if l.config.Limits == nil {
		return Limits{}.withDefaults()
	}
	return l.config.Limits().withDefaults()
}

// ended records that a connection was ended or refused by the listener.
func (l *Listener) ended(why reason) {
	if l.config.Meter != nil {
		l.config.Meter.ConnectionEnded(string(l.config.Name), string(why))
	}
	if why == reasonIdle || l.config.Log == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged[why]++
	if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
		l.loggedAt = now
		line := l.config.Log.Warn(logger.ConnectionsEnded).Str("listener", string(l.config.Name)).Int("limit", l.config.Connections)
		for _, s := range states {
			line = line.Int(string(s), l.roster.count(s))
		}
		for why, count := range l.unlogged {
			line = line.Int64("ended_"+string(why), count)
		}
		clear(l.unlogged)
		line.Send()
	}
}

// Name returns the name of the listener.
func (l *Listener) Name() string { return string(l.config.Name) }

// Counts returns the number of connections by what they are doing.
func (l *Listener) Counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int64, len(states))
	for _, s := range states {
		counts[string(s)] = int64(l.roster.count(s))
	}
	return counts
}

type connKey struct{}

// NewServer returns the server of the requests that arrive at a listener; it is to be run with that listener.
func NewServer(l *Listener, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: l.guard(handler), MaxHeaderBytes: maxHeaderBytes, ConnState: l.follow,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// follow follows the requests on a connection.
func (l *Listener) follow(conn net.Conn, now http.ConnState) {
	switch now {
	case http.StateActive:
		conn.(*Conn).begin()
	case http.StateIdle:
		conn.(*Conn).rest()
	}
}

// guard bounds the bodies of requests and refuses those on connections that are not served.
func (l *Listener) guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if conn.evicted.Load() {
			// Its client cannot get the answer of a request that would run.
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			r.Body = conn.receiveBody(r.Body, r.ContentLength)
		}
		if conn.entry.refused {
			conn.refuseFull(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
}
