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
	// DefaultPollInterval leaves 3 s for the list's own lag: an upstream that is leaving must get no new work after 5 s.
	DefaultPollInterval = 2 * time.Second
	// minPollInterval and pollIntervalPerHost set the interval while there are few hosts: with 2 s, a slow store and the
	// list's lag took more than 5 s together. The interval grows with the hosts to bound the load on the store: 360 hosts
	// read 200 times a second.
	minPollInterval     = 500 * time.Millisecond
	pollIntervalPerHost = 5 * time.Millisecond
	// emptyPoolInterval is the time between two reads of the list while requests find a pool empty: the list may have been
	// read before an upstream appeared in it.
	emptyPoolInterval = 250 * time.Millisecond
	// methodHostList requests another host's list.
	methodHostList = "host_list"
	// freezeThreshold is the pause of this process after which its list counts as outdated until it has been read again.
	freezeThreshold = time.Second
	// maxPeers bounds the hosts whose list is requested in one round.
	maxPeers = 3
	// peerTimeout bounds one such request.
	peerTimeout = 500 * time.Millisecond
	// expiryInterval bounds how late the end of an outage is noticed.
	expiryInterval = 100 * time.Millisecond
	// evidenceCapacity bounds the queued evidence; it is sized for a burst of attempts that end at the same time.
	evidenceCapacity = 4096
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Machine Config
	Store   connector.Store
	Timer   *timer.Service
	Log     *logger.Logger
	// PollInterval is the time between two reads of the list; zero means an interval that grows with the number of live
	// members.
	PollInterval time.Duration
	// Peers and Members, when set, let this host request the list of other hosts while it cannot read the store, also at its
	// start.
	Peers   connector.Peers
	Members connector.Members
	// Pushed means that lists come from Accept. The store is not read, and a pause of this process does not make the list
	// outdated, because the caller of Accept follows a watch, which catches up by itself.
	Pushed bool
	// OnPublish is called with each new state from the goroutine that owns the state machine; it may be nil.
	OnPublish func(Publish)
}

// Driver feeds the platform's list and evidence to a Lister and publishes the known upstreams.
type Driver struct {
	config   DriverConfig
	machine  *Lister
	evidence *buffer.Ring[EvidenceReported]
	lists    *buffer.Ring[codec.HostList]
	current  atomic.Pointer[Publish]
	ready    chan struct{}
	// storeDown is set while reads of the store fail. Only the goroutine that reads the list uses it.
	storeDown bool
	// latest is the list that was read or accepted last; it may not have been applied yet.
	latest atomic.Pointer[codec.HostList]
	// emptyPool is set when a request found its pool empty.
	emptyPool atomic.Bool
	// started and lastTick, the time of the last tick since started, show whether this process was frozen. outdated is set
	// from the end of a freeze until the list has been read again.
	started  time.Time
	lastTick atomic.Int64
	outdated atomic.Bool
	// resumed makes the goroutine that reads the list read it again after a freeze.
	resumed chan struct{}
	// refreshed signals to the goroutine that owns the state machine that the list has been read again after a freeze.
	refreshed chan struct{}
}

var _ connector.Upstreams = (*Driver)(nil)

// NewDriver returns a Driver that knows no hosts until Run has read the list.
func NewDriver(config DriverConfig) *Driver {
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	d := &Driver{
		config:    config,
		machine:   New(config.Machine),
		evidence:  buffer.New[EvidenceReported](evidenceCapacity),
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
// Unless lists are pushed, it returns none after a freeze of this process until the list has been read again.
func (d *Driver) Pool(name identifier.PoolName) []connector.Upstream {
	if !d.config.Pushed && (d.outdated.Load() || d.sinceTick() > freezeThreshold) {
		// An upstream in the list may have been leaving for too long to get new work.
		return nil
	}
	pool := d.current.Load().Pools[name]
	if len(pool) == 0 {
		d.emptyPool.Store(true)
	}
	return pool
}

// Listed returns the list entries of a pool's usable upstreams in order of id; callers must not change it.
func (d *Driver) Listed(name identifier.PoolName) []codec.ListedHost {
	return d.current.Load().Listed[name]
}

// Seeds returns the celerygap hosts in the platform's list in order of id; callers must not change it.
func (d *Driver) Seeds() []codec.ListedHost { return d.current.Load().Seeds }

// Ready returns a channel that is closed once the first list has been applied.
func (d *Driver) Ready() <-chan struct{} { return d.ready }

// Report queues evidence without waiting. It is dropped when the queue is full; the next attempt shows the same again.
func (d *Driver) Report(id identifier.UpstreamID, evidence connector.Evidence) {
	d.evidence.Offer(EvidenceReported{ID: id, Evidence: evidence})
}

// Run supervises Duties until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	return grouper.Supervise(ctx, grouper.Config{}, d.Duties()...)
}

// Duties returns the duties of Run for callers with their own supervisor, which may run each on its own thread. One reads
// the list, unless lists are pushed, and one runs the state machine, so that a slow store does not delay evidence.
func (d *Driver) Duties() []grouper.Duty {
	if d.config.Pushed {
		return []grouper.Duty{{Name: "lister decide", Run: d.runMachine}}
	}
	return []grouper.Duty{
		{Name: "lister poll", Run: d.poll},
		{Name: "lister decide", Run: d.runMachine},
	}
}

// poll reads the list periodically, and early when a pool is empty or this process was frozen.
func (d *Driver) poll(ctx context.Context) error {
	ticks, cancel := d.config.Timer.Subscribe(emptyPoolInterval)
	defer cancel()
	last := d.config.Timer.Now()
	d.readList(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.resumed:
			d.refresh(ctx)
		case now := <-ticks:
			if now.Sub(last) < d.pollInterval() && !d.emptyPool.Swap(false) {
				continue
			}
			last = now
			d.readList(ctx)
		}
	}
}

