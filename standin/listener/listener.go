package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/grouper"
)

const (
	// DefaultDrainTimeout limits how long a graceful shutdown waits for running requests.
	DefaultDrainTimeout = 30 * time.Second
	// headerTimeout limits how long a connection may take to send a request's headers.
	headerTimeout = 10 * time.Second
)

// rebindInterval is the pause between attempts to bind the same address after a crash.
const rebindInterval = 10 * time.Millisecond

// Config configures a listener.
type Config struct {
	// Address is the TCP address; port 0 lets the system choose one.
	Address string
	// AddressFile receives the listening address; empty writes none.
	AddressFile string
	Handler     http.Handler
	// DrainTimeout limits how long a graceful shutdown waits for running requests; zero means DefaultDrainTimeout.
	DrainTimeout time.Duration
}

// Listener serves HTTP on a bound address.
type Listener struct {
	config  Config
	address string

	mu     sync.Mutex
	socket net.Listener
	server *http.Server
}

// Open binds the address and writes the address file; incoming connections wait until Run serves them.
func Open(config Config) (*Listener, error) {
	if config.DrainTimeout <= 0 {
		config.DrainTimeout = DefaultDrainTimeout
	}
	socket, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, annotator.Wrap("listen", annotator.Peer(config.Address), err)
	}
	l := &Listener{config: config, address: socket.Addr().String(), socket: socket}
	if err := l.writeAddress(); err != nil {
		_ = socket.Close()
		return nil, annotator.Wrap("write address file", "self", err)
	}
	return l, nil
}

// writeAddress writes a temporary file and renames it, so that a reader never sees a part of the address.
func (l *Listener) writeAddress() error {
	if l.config.AddressFile == "" {
		return nil
	}
	temporary := l.config.AddressFile + ".tmp"
	if err := os.WriteFile(temporary, []byte(l.address), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, l.config.AddressFile)
}

// Address returns the bound address with its port.
func (l *Listener) Address() string { return l.address }

// Run serves until the context ends, then waits for running requests up to the drain timeout. After Abort it returns nil
// without waiting.
func (l *Listener) Run(ctx context.Context) error {
	server := &http.Server{Handler: l.config.Handler, ReadHeaderTimeout: headerTimeout}
	l.mu.Lock()
	l.server = server
	socket := l.socket
	l.mu.Unlock()
	return grouper.Supervise(ctx, grouper.Config{},
		grouper.Duty{Name: "serve", Run: func(context.Context) error { return serve(server, socket) }},
		grouper.Duty{Name: "stop", Run: func(ctx context.Context) error {
			<-ctx.Done()
			return l.drain(server)
		}})
}

func serve(server *http.Server, socket net.Listener) error {
	err := server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (l *Listener) drain(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.DrainTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// Abort closes the socket and every connection without draining, as a crash of the process would.
func (l *Listener) Abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		_ = l.server.Close()
	}
	_ = l.socket.Close()
}

// Reopen binds the same address again after Abort and retries until it succeeds or the context ends.
func (l *Listener) Reopen(ctx context.Context) error {
	for {
		socket, err := net.Listen("tcp", l.address)
		if err == nil {
			l.mu.Lock()
			l.socket = socket
			l.server = nil
			l.mu.Unlock()
			return nil
		}
		select {
		case <-ctx.Done():
			return annotator.Wrap("listen again", annotator.Peer(l.address), err)
		case <-time.After(rebindInterval):
		}
	}
}
