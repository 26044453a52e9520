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
	// DefaultCallTimeout bounds calls to the store, to hosts and for load reports, and the order `serve`.
	DefaultCallTimeout = 2 * time.Second
	// DefaultLoadTimeout bounds the order `load`, which returns when the version is loaded.
	DefaultLoadTimeout = 5 * time.Minute
	// reviewInterval is how often the engines, the targets and the ownership of the shards are compared.
	reviewInterval = 250 * time.Millisecond
	resultCapacity = 16384
)

// Settings configures an Updater; zero values mean the defaults.
type Settings struct {
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
	settings Settings
	versions *versions
	results  *buffer.Ring[result]
	calls    *grouper.Group
	shards   []*shard
	draining atomic.Bool

	// engines and their division are kept until the engines change; the division sorts all of them.
	engines    []Engine
	topologies []TopologyChanged
	topology   uint64
}

var _ connector.WeightVersions = (*Updater)(nil)

// result carries the outcome of a call back to the duty; one of the events is set.
type result struct {
	shard   int
	lease   LeaseEvent
	rollout RolloutEvent
}

type shard struct {
	lease     *Lease
	rollout   *Rollout
	grant     Grant
	leaseAt   time.Time
	rolloutAt time.Time
	// topology numbers the division of the engines that the rollout knows.
	topology uint64
}

// New returns an updater and registers its method with the peers.
func New(settings Settings) *Updater {
	setDefault(&settings.CallTimeout, DefaultCallTimeout)
	setDefault(&settings.LoadTimeout, DefaultLoadTimeout)
	if settings.Shards <= 0 {
		settings.Shards = DefaultShards
	}
	if settings.Log == nil {
		settings.Log = logger.Discard()
	}
	settings.Rollout.Rand = settings.Rand
	nonce := strconv.FormatUint(settings.Rand.Uint64(), 36)
	settings.Lease.Holder = settings.Members.Self().ID + "#" + identifier.HostID(nonce)
	u := &Updater{
		settings: settings,
		versions: newVersions(),
		results:  buffer.New[result](resultCapacity),
		calls:    grouper.NewGroup(-1),
	}
	for range settings.Shards {
		u.shards = append(u.shards, &shard{lease: NewLease(settings.Lease), rollout: NewRollout(settings.Rollout)})
	}
	settings.Peers.Handle(MethodAnnounce, u.serveAnnounce)
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

// ownership returns a function that reports whether a key falls to this host. It is made once for many keys, since
// hashing all hosts costs more than the look-ups.
func (u *Updater) ownership() func(key string) bool {
	if u.draining.Load() {
		return func(string) bool { return false }
	}
	members := u.settings.Members.Live()
	ids := make([]string, len(members))
	for i, member := range members {
		ids[i] = string(member.ID)
	}
	hosts := rendezvous.New(ids, xxhash.Sum64String)
	self := string(u.settings.Members.Self().ID)
	return func(key string) bool { return hosts.Lookup(key) == self }
}

func (u *Updater) randomPeer() (codec.Member, bool) {
	members := u.settings.Members.Live()
	self := u.settings.Members.Self().ID
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

// run owns the leases and rollouts of all shards.
func (u *Updater) run(ctx context.Context) error {
	defer u.calls.Wait()
	reviews, cancel := u.settings.Timer.Subscribe(reviewInterval)
	defer cancel()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	u.review(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-u.results.Items():
			u.handle(ctx, r)
		case <-reviews:
			u.review(ctx)
		case <-u.versions.changed:
			u.retarget(ctx)
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
			s.leaseAt = c.At
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
		u.settings.Log.Info(logger.LeaseAcquired).Int("shard", index).Int64("fencing", int64(to.Fencing)).Send()
	case from.Fencing != 0 && to.Fencing == 0:
		u.settings.Log.Info(logger.LeaseLost).Int("shard", index).Int64("fencing", int64(from.Fencing)).Send()
	}
}

func (u *Updater) handleRollout(ctx context.Context, index int, event RolloutEvent) {
	s := u.shards[index]
	for _, command := range s.rollout.Handle(time.Now(), event) {
		switch c := command.(type) {
		case SetRolloutTimer:
			s.rolloutAt = c.At
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
		next = earlier(next, s.leaseAt)
		if !s.rolloutAt.IsZero() {
			next = earlier(next, s.rolloutAt)
		}
	}
	return next
}

func (u *Updater) wake(ctx context.Context) {
	now := time.Now()
	for index, s := range u.shards {
		if !s.leaseAt.IsZero() && !s.leaseAt.After(now) {
			s.leaseAt = time.Time{}
			u.handleLease(ctx, index, LeaseTimerFired{})
		}
		if !s.rolloutAt.IsZero() && !s.rolloutAt.After(now) {
			s.rolloutAt = time.Time{}
			u.handleRollout(ctx, index, RolloutTimerFired{})
		}
	}
}

// review compares the ownership of the shards, and for those that this host holds the engines and targets.
func (u *Updater) review(ctx context.Context) {
	owns := u.ownership()
	for index, s := range u.shards {
		u.handleLease(ctx, index, LeaseWanted{Wanted: owns(leaseKey(index)), InFlight: s.rollout.InFlight()})
	}
	if !u.holdsAny() {
		return
	}
	u.divideEngines()
	for index, s := range u.shards {
		if s.grant.Fencing != 0 && s.topology != u.topology {
			s.topology = u.topology
			u.handleRollout(ctx, index, u.topologies[index])
		}
	}
	u.retarget(ctx)
}

func (u *Updater) divideEngines() {
	engines := enginesOf(u.settings.Catalogue.Current(), u.settings.Upstreams)
	if u.topology > 0 && slices.Equal(engines, u.engines) {
		return
	}
	u.engines = engines
	u.topologies = divide(slices.Clone(engines), u.settings.Shards)
	u.topology++
}

func (u *Updater) holdsAny() bool {
	for _, s := range u.shards {
		if s.grant.Fencing != 0 {
			return true
		}
	}
	return false
}

func (u *Updater) retarget(ctx context.Context) {
	targets := targetsOf(u.settings.Catalogue.Current(), u.versions.current)
	for index, s := range u.shards {
		if s.grant.Fencing != 0 {
			u.handleRollout(ctx, index, TargetsSet{Targets: targets})
		}
	}
}
