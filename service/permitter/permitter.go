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
	// MethodPermit is the JSON-RPC method that requests a permit from the owner of a shard.
	MethodPermit = "permit"
	// MethodComplete is the JSON-RPC method that reports to the owner of a shard how a permitted request ended.
	MethodComplete = "complete_permit"
	// DefaultShards is the number of shards; all hosts must use the same number.
	DefaultShards = 16
	// DefaultStoreTimeout bounds one call to the store; the outcome of a write that takes longer is unknown.
	DefaultStoreTimeout = 2 * time.Second
	// DefaultListTimeout bounds the listing of a shard's segments, which may hold tens of megabytes.
	DefaultListTimeout = 20 * time.Second
	// DefaultCallTimeout bounds one call to an owner; it exceeds the sum of DefaultPollWait and DefaultStoreTimeout.
	DefaultCallTimeout = 4 * time.Second
	// MaxStoredResponse is the size of the largest response body that is stored for repeats.
	MaxStoredResponse identifier.Bytes = 8 << 10
	// MaxKey is the size of the longest idempotency key.
	MaxKey identifier.Bytes = 255

	// movedReason is the refusal reason of a host that does not own the shard.
	movedReason = refuser.Reason(refuser.RetryPermitOwnerMoved)

	requestCapacity = 4096
	// releaseInterval is how often the ownership of the shards is compared with the live members.
	releaseInterval = time.Second
	// releaseAfter is how long after the last request this host keeps a shard that it should no longer own, since hosts with
	// an outdated membership still send their requests here.
	releaseAfter = 10 * time.Second
)

// Config configures a Permitter; zero values mean the defaults.
type Config struct {
	Store   connector.Store
	Members connector.Members
	Peers   connector.Peers
	Timer   *timer.Service
	Log     *logger.Logger
	// Meter counts the calls to the store; nil disables the counts.
	Meter  *meter.Meter
	Rand   *rand.Rand
	Shards int
	// Shard configures the state machines; New sets its Host and Rand.
	Shard        ShardConfig
	StoreTimeout time.Duration
	ListTimeout  time.Duration
	CallTimeout  time.Duration
}

// Permitter implements connector.Permits. It is the driver of the shards that this host owns, and the requester of permits
// from the owners of all shards.
type Permitter struct {
	config     Config
	draining   atomic.Bool
	tokens     atomic.Uint64
	requests   *buffer.Ring[shardEvent]
	results    *buffer.Ring[shardEvent]
	unrecorded *buffer.Ring[codec.PermitCompletion]
	storeCalls *grouper.Group
	shards     []*ownedShard
	waiters    waiters
}

var _ connector.Permits = (*Permitter)(nil)

type shardEvent struct {
	shard int
	event Event
}

type ownedShard struct {
	machine *Shard
	wakeAt  time.Time
	usedAt  time.Time
}

// New returns a permitter and registers MethodPermit and MethodComplete with the peers.
func New(config Config) *Permitter {
	setDefault(&config.StoreTimeout, DefaultStoreTimeout)
	setDefault(&config.ListTimeout, DefaultListTimeout)
	setDefault(&config.CallTimeout, DefaultCallTimeout)
	if config.Shards <= 0 {
		config.Shards = DefaultShards
	}
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	config.Shard.Host = config.Members.Self().ID
	config.Shard.Rand = config.Rand
	p := &Permitter{
		config:     config,
		requests:   buffer.New[shardEvent](requestCapacity),
		results:    buffer.New[shardEvent](config.Shards * callsPerShard),
		unrecorded: buffer.New[codec.PermitCompletion](completionRetryCapacity),
		storeCalls: grouper.NewGroup(config.Shards * callsPerShard),
		waiters:    newWaiters(),
	}
	for range config.Shards {
		p.shards = append(p.shards, &ownedShard{machine: NewShard(config.Shard)})
	}
	config.Peers.Handle(MethodPermit, p.servePermit)
	config.Peers.Handle(MethodComplete, p.serveComplete)
	return p
}

// Duties returns the long-lived functions of the permitter.
func (p *Permitter) Duties() []grouper.Duty {
	return []grouper.Duty{
		{Name: "permitter", Run: p.run},
		{Name: "permit-withdrawals", Run: p.runCompletionRetries},
	}
}

// Drain makes this host deny the ownership of all shards, as part of a graceful shutdown. Its own Acquire calls continue,
// with other hosts as owners.
func (p *Permitter) Drain() { p.draining.Store(true) }

// run feeds events to the state machines of all shards and executes their commands.
func (p *Permitter) run(ctx context.Context) error {
	defer p.storeCalls.Wait()
	ticks, cancel := p.config.Timer.Subscribe(releaseInterval)
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
			p.reconcile(ctx)
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
		p.config.Log.Info(logger.ShardTaken).Int("shard", shard).Int("segments", len(listed.Segments)).Send()
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
		p.storeCalls.Go(func() { p.offer(shard, p.list(ctx, shard)) })
	case Get:
		p.storeCalls.Go(func() { p.offer(shard, p.get(ctx, shard, c)) })
	case Put:
		p.storeCalls.Go(func() { p.offer(shard, p.put(ctx, shard, c)) })
	case Delete:
		p.storeCalls.Go(func() { p.offer(shard, p.delete(ctx, shard, c)) })
	}
}

// offer passes the result of a store call to Permitter.run; the ring has capacity for all calls that can be outstanding.
func (p *Permitter) offer(shard int, event Event) {
	p.results.Offer(shardEvent{shard: shard, event: event})
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

// reconcile sends the live members to the shards and releases the shards that now belong to another host.
func (p *Permitter) reconcile(ctx context.Context) {
	live := make(map[identifier.HostID]bool)
	for _, member := range p.config.Members.Live() {
		live[member.ID] = true
	}
	for shard, owned := range p.shards {
		if owned.machine.Idle() {
			continue
		}
		owner, ok := p.owner(shard, nil)
		elsewhere := p.draining.Load() || (ok && owner.ID != p.config.Members.Self().ID)
		if elsewhere && time.Since(owned.usedAt) > releaseAfter {
			p.handle(ctx, shard, Released{})
			continue
		}
		p.handle(ctx, shard, MembersChanged{Live: live})
	}
}
