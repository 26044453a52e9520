package permitter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/refuser"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

const (
	// MethodPermit is the JSON-RPC method that asks the owner of a shard for a permit.
	MethodPermit = "permit"
	// MethodComplete is the JSON-RPC method that reports the end of a permitted request.
	MethodComplete = "complete_permit"
	// DefaultShards is the number of shards; all hosts must use the same number.
	DefaultShards = 16
	// DefaultStoreTimeout bounds one call to the store; a write that takes longer is uncertain.
	DefaultStoreTimeout = 2 * time.Second
	// DefaultListTimeout bounds the listing of a shard's segments, which may hold tens of megabytes.
	DefaultListTimeout = 20 * time.Second
	// DefaultCallTimeout bounds one call to an owner; it exceeds the owner's poll wait and a slow write.
	DefaultCallTimeout = 4 * time.Second
	// MaxAnswer is the largest body of an answer that is stored.
	MaxAnswer identifier.Bytes = 8 << 10
	// MaxKey is the largest idempotency key.
	MaxKey identifier.Bytes = 255

	// movedReason is the reason with which a host denies that it owns a shard.
	movedReason = refuser.Reason(refuser.RetryPermitOwnerMoved)

	requestCapacity = 4096
	// releaseInterval is how often the ownership of shards is compared with the membership.
	releaseInterval = time.Second
	// releaseAfter keeps a shard that others consider theirs while requests for it still arrive here.
	releaseAfter = 10 * time.Second
)

// Settings configures a Permitter; zero values mean the defaults.
type Settings struct {
	Store   connector.Store
	Members connector.Members
	Peers   connector.Peers
	Timer   *timer.Service
	Log     *logger.Logger
	// Meter counts calls to the store; nil counts nothing.
	Meter  *meter.Meter
	Rand   *rand.Rand
	Shards int
	// Shard configures the state machines; Host and Rand are filled in.
	Shard        Config
	StoreTimeout time.Duration
	ListTimeout  time.Duration
	CallTimeout  time.Duration
}

// Permitter implements connector.Permits and owns the permits of the shards that fall to this host.
type Permitter struct {
	settings  Settings
	draining  atomic.Bool
	tokens    atomic.Uint64
	requests  *buffer.Ring[message]
	results   *buffer.Ring[message]
	withdrawn *buffer.Ring[codec.PermitCompletion]
	store     *grouper.Group
	shards    []*ownedShard
	waiters   waiters
}

var _ connector.Permits = (*Permitter)(nil)

type message struct {
	shard int
	event Event
}

type ownedShard struct {
	machine *Shard
	wakeAt  time.Time
	usedAt  time.Time
}

// New returns a permitter and registers its methods with the peers.
func New(settings Settings) *Permitter {
	setDefault(&settings.StoreTimeout, DefaultStoreTimeout)
	setDefault(&settings.ListTimeout, DefaultListTimeout)
	setDefault(&settings.CallTimeout, DefaultCallTimeout)
	if settings.Shards <= 0 {
		settings.Shards = DefaultShards
	}
	if settings.Log == nil {
		settings.Log = logger.Discard()
	}
	settings.Shard.Host = settings.Members.Self().ID
	settings.Shard.Rand = settings.Rand
	p := &Permitter{
		settings:  settings,
		requests:  buffer.New[message](requestCapacity),
		results:   buffer.New[message](settings.Shards * callsPerShard),
		withdrawn: buffer.New[codec.PermitCompletion](withdrawalCapacity),
		store:     grouper.NewGroup(settings.Shards * callsPerShard),
		waiters:   newWaiters(),
	}
	for range settings.Shards {
		p.shards = append(p.shards, &ownedShard{machine: NewShard(settings.Shard)})
	}
	settings.Peers.Handle(MethodPermit, p.servePermit)
	settings.Peers.Handle(MethodComplete, p.serveComplete)
	return p
}

