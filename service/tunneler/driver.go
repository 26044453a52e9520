package tunneler

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

const (
	// protocol names the streams of this package.
	protocol = "tunnel"
	// relayTimeout bounds the opening of a connection through other hosts; relayDialTimeout is what the other host may use of it.
	// With hedgeDelay before it, an upstream that is down costs hardly more time than the direct dial alone.
	relayTimeout     = 300 * time.Millisecond
	relayDialTimeout = 200 * time.Millisecond
	// nextRelayDelay is how long one host may take to reply before the next one is asked as well.
	nextRelayDelay = 60 * time.Millisecond
	// maxRelays bounds the hosts that are asked for one connection.
	maxRelays = 5
	// avoidTime is how long a host that could not open a connection is asked only after all others.
	avoidTime = 2 * time.Second
	// maxTunnels bounds the streams that this host serves for others; each takes two descriptors and some 60 KB of memory.
	maxTunnels = 256
	// requestTimeout bounds the wait for the address after a stream was opened.
	requestTimeout = time.Second
	// maxMessage is the size in bytes of the longest message at the start of a stream.
	maxMessage = 1 << 10
)

var (
	errNoRelay     = errors.New("no other host opened a connection")
	errUnreachable = errors.New("another host, which reaches upstreams, could not open a connection either")
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Members connector.Members
	Peers   connector.PeerStreams
	// Direct opens connections over this host's own links.
	Direct connector.DialFunc
	// Known reports whether an address is that of a usable upstream; other hosts get connections to no other address.
	Known func(address string) bool
	Log   *logger.Logger
}

// Driver opens connections to upstreams for this host and for others. It is safe for concurrent use.
type Driver struct {
	config DriverConfig
	work   *grouper.Group

	mu    sync.Mutex
	paths *Paths
	// relay is the host that opened the last connection for this one.
	relay identifier.HostID
	// avoided holds the hosts that could not open a connection, and until when they are asked last.
	avoided map[identifier.HostID]time.Time
	// serving is the number of streams of other hosts; ended is closed and replaced when one ends.
	serving  int
	ended    chan struct{}
	draining bool
}

// NewDriver returns a Driver and registers its streams with the peers.
func NewDriver(config DriverConfig) *Driver {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), paths: NewPaths(), avoided: make(map[identifier.HostID]time.Time), ended: make(chan struct{}),
	}
	config.Peers.HandleStream(protocol, d.serve)
	return d
}

var _ connector.Network = (*Driver)(nil)

// opened is the outcome of a dial.
type opened struct {
	conn net.Conn
	err  error
}

// Dial opens a connection to an upstream. It dials the address directly and, if that fails or takes long, asks other hosts; the
// first connection is used. If there is none, the error is that of the direct dial.
func (d *Driver) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	relayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct, relayed := make(chan opened, 1), make(chan opened, 1)
	// The direct dial goes on when another host is faster: its outcome shows whether this host's own path works.
	d.work.Go(func() {
		conn, err := d.config.Direct(context.WithoutCancel(ctx), network, address)
		direct <- opened{conn, err}
	})
	relaying := false
	startRelay := func() {
		if relaying {
			return
		}
		relaying = true
		d.work.Go(func() {
			conn, err := d.relayed(relayCtx, address)
			relayed <- opened{conn, err}
		})
	}
	hedge := time.NewTimer(d.hedgeDelay(address))
	defer hedge.Stop()
	var directErr, relayErr error
	for directErr == nil || relayErr == nil {
		select {
		case result := <-direct:
			if result.err == nil {
				d.handle(DirectOpened{address})
				d.discardIf(relaying && relayErr == nil, relayed)
				return result.conn, nil
			}
			directErr = result.err
			startRelay()
		case <-hedge.C:
			startRelay()
		case result := <-relayed:
			if result.err == nil {
				d.recordRelayed(address, direct, directErr)
				return result.conn, nil
			}
			relayErr = result.err
		case <-ctx.Done():
			d.discardIf(relaying && relayErr == nil, relayed)
			d.discardIf(directErr == nil, direct)
			return nil, ctx.Err()
		}
	}
	return nil, errors.Join(directErr, relayErr)
}

