package updater

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

const (
	// DefaultShards is the number of shards of engines; all hosts must use the same number.
	DefaultShards = 4
	// DefaultCallTimeout bounds a call to the store, to another host or to an engine, except a load order.
	DefaultCallTimeout = 2 * time.Second
	// DefaultLoadTimeout bounds a load order, which returns once the engine has loaded the version.
	DefaultLoadTimeout = 5 * time.Minute
	// reconcileInterval is how often the ownership of the shards, the engines and the targets are updated.
	reconcileInterval = 250 * time.Millisecond
	resultCapacity    = 16384
)

// Config configures an Updater; zero values mean the defaults.
type Config struct {
	Store       connector.Store
	Members     connector.Members
	Peers       connector.Peers
	Catalogue   connector.Catalogue
	Upstreams   connector.Upstreams
	Engines     connector.Engines
	Timer       *timer.Service
	Log         *logger.Logger
	Rand        *rand.Rand
	Shards      int
	Lease       LeaseConfig
	Rollout     RolloutConfig
	CallTimeout time.Duration
	LoadTimeout time.Duration
}

// Updater implements connector.WeightVersions and sends the orders of the shards whose leases this host holds.
type Updater struct {
	config   Config
	versions *versions
	results  *buffer.Ring[result]
	calls    *grouper.Group
	shards   []*shard
	draining atomic.Bool

	// engines, topologies and topologyVersion change only when the set of engines does, since dividing the engines sorts
	// all of them.
	engines         []Engine
	topologies      []TopologyChanged
	topologyVersion uint64
}

var _ connector.WeightVersions = (*Updater)(nil)

// result is the outcome of a call, to be handled by Updater.run; one of the two events is set.
type result struct {
	shard   int
	lease   LeaseEvent
	rollout RolloutEvent
}

type shard struct {
	lease         *Lease
	rollout       *Rollout
	grant         Grant
	leaseWakeAt   time.Time
	rolloutWakeAt time.Time
	// topologyVersion is the version of the topology that the rollout received last.
	topologyVersion uint64
}

// New returns an updater and registers MethodAnnounce with the peers.
func New(config Config) *Updater {
	setDefault(&config.CallTimeout, DefaultCallTimeout)
	setDefault(&config.LoadTimeout, DefaultLoadTimeout)
	if config.Shards <= 0 {
		config.Shards = DefaultShards
	}
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	config.Rollout.Rand = config.Rand
	nonce := strconv.FormatUint(config.Rand.Uint64(), 36)
	config.Lease.Holder = config.Members.Self().ID + "#" + identifier.HostID(nonce)
	u := &Updater{
		config:   config,
		versions: newVersions(),
		results:  buffer.New[result](resultCapacity),
		calls:    grouper.NewGroup(-1),
	}
	for range config.Shards {
		u.shards = append(u.shards, &shard{lease: NewLease(config.Lease), rollout: NewRollout(config.Rollout)})
	}
	config.Peers.Handle(MethodAnnounce, u.serveAnnounce)
	return u
}

// Duties returns the long-lived functions of the updater.
func (u *Updater) Duties() []grouper.Duty {
	return []grouper.Duty{
		{Name: "updater", Run: u.run},
		{Name: "weight-versions", Run: u.runVersions},
	}
}

// Drain releases the leases once the outstanding orders have ended, as part of a graceful shutdown.
func (u *Updater) Drain() { u.draining.Store(true) }

// ownership returns a function that reports whether rendezvous hashing assigns a key to this host. One function serves
// many keys, since hashing all hosts costs more than the lookups.
func (u *Updater) ownership() func(key string) bool {
	if u.draining.Load() {
		return func(string) bool { return false }
	}
	members := u.config.Members.Live()
	ids := make([]string, len(members))
	for i, member := range members {
		ids[i] = string(member.ID)
	}
	hosts := rendezvous.New(ids, xxhash.Sum64String)
	self := string(u.config.Members.Self().ID)
	return func(key string) bool { return hosts.Lookup(key) == self }
}