// refresh reads the list after a freeze, so that the outdated state ends. It requests the list of other hosts first, because
// they respond promptly even when the store is slow. If neither they nor the store respond, this host continues with the
// list that it has.
func (d *Driver) refresh(ctx context.Context) {
	if !d.readFromPeers(ctx) {
		d.readList(ctx)
	}
	select {
	case d.refreshed <- struct{}{}:
	case <-ctx.Done():
	}
}

// endOutdated applies the list that is still queued, if any, before Pool returns upstreams again.
func (d *Driver) endOutdated() {
	select {
	case list := <-d.lists.Items():
		d.handle(ListReceived{List: list})
		d.markReady()
	default:
	}
	d.outdated.Store(false)
}

// sinceTick returns the time since the last tick.
func (d *Driver) sinceTick() time.Duration {
	return d.config.Timer.Now().Sub(d.started) - time.Duration(d.lastTick.Load())
}

// recordTick records the time of a tick; if this process was frozen before it, the list becomes outdated.
func (d *Driver) recordTick() {
	if !d.config.Pushed && d.sinceTick() > freezeThreshold {
		d.outdated.Store(true)
		select {
		case d.resumed <- struct{}{}:
		default:
		}
	}
	d.lastTick.Store(int64(d.config.Timer.Now().Sub(d.started)))
}

// pollInterval returns the time between two reads of the list. It grows with the number of live members up to
// DefaultPollInterval, so that all members together read at most 200 times a second on schedule while there are up to 400.
func (d *Driver) pollInterval() time.Duration {
	if d.config.PollInterval > 0 {
		return d.config.PollInterval
	}
	if d.config.Members == nil {
		return DefaultPollInterval
	}
	return min(max(minPollInterval, time.Duration(len(d.config.Members.Live()))*pollIntervalPerHost), DefaultPollInterval)
}

// readList reads the list from the store, or from other hosts if the store does not respond.
func (d *Driver) readList(ctx context.Context) {
	list, err := d.config.Store.Hosts(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.recordStoreOutage(err)
		d.readFromPeers(ctx)
		return
	}
	d.recordStoreRecovery()
	d.Accept(list)
}

// Accept queues a list for the state machine without waiting; it is dropped while an earlier one is still queued. The state
// machine ignores a list whose revision is not higher, unless the platform has restarted its count of revisions.
func (d *Driver) Accept(list codec.HostList) {
	d.latest.Store(&list)
	d.lists.Offer(list)
}

// readFromPeers requests the lists of up to maxPeers live members in random order until one has a higher revision than this
// host's, and reports whether any responded. A host that cannot read the store must still learn that an upstream is leaving.
func (d *Driver) readFromPeers(ctx context.Context) (responded bool) {
	if d.config.Peers == nil || d.config.Members == nil {
		return false
	}
	members := slices.Clone(d.config.Members.Live())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	requested := 0
	for _, member := range members {
		if member.ID == d.config.Members.Self().ID || requested == maxPeers {
			continue
		}
		requested++
		list, err := d.requestList(ctx, member)
		responded = responded || err == nil
		if err == nil && list.Revision > d.revision() {
			d.Accept(list)
			break
		}
	}
	return responded
}

func (d *Driver) requestList(ctx context.Context, member codec.Member) (codec.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var list codec.HostList
	err := d.config.Peers.Call(ctx, member, methodHostList, hostListRequest{Above: d.revision()}, &list)
	return list, err
}

// revision returns the revision of the list that was read last; 0 means that there is none.
func (d *Driver) revision() int64 {
	if list := d.latest.Load(); list != nil {
		return list.Revision
	}
	return 0
}

// hostListRequest requests a list with a revision above the caller's own.
type hostListRequest struct {
	Above int64 `json:"above"`
}

// serveList returns this host's list if its revision is above the caller's, otherwise an empty one with revision 0.
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

func (d *Driver) recordStoreOutage(err error) {
	if !d.storeDown {
		d.config.Log.Warn(logger.StoreUnavailable).Err(err).Msg("cannot read the list of hosts; keeping the last one")
	}
	d.storeDown = true
}

func (d *Driver) recordStoreRecovery() {
	if d.storeDown {
		d.config.Log.Info(logger.StoreRecovered).Msg("read the list of hosts again")
	}
	d.storeDown = false
}

// runMachine owns the state machine and feeds it lists, evidence and ticks.
func (d *Driver) runMachine(ctx context.Context) error {
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
			d.recordTick()
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
		case LogLeaving:
			d.config.Log.Info(logger.UpstreamLeaving).Str("upstream", string(c.ID)).Str("source", string(c.Source)).Send()
		case LogAnnouncementDropped:
			d.config.Log.Info(logger.AnnouncementDropped).Str("upstream", string(c.ID)).Time("announced_by", c.AnnouncedBy).
				Time("listed_start", c.ListedStart).Dur("age", c.Age).Send()
		}
	}
}