func (d *Driver) discardIf(pending bool, dial <-chan opened) {
	if pending {
		d.discard(dial, nil)
	}
}

// discard closes the connection of a dial that is not needed any more, and passes the outcome to then.
func (d *Driver) discard(pending <-chan opened, then func(error)) {
	d.work.Go(func() {
		result := <-pending
		if result.conn != nil {
			_ = result.conn.Close()
		}
		if then != nil {
			then(result.err)
		}
	})
}

// recordRelayed records that another host opened a connection, once the direct dial has ended, with directErr if it has already.
func (d *Driver) recordRelayed(address string, direct <-chan opened, directErr error) {
	record := func(err error) {
		if err == nil {
			d.handle(DirectOpened{address})
			return
		}
		d.handle(OnlyRelayed{address})
	}
	if directErr != nil {
		record(directErr)
		return
	}
	d.discard(direct, record)
}

// Substitute returns a host that reaches the upstreams while this one does not; ok is false while this one does.
func (d *Driver) Substitute() (host identifier.HostID, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.relay, d.relay != "" && d.paths.Lost(time.Now())
}

// Relays reports whether connections to an address go through other hosts at present.
func (d *Driver) Relays(address string) bool { return d.hedgeDelay(address) == 0 }

func (d *Driver) hedgeDelay(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.HedgeDelay(time.Now(), address)
}

func (d *Driver) handle(event Event) {
	d.mu.Lock()
	commands := d.paths.Handle(time.Now(), event)
	d.mu.Unlock()
	for _, command := range commands {
		switch c := command.(type) {
		case LogLost:
			d.config.Log.Warn(logger.UpstreamPathLost).Int("addresses", c.Addresses).Send()
		case LogRegained:
			d.config.Log.Info(logger.UpstreamPathRegained).Str("address", c.Address).Send()
		}
	}
}