// Duties returns the long-lived functions of the permitter.
func (p *Permitter) Duties() []grouper.Duty {
	return []grouper.Duty{
		{Name: "permitter", Run: p.run},
		{Name: "permit-withdrawals", Run: p.runWithdrawals},
	}
}

// Drain makes this host deny the ownership of all shards, as part of a graceful shutdown. Its own Acquire calls
// continue and find other owners.
func (p *Permitter) Drain() { p.draining.Store(true) }

// run owns the state machines of all shards.
func (p *Permitter) run(ctx context.Context) error {
	defer p.store.Wait()
	ticks, cancel := p.settings.Timer.Subscribe(releaseInterval)
	defer cancel()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-p.requests.Items():
			p.shards[m.shard].usedAt = time.Now()
			p.handle(ctx, m.shard, m.event)
		case m := <-p.results.Items():
			p.handle(ctx, m.shard, m.event)
		case <-ticks:
			p.review(ctx)
		case <-wake.C:
			p.wakeShards(ctx)
		}
		wake.Reset(time.Until(p.nextWake()))
	}
}

func (p *Permitter) handle(ctx context.Context, shard int, event Event) {
	owned := p.shards[shard]
	wasIdle := owned.machine.Idle()
	for _, command := range owned.machine.Handle(time.Now(), event) {
		p.execute(ctx, shard, command)
	}
	if listed, ok := event.(Listed); ok && listed.Result == StoreOK {
		p.settings.Log.Info(logger.ShardTaken).Int("shard", shard).Int("segments", len(listed.Segments)).Send()
	}
	if !wasIdle && owned.machine.Idle() {
		owned.wakeAt = time.Time{}
	}
}

func (p *Permitter) execute(ctx context.Context, shard int, command Command) {
	switch c := command.(type) {
	case Reply:
		p.waiters.deliver(c.Token, outcome{reply: c.Reply})
	case Confirm:
		p.waiters.deliver(c.Token, outcome{reason: c.Reason})
	case SetTimer:
		p.shards[shard].wakeAt = c.At
	case List:
		p.store.Go(func() { p.offer(shard, p.list(ctx, shard)) })
	case Get:
		p.store.Go(func() { p.offer(shard, p.get(ctx, shard, c)) })
	case Put:
		p.store.Go(func() { p.offer(shard, p.put(ctx, shard, c)) })
	case Delete:
		p.store.Go(func() { p.offer(shard, p.delete(ctx, shard, c)) })
	}
}

// offer hands a result to the duty; the ring has room for every call that can be outstanding.
func (p *Permitter) offer(shard int, event Event) {
	p.results.Offer(message{shard: shard, event: event})
}

func (p *Permitter) nextWake() time.Time {
	next := time.Now().Add(time.Hour)
	for _, owned := range p.shards {
		if !owned.wakeAt.IsZero() {
			next = earlier(next, owned.wakeAt)
		}
	}
	return next
}

func (p *Permitter) wakeShards(ctx context.Context) {
	now := time.Now()
	for shard, owned := range p.shards {
		if owned.wakeAt.IsZero() || owned.wakeAt.After(now) {
			continue
		}
		owned.wakeAt = time.Time{}
		p.handle(ctx, shard, TimerFired{})
	}
}

// review tells the shards which hosts are alive and gives up those that have fallen to another host.
func (p *Permitter) review(ctx context.Context) {
	live := make(map[identifier.HostID]bool)
	for _, member := range p.settings.Members.Live() {
		live[member.ID] = true
	}
	for shard, owned := range p.shards {
		if owned.machine.Idle() {
			continue
		}
		owner, ok := p.owner(shard, nil)
		elsewhere := p.draining.Load() || (ok && owner.ID != p.settings.Members.Self().ID)
		if elsewhere && time.Since(owned.usedAt) > releaseAfter {
			p.handle(ctx, shard, Released{})
			continue
		}
		p.handle(ctx, shard, MembersChanged{Live: live})
	}
}