func (u *Updater) randomPeer() (codec.Member, bool) {
	members := u.config.Members.Live()
	self := u.config.Members.Self().ID
	others := make([]codec.Member, 0, len(members))
	for _, member := range members {
		if member.ID != self {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return codec.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}

// run feeds events to the leases and rollouts of all shards and executes their commands.
func (u *Updater) run(ctx context.Context) error {
	defer u.calls.Wait()
	ticks, cancel := u.config.Timer.Subscribe(reconcileInterval)
	defer cancel()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	u.reconcile(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-u.results.Items():
			u.handle(ctx, r)
		case <-ticks:
			u.reconcile(ctx)
		case <-u.versions.changed:
			u.updateTargets(ctx)
		case <-wake.C:
			u.wake(ctx)
		}
		wake.Reset(time.Until(u.nextWake()))
	}
}

func (u *Updater) handle(ctx context.Context, r result) {
	if r.lease != nil {
		u.handleLease(ctx, r.shard, r.lease)
	}
	if r.rollout != nil {
		u.handleRollout(ctx, r.shard, r.rollout)
	}
}

func (u *Updater) handleLease(ctx context.Context, index int, event LeaseEvent) {
	s := u.shards[index]
	for _, command := range s.lease.Handle(time.Now(), event) {
		switch c := command.(type) {
		case SetLeaseTimer:
			s.leaseWakeAt = c.At
		case ReadLease:
			u.calls.Go(func() { u.results.Offer(result{shard: index, lease: u.readLease(ctx, index)}) })
		case WriteLease:
			u.calls.Go(func() { u.results.Offer(result{shard: index, lease: u.writeLease(ctx, index, c)}) })
		}
	}
	grant := s.lease.Grant()
	if grant == s.grant {
		return
	}
	u.logGrant(index, s.grant, grant)
	s.grant = grant
	u.handleRollout(ctx, index, GrantChanged{Grant: grant})
}

func (u *Updater) logGrant(index int, from, to Grant) {
	switch {
	case from.Fencing != to.Fencing && to.Fencing != 0:
		u.config.Log.Info(logger.LeaseAcquired).Int("shard", index).Int64("fencing", int64(to.Fencing)).Send()
	case from.Fencing != 0 && to.Fencing == 0:
		u.config.Log.Info(logger.LeaseLost).Int("shard", index).Int64("fencing", int64(from.Fencing)).Send()
	}
}

func (u *Updater) handleRollout(ctx context.Context, index int, event RolloutEvent) {
	s := u.shards[index]
	for _, command := range s.rollout.Handle(time.Now(), event) {
		switch c := command.(type) {
		case SetRolloutTimer:
			s.rolloutWakeAt = c.At
		case PollLoad:
			u.calls.Go(func() { u.results.Offer(result{shard: index, rollout: u.pollLoad(ctx, c)}) })
		case SendOrder:
			u.calls.Go(func() { u.results.Offer(result{shard: index, rollout: u.sendOrder(ctx, c)}) })
		}
	}
}

func (u *Updater) nextWake() time.Time {
	next := time.Now().Add(time.Hour)
	for _, s := range u.shards {
		next = earlier(next, s.leaseWakeAt)
		if !s.rolloutWakeAt.IsZero() {
			next = earlier(next, s.rolloutWakeAt)
		}
	}
	return next
}

func (u *Updater) wake(ctx context.Context) {
	now := time.Now()
	for index, s := range u.shards {
		if !s.leaseWakeAt.IsZero() && !s.leaseWakeAt.After(now) {
			s.leaseWakeAt = time.Time{}
			u.handleLease(ctx, index, LeaseTimerFired{})
		}
		if !s.rolloutWakeAt.IsZero() && !s.rolloutWakeAt.After(now) {
			s.rolloutWakeAt = time.Time{}
			u.handleRollout(ctx, index, RolloutTimerFired{})
		}
	}
}

// reconcile updates the ownership of the shards, and the engines and targets of those whose leases this host holds.
func (u *Updater) reconcile(ctx context.Context) {
	owns := u.ownership()
	for index, s := range u.shards {
		u.handleLease(ctx, index, LeaseWanted{Wanted: owns(leaseKey(index)), InFlight: s.rollout.InFlight()})
	}
	if !u.holdsAnyLease() {
		return
	}
	u.divideEngines()
	for index, s := range u.shards {
		if s.grant.Fencing != 0 && s.topologyVersion != u.topologyVersion {
			s.topologyVersion = u.topologyVersion
			u.handleRollout(ctx, index, u.topologies[index])
		}
	}
	u.updateTargets(ctx)
}

func (u *Updater) divideEngines() {
	engines := enginesOf(u.config.Catalogue.Current(), u.config.Upstreams)
	if u.topologyVersion > 0 && slices.Equal(engines, u.engines) {
		return
	}
	u.engines = engines
	u.topologies = divide(slices.Clone(engines), u.config.Shards)
	u.topologyVersion++
}

func (u *Updater) holdsAnyLease() bool {
	for _, s := range u.shards {
		if s.grant.Fencing != 0 {
			return true
		}
	}
	return false
}

func (u *Updater) updateTargets(ctx context.Context) {
	targets := targetsOf(u.config.Catalogue.Current(), u.versions.current)
	for index, s := range u.shards {
		if s.grant.Fencing != 0 {
			u.handleRollout(ctx, index, TargetsSet{Targets: targets})
		}
	}
}
