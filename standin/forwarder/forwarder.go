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
	// chunkSize is the maximum size of a chunk in bytes.
	chunkSize = 32 << 10
	// queuedChunks limits the chunks that one direction of a connection buffers while they are delayed or held.
	queuedChunks = 64
	dialTimeout  = 5 * time.Second
)

// Mode selects what happens to the bytes of all connections. Held bytes are forwarded when the mode changes.
type Mode string

// The modes of a forwarder.
const (
	// ModePass forwards everything.
	ModePass Mode = "pass"
	// ModeBlackHole accepts connections but holds the bytes of both directions.
	ModeBlackHole Mode = "black_hole"
	// ModeHoldRequests holds the bytes that go to the target, ModeHoldResponses those that come from it.
	ModeHoldRequests  Mode = "hold_requests"
	ModeHoldResponses Mode = "hold_responses"
	// ModeRefuse closes new connections immediately; existing connections continue.
	ModeRefuse Mode = "refuse"
)

// Config configures a forwarder.
type Config struct {
	// Address is where the forwarder listens; empty means a free port on the loopback interface.
	Address string
	// Target is the TCP address to which connections are forwarded.
	Target string
}

// Forwarder is a TCP proxy that injects network faults.
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

// SetMode changes the mode of open and later connections.
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

// Cut resets every open connection.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of zero, Close sends a reset instead of an orderly end.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Bytes returns how many bytes were forwarded in both directions together.
func (f *Forwarder) Bytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// Run forwards connections until the context ends, then resets every open one.
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

// add registers a connection, so that Cut resets it. If the context has ended, it closes the connection and returns
// false.
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

// chunk is a part of a byte stream and the time from which it may be forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// relay forwards one direction of a connection, the one that the given mode holds. Reading continues during a delay, so
// that the delay does not limit the rate.
func (f *Forwarder) relay(ctx context.Context, to, from net.Conn, held Mode) {
	chunks := make(chan chunk, queuedChunks)
	reader := grouper.NewGroup(1)
	reader.Go(func() {
		defer close(chunks)
		f.read(ctx, from, chunks)
	})
	defer reader.Wait()
	for c := range chunks {
		if !f.hold(ctx, c.due, held) || f.write(to, c.data) != nil {
			_ = from.Close()
			discard(chunks)
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func discard(chunks <-chan chunk) {
	for range chunks {
		continue
	}
}

func (f *Forwarder) read(ctx context.Context, from io.Reader, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			_, delay, _ := f.state()
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(delay)}:
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

// hold waits until bytes are due and the mode lets them pass. It returns false if the context ended first.
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
