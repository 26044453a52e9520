package lister

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

const (
	// DefaultPollInterval leaves the list's own lag more than half of the 5 s within which leaving must take effect.
	DefaultPollInterval = 2 * time.Second
	// shortestPoll and pollPerHost set the interval of a small fleet: with 2 s, a slow store and the list's lag took
	// together more than 5 s. 360 hosts read 200 times a second.
	shortestPoll = 500 * time.Millisecond
	pollPerHost  = 5 * time.Millisecond
	// hurryInterval is the time between two readings while requests find a pool empty: the list may have been read
	// before an upstream appeared in it.
	hurryInterval = 250 * time.Millisecond
	// methodHostList asks another host for its list.
	methodHostList = "host_list"
	// frozenAfter is the pause of this process after which its list counts as outdated until it has asked again.
	frozenAfter = time.Second
	// maxAsked bounds the hosts that are asked in one round.
	maxAsked = 3
	// peerTimeout bounds such a call.
	peerTimeout = 500 * time.Millisecond
	// expiryInterval is how late an outage may end.
	expiryInterval = 100 * time.Millisecond
	// ringCapacity holds the evidence of a burst of ended attempts.
	ringCapacity = 4096
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Machine Config
	Store   connector.Store
	Timer   *timer.Service
	Logger  *logger.Logger
	// PollInterval is the time between two readings of the list; zero means one that grows with the number of members.
	PollInterval time.Duration
	// Peers and Members, when set, give the first list to a host that starts while the store is down.
	Peers   connector.Peers
	Members connector.Members
	// Pushed tells that lists come from Accept; the store is not read, and a pause of this process does not make the
	// list outdated, because the watch behind Accept catches up by itself.
	Pushed bool
	// OnPublish is told of each new state, from the goroutine that owns the state machine; it may be nil.
	OnPublish func(Publish)
}

// Driver reads the platform's list, applies evidence and publishes the known upstreams.
type Driver struct {
	config   DriverConfig
	machine  *Lister
	evidence *buffer.Ring[EvidenceReported]
	lists    *buffer.Ring[codec.HostList]
	current  atomic.Pointer[Publish]
	ready    chan struct{}
	outage   bool
	latest   atomic.Pointer[codec.HostList]
	// wanted tells that a request found its pool empty.
	wanted atomic.Bool
	// started and lastTick show whether this process was frozen; outdated holds from then until it has asked again.
	started  time.Time
	lastTick atomic.Int64
	outdated atomic.Bool
	resumed  chan struct{}
	// refreshed tells the goroutine that owns the state machine that the list was asked for again.
	refreshed chan struct{}
}

var _ connector.Upstreams = (*Driver)(nil)

// NewDriver returns a Driver that knows no hosts until Run has read the list.
func NewDriver(config DriverConfig) *Driver {
	if config.Logger == nil {
		config.Logger = logger.Discard()
	}
	d := &Driver{
		config:    config,
		machine:   New(config.Machine),
		evidence:  buffer.New[EvidenceReported](ringCapacity),
		lists:     buffer.New[codec.HostList](1),
		ready:     make(chan struct{}),
		started:   config.Timer.Now(),
		resumed:   make(chan struct{}, 1),
		refreshed: make(chan struct{}),
	}
	d.current.Store(&Publish{})
	if config.Peers != nil {
		config.Peers.Handle(methodHostList, d.serveList)
	}
	return d
}

// Pool returns the usable upstreams of a pool in order of id, those that are leaving included; callers must not change it.
func (d *Driver) Pool(name identifier.PoolName) []connector.Upstream {
	if !d.config.Pushed && (d.outdated.Load() || d.sinceTick() > frozenAfter) {
		// An upstream may have been leaving for longer than it may get work.
		return nil
	}
	pool := d.current.Load().Pools[name]
	if len(pool) == 0 {
		d.wanted.Store(true)
	}
	return pool
}

// Listed returns the list entries of a pool's usable upstreams in order of id; callers must not change it.
func (d *Driver) Listed(name identifier.PoolName) []codec.ListedHost {
	return d.current.Load().Listed[name]
}

// Seeds returns the celerygap hosts in the platform's list in order of id; callers must not change it.
func (d *Driver) Seeds() []codec.ListedHost { return d.current.Load().Seeds }

// Ready is closed when the first list has been applied.
func (d *Driver) Ready() <-chan struct{} { return d.ready }

// Report adds evidence. When the ring is full it is lost; the next attempt shows the same again.
func (d *Driver) Report(id identifier.UpstreamID, evidence connector.Evidence) {
	d.evidence.Offer(EvidenceReported{ID: id, Evidence: evidence})
}

// Run reads the list periodically and applies evidence until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	return grouper.Supervise(ctx, grouper.Config{}, d.Duties()...)
}

// Duties returns the two duties of Run for a supervisor of its own, which may give each a thread.
// The list is read outside the state machine, so that a slow store does not delay evidence.
func (d *Driver) Duties() []grouper.Duty {
	if d.config.Pushed {
		return []grouper.Duty{{Name: "lister decide", Run: d.decide}}
	}
	return []grouper.Duty{
		{Name: "lister poll", Run: d.poll},
		{Name: "lister decide", Run: d.decide},
	}
}

