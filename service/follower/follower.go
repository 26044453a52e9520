package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

const (
	// DefaultWait is how long a watch waits for changes. A watch whose request was lost looks like one without changes until it
	// times out, so it bounds the age of the state. Each call to the store is paid for, so it is no shorter.
	DefaultWait = 3 * time.Second
	// initialBackoff and maxBackoff bound the backoff after a failed call, which doubles with each failure in a row; the
	// pause is a random time between half the backoff and the backoff. A host must learn of changes within about a second
	// of the store's recovery.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// expiryInterval is how long a watch waits while missing objects are kept, so that they are removed soon after Hold has passed.
	expiryInterval = 250 * time.Millisecond
)

// Update is the state of the followed kind.
type Update struct {
	// Sequence increases with each update.
	Sequence int64
	// Revision is the store's revision up to which the state is known.
	Revision int64
	Objects  map[string]codec.Object
}

// Config configures a Follower.
type Config struct {
	Store  connector.ObjectStore
	Prefix string
	// Hold is how long objects that are missing after an outage are kept, from the store's recovery on.
	Hold time.Duration
	// Pause is the minimum time between the starts of two calls, so that changes close to each other cost one call.
	Pause time.Duration
	// Wait is how long a watch waits for changes; zero means DefaultWait.
	Wait time.Duration
	Log  *logger.Logger
	// OnUpdate receives each new state, on the goroutine of Run.
	OnUpdate func(Update)
}

// Follower is the driver of a Mirror: it lists and watches the objects of one kind.
type Follower struct {
	config   Config
	mirror   *Mirror
	sequence int64
	listed   bool // whether the mirror holds a complete list, from which a watch can continue
	outage   bool // whether the last call failed
	backoff  time.Duration

	mu sync.Mutex
	// stopCall ends the call in progress; nil between calls.
	stopCall context.CancelFunc
}

// New returns a follower that knows no objects until Run has listed them.
func New(config Config) *Follower {
	if config.Wait <= 0 {
		config.Wait = DefaultWait
	}
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	return &Follower{config: config, mirror: NewMirror(config.Hold)}
}

// Run lists and watches until the context ends, and backs off after failed calls; it returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := f.advance(ctx); err != nil {
			f.fail(ctx, err)
			continue
		}
		f.succeed()
		f.sleep(ctx, f.config.Pause-time.Since(started))
	}
	return nil
}

// Suspect ends the call in progress, because another call has shown that the store may not answer it. The kind is listed again.
func (f *Follower) Suspect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopCall != nil {
		f.stopCall()
	}
}

// stoppableCall returns the context of a call, which Suspect ends.
func (f *Follower) stoppableCall(ctx context.Context) (call context.Context, end func()) {
	call, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopCall = cancel
	return call, func() {
		f.mu.Lock()
		f.stopCall = nil
		f.mu.Unlock()
		cancel()
	}
}

// advance makes one call: a list at first, after a failed call and after compacted history, otherwise a watch.
func (f *Follower) advance(ctx context.Context) error {
	ctx, end := f.stoppableCall(ctx)
	defer end()
	if !f.listed {
		list, err := f.config.Store.List(ctx, f.config.Prefix)
		if err != nil {
			return err
		}
		f.listed = true
		f.mirror.Replace(time.Now(), list)
		f.publish()
		return nil
	}
	wait := f.config.Wait
	if f.mirror.HasMissing() {
		wait = expiryInterval
	}
	changes, err := f.config.Store.Watch(ctx, f.config.Prefix, f.mirror.Revision(), wait)
	if errors.Is(err, connector.ErrCompacted) {
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	now := time.Now()
	applied := f.mirror.Apply(now, changes)
	if expired := f.mirror.Expire(now); applied || expired {
		f.publish()
	}
	return nil
}

func (f *Follower) publish() {
	f.sequence++
	f.config.OnUpdate(Update{Sequence: f.sequence, Revision: f.mirror.Revision(), Objects: f.mirror.Objects()})
}

// fail records a failed call and waits before the next one; the pause is random, so that hosts do not all retry at the
// same time.
func (f *Follower) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mirror.Fail()
	// An interrupted watch may have missed changes whose history has been compacted since, so the kind is listed again.
	f.listed = false
	if !f.outage {
		f.config.Log.Warn(logger.StoreUnavailable).Str("kind", f.config.Prefix).Err(err).Msg("keeping the last known state of this kind until the store recovers")
	}
	f.outage = true
	f.backoff = min(max(2*f.backoff, initialBackoff), maxBackoff)
	f.sleep(ctx, f.backoff/2+rand.N(f.backoff/2))
}

func (f *Follower) succeed() {
	if f.outage {
		f.config.Log.Info(logger.StoreRecovered).Str("kind", f.config.Prefix).Int64("revision", f.mirror.Revision()).Send()
	}
	f.outage = false
	f.backoff = 0
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	pause := time.NewTimer(wait)
	defer pause.Stop()
	select {
	case <-ctx.Done():
	case <-pause.C:
	}
}
