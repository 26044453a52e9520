package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/grouper"
)

const (
	// chunkSize is how much is read before it is passed on or swallowed.
	chunkSize = 32 << 10
	// queuedChunks limits what one direction holds back while it is delayed.
	queuedChunks = 64
	dialTimeout  = 5 * time.Second
)

// Mode says what happens to the bytes of all connections.
type Mode string

// The modes of a forwarder.
const (
	// ModePass passes everything on.
	ModePass Mode = "pass"
	// ModeBlackHole accepts connections and bytes but passes nothing on, in either direction.
	ModeBlackHole Mode = "black_hole"
	// ModeHoldRequests passes on only what comes from the target, ModeHoldResponses only what goes to it.
	ModeHoldRequests  Mode = "hold_requests"
	ModeHoldResponses Mode = "hold_responses"
	// ModeRefuse closes new connections at once.
	ModeRefuse Mode = "refuse"
)

// Config configures a forwarder.
type Config struct {
	// Address is where the forwarder listens; empty means a free port on the loopback interface.
	Address string
	// Target is where it connects to.
	Target string
}

// Forwarder is a TCP proxy with faults.
type Forwarder struct {
	config Config
	socket net.Listener

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[net.Conn]struct{}
	bytes int64
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
}

// New binds the address of a forwarder.
func New(config Config) (*Forwarder, error) {
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	socket, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, annotator.Wrap("listen", annotator.Peer(config.Address), err)
	}
	return &Forwarder{
		config: config, socket: socket, mode: ModePass, conns: make(map[net.Conn]struct{}), changed: make(chan struct{}),
	}, nil
}

// Address returns the listening address.
func (f *Forwarder) Address() string { return f.socket.Addr().String() }

// SetMode changes the mode of present and later connections.
func (f *Forwarder) SetMode(mode Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetDelay sets the one-way delay of the bytes that are read from now on.
func (f *Forwarder) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// Cut resets every present connection.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without lingering, the close sends a reset rather than an orderly end.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Bytes returns how many bytes were passed on in both directions.
func (f *Forwarder) Bytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// Run forwards until the context ends, then cuts every connection.
func (f *Forwarder) Run(ctx context.Context) error {
	group := grouper.NewGroup(-1)
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = f.socket.Close()
		f.Cut()
	})
	defer stop()
	for {
		conn, err := f.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return annotator.Wrap("accept", "self", err)
		}
		group.Go(func() { f.forward(ctx, conn) })
	}
}

func (f *Forwarder) forward(ctx context.Context, caller net.Conn) {
	if !f.add(ctx, caller) {
		return
	}
	defer f.remove(caller)
	if mode, _, _ := f.state(); mode == ModeRefuse {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", f.config.Target)
	if err != nil || !f.add(ctx, target) {
		return
	}
	defer f.remove(target)
	directions := grouper.NewGroup(2)
	directions.Go(func() { f.relay(ctx, target, caller, ModeHoldRequests) })
	directions.Go(func() { f.relay(ctx, caller, target, ModeHoldResponses) })
	directions.Wait()
}

// add registers a connection, so that Cut reaches it; after the end of Run it closes the connection.
func (f *Forwarder) add(ctx context.Context, conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	f.conns[conn] = struct{}{}
	return true
}

func (f *Forwarder) remove(conn net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = conn.Close()
	delete(f.conns, conn)
}

func (f *Forwarder) state() (Mode, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode, f.delay, f.changed
}

// piece is a part of a byte stream and when it may be passed on.
type piece struct {
	data []byte
	due  time.Time
}

// relay passes one direction on, which the given mode holds. Reading continues during a delay, so that the delay does not
// limit the rate.
func (f *Forwarder) relay(ctx context.Context, to, from net.Conn, held Mode) {
	pieces := make(chan piece, queuedChunks)
	reader := grouper.NewGroup(1)
	reader.Go(func() {
		defer close(pieces)
		f.read(ctx, from, pieces)
	})
	defer reader.Wait()
	for p := range pieces {
		if !f.hold(ctx, p.due, held) || f.write(to, p.data) != nil {
			_ = from.Close()
			drain(pieces)
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func drain(pieces <-chan piece) {
	for range pieces {
		continue
	}
}

func (f *Forwarder) read(ctx context.Context, from io.Reader, pieces chan<- piece) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			_, delay, _ := f.state()
			select {
			case pieces <- piece{data: buffer[:n], due: time.Now().Add(delay)}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (f *Forwarder) write(to net.Conn, data []byte) error {
	n, err := to.Write(data)
	f.mu.Lock()
	f.bytes += int64(n)
	f.mu.Unlock()
	return err
}

// hold waits until the bytes are due and the mode passes them on.
func (f *Forwarder) hold(ctx context.Context, due time.Time, held Mode) bool {
	timeout := time.NewTimer(time.Until(due))
	defer timeout.Stop()
	select {
	case <-timeout.C:
	case <-ctx.Done():
		return false
	}
	for {
		mode, _, changed := f.state()
		if mode != ModeBlackHole && mode != held {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