// relayed asks other hosts in turn, and the next one as well if a reply takes long, until one opens a connection, or one that
// reaches upstreams itself cannot.
func (d *Driver) relayed(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	relays := d.relays()
	results := make(chan opened, len(relays))
	asked, pending := 0, 0
	defer func() {
		for range pending {
			d.discard(results, nil)
		}
	}()
	ask := func() {
		if asked == len(relays) {
			return
		}
		member := relays[asked]
		asked++
		pending++
		d.work.Go(func() {
			conn, err := d.openThrough(ctx, member, address)
			results <- opened{conn, err}
		})
	}
	ask()
	next := time.NewTicker(nextRelayDelay)
	defer next.Stop()
	for pending > 0 {
		select {
		case result := <-results:
			pending--
			if result.err == nil {
				return result.conn, nil
			}
			if errors.Is(result.err, errUnreachable) {
				return nil, result.err
			}
			ask()
		case <-next.C:
			ask()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errNoRelay
}

// relays returns the hosts to ask, in order: the one that opened the last connection, those of the own region, those of other
// regions, and last those that could not open a connection lately.
func (d *Driver) relays() []codec.Member {
	self := d.config.Members.Self()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	type ranked struct {
		member codec.Member
		rank   int
	}
	var others []ranked
	for _, member := range d.config.Members.Live() {
		switch {
		case member.ID == self.ID:
		case now.Before(d.avoided[member.ID]):
			others = append(others, ranked{member, 3})
		case member.ID == d.relay:
			others = append(others, ranked{member, 0})
		case member.Region == self.Region:
			others = append(others, ranked{member, 1})
		default:
			others = append(others, ranked{member, 2})
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b ranked) int { return a.rank - b.rank })
	members := make([]codec.Member, 0, maxRelays)
	for _, other := range others[:min(maxRelays, len(others))] {
		members = append(members, other.member)
	}
	return members
}

// openThrough opens a connection through one host. The error is errUnreachable if that host reaches upstreams, but not this one.
func (d *Driver) openThrough(ctx context.Context, member codec.Member, address string) (net.Conn, error) {
	conn, reply, err := d.requestTunnel(ctx, member, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil && reply.Opened:
		delete(d.avoided, member.ID)
		d.relay = member.ID
		return conn, nil
	case err == nil && reply.Reaches:
		return nil, errUnreachable
	case !errors.Is(err, context.Canceled):
		d.avoided[member.ID] = time.Now().Add(avoidTime)
	}
	if err == nil {
		err = errNoRelay
	}
	return nil, err
}

// requestTunnel opens a stream to a host and requests a connection. The connection is nil unless the reply says that it is open.
func (d *Driver) requestTunnel(ctx context.Context, member codec.Member, address string) (net.Conn, codec.TunnelReply, error) {
	conn, err := d.config.Peers.DialStream(ctx, member, protocol)
	if err != nil {
		return nil, codec.TunnelReply{}, err
	}
	// Ends the exchange of messages when the connection is not needed any more.
	release := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reader := bufio.NewReaderSize(conn, maxFrame)
	var reply codec.TunnelReply
	if err = writeMessage(conn, codec.OpenTunnel{Address: address}); err == nil {
		err = readMessage(reader, &reply)
	}
	if !release() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil || !reply.Opened {
		_ = conn.Close()
		return nil, reply, annotator.Wrap("request tunnel", annotator.Peer(member.ID), err)
	}
	return newTunnelConn(conn, reader), reply, nil
}

func writeMessage(conn net.Conn, message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = conn.Write(append(text, '\n'))
	return err
}

func readMessage(reader *bufio.Reader, message any) error {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return err
	}
	if len(line) > maxMessage {
		return errors.New("tunnel message exceeds the limit")
	}
	return json.Unmarshal(line, message)
}

// serve connects a stream of another host to an upstream until either end closes.
func (d *Driver) serve(ctx context.Context, stream net.Conn) {
	if !d.begin() {
		_ = writeMessage(stream, codec.TunnelReply{})
		return
	}
	defer d.end()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	reader := bufio.NewReaderSize(stream, maxMessage)
	var request codec.OpenTunnel
	if err := readMessage(reader, &request); err != nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	upstream, err := d.dialFor(ctx, request.Address)
	if err != nil {
		d.mu.Lock()
		reaches := d.paths.Reaches(time.Now())
		d.mu.Unlock()
		_ = writeMessage(stream, codec.TunnelReply{Reaches: reaches})
		return
	}
	defer func() { _ = upstream.Close() }()
	release := context.AfterFunc(ctx, func() { _ = upstream.Close() })
	defer release()
	if err := writeMessage(stream, codec.TunnelReply{Opened: true, Reaches: true}); err != nil {
		return
	}
	d.work.Go(func() {
		// The end of the stream means that the other host does not wait for the response any more.
		_, _ = io.Copy(upstream, reader)
		_ = upstream.Close()
	})
	_ = copyFrames(stream, upstream)
}

// dialFor dials an upstream for another host, over this host's own links only.
func (d *Driver) dialFor(ctx context.Context, address string) (net.Conn, error) {
	if !d.config.Known(address) {
		return nil, errNoRelay
	}
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, err := d.config.Direct(ctx, "tcp", address)
	if err == nil {
		d.handle(DirectOpened{address})
	}
	return conn, err
}

// begin counts a stream and reports whether this host serves it.
func (d *Driver) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || d.serving >= maxTunnels {
		return false
	}
	d.serving++
	return true
}

func (d *Driver) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serving--
	close(d.ended)
	d.ended = make(chan struct{})
}

// Refuse refuses further streams of other hosts, which then ask other ones.
func (d *Driver) Refuse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Wait waits until the streams of other hosts have ended, or for ctx.
func (d *Driver) Wait(ctx context.Context) error {
	for {
		d.mu.Lock()
		serving, ended := d.serving, d.ended
		d.mu.Unlock()
		if serving == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
		}
	}
}