func (d *Driver) poll(ctx context.Context) error {
	ticks, cancel := d.config.Timer.Subscribe(hurryInterval)
	defer cancel()
	last := d.config.Timer.Now()
	d.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.resumed:
			d.refresh(ctx)
		case now := <-ticks:
			if now.Sub(last) < d.interval() && !d.wanted.Swap(false) {
				continue
			}
			last = now
			d.read(ctx)
		}
	}
}

// refresh ends the state outdated: other hosts answer at once even when the store is slow. If nobody answers, the list
// that this host has is the best one there is.
func (d *Driver) refresh(ctx context.Context) {
	if !d.readFromPeers(ctx) {
		d.read(ctx)
	}
	select {
	case d.refreshed <- struct{}{}:
	case <-ctx.Done():
	}
}

// endOutdated applies the list that was read last before the upstreams are used again.
func (d *Driver) endOutdated() {
	select {
	case list := <-d.lists.Items():
		d.handle(ListReceived{List: list})
		d.markReady()
	default:
	}
	d.outdated.Store(false)
}

func (d *Driver) sinceTick() time.Duration {
	return d.config.Timer.Now().Sub(d.started) - time.Duration(d.lastTick.Load())
}

// noteTick notices that this process was frozen.
func (d *Driver) noteTick() {
	if !d.config.Pushed && d.sinceTick() > frozenAfter {
		d.outdated.Store(true)
		select {
		case d.resumed <- struct{}{}:
		default:
		}
	}
	d.lastTick.Store(int64(d.config.Timer.Now().Sub(d.started)))
}

// interval grows with the number of hosts, so that all of them together stay at a few hundred reads a second.
func (d *Driver) interval() time.Duration {
	if d.config.PollInterval > 0 {
		return d.config.PollInterval
	}
	if d.config.Members == nil {
		return DefaultPollInterval
	}
	return min(max(shortestPoll, time.Duration(len(d.config.Members.Live()))*pollPerHost), DefaultPollInterval)
}

func (d *Driver) read(ctx context.Context) {
	list, err := d.config.Store.Hosts(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.noteOutage(err)
		d.readFromPeers(ctx)
		return
	}
	d.noteRecovery()
	d.Accept(list)
}

// Accept replaces the list by a newer one.
func (d *Driver) Accept(list codec.HostList) {
	d.latest.Store(&list)
	d.lists.Offer(list)
}

// readFromPeers asks live hosts in random order until one has a higher list than this host, and reports whether any
// answered; a host that cannot read the store must still learn that an upstream is leaving.
func (d *Driver) readFromPeers(ctx context.Context) (answered bool) {
	if d.config.Peers == nil || d.config.Members == nil {
		return false
	}
	members := slices.Clone(d.config.Members.Live())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, member := range members {
		if member.ID == d.config.Members.Self().ID || asked == maxAsked {
			continue
		}
		asked++
		list, err := d.ask(ctx, member)
		answered = answered || err == nil
		if err == nil && list.Revision > d.revision() {
			d.Accept(list)
			break
		}
	}
	return answered
}

func (d *Driver) ask(ctx context.Context, member codec.Member) (codec.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var list codec.HostList
	err := d.config.Peers.Call(ctx, member, methodHostList, hostListRequest{Above: d.revision()}, &list)
	return list, err
}

// revision returns the revision of this host's list; 0 means that it has none.
func (d *Driver) revision() int64 {
	if list := d.latest.Load(); list != nil {
		return list.Revision
	}
	return 0
}

// hostListRequest asks for a list with a revision above the caller's own.
type hostListRequest struct {
	Above int64 `json:"above"`
}

// serveList returns this host's list, or revision 0 when it has none that the caller lacks.
func (d *Driver) serveList(_ context.Context, params json.RawMessage) (any, error) {
	var request hostListRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode host list request", "peer", err)
	}
	if d.revision() > request.Above {
		return d.latest.Load(), nil
	}
	return codec.HostList{Hosts: []codec.ListedHost{}}, nil
}

func (d *Driver) noteOutage(err error) {
	if !d.outage {
		d.config.Logger.Warn(logger.StoreUnavailable).Err(err).Msg("cannot read the list of hosts; keeping the last one")
	}
	d.outage = true
}

func (d *Driver) noteRecovery() {
	if d.outage {
		d.config.Logger.Info(logger.StoreRecovered).Msg("read the list of hosts again")
	}
	d.outage = false
}

func (d *Driver) decide(ctx context.Context) error {
	ticks, cancel := d.config.Timer.Subscribe(expiryInterval)
	defer cancel()
	d.lastTick.Store(int64(d.config.Timer.Now().Sub(d.started)))
	for {
		select {
		case <-ctx.Done():
			return nil
		case list := <-d.lists.Items():
			d.handle(ListReceived{List: list})
			d.markReady()
		case <-d.refreshed:
			d.endOutdated()
		case evidence := <-d.evidence.Items():
			d.handle(evidence)
		case <-ticks:
			d.noteTick()
			d.handle(Tick{})
		}
	}
}

func (d *Driver) markReady() {
	select {
	case <-d.ready:
	default:
		close(d.ready)
	}
}

func (d *Driver) handle(event Event) {
	for _, command := range d.machine.Handle(d.config.Timer.Now(), event) {
		switch c := command.(type) {
		case Publish:
			d.current.Store(&c)
			if d.config.OnPublish != nil {
				d.config.OnPublish(c)
			}
		case NoteLeaving:
			d.config.Logger.Info(logger.UpstreamLeaving).Str("upstream", string(c.ID)).Send()
		}
	}
}
