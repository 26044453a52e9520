package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/connector"
)

const (
	// DefaultWait is how long a watch waits: each call to the store is paid for.
	DefaultWait = 25 * time.Second
	// firstBackoff and maxBackoff are the pauses after failed calls; a host must learn of changes within about a second
	// of the store's return.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// expiryInterval is how late held objects are removed.
	expiryInterval = 250 * time.Millisecond
)

// Update is the state of the followed kind.
type Update struct {
	// Sequence grows with each update.
	Sequence int64
	// Revision is the store's revision of the state.
	Revision int64
	Objects  map[string]codec.Object
}

// Config configures a Follower.
type Config struct {
	Store  connector.ObjectStore
	Prefix string
	// Hold keeps objects that are missing after an outage for so long after the store's return.
	Hold time.Duration
	// Pause is the least time between two watches, so that changes that come together cost one call.
	Pause time.Duration
	// Wait is how long a watch waits; zero means DefaultWait.
	Wait time.Duration
	Log  *logger.Logger
	// OnUpdate receives each new state, from the duty's goroutine.
	OnUpdate func(Update)
}

// Follower is a duty that keeps a Mirror current.
type Follower struct {
	config   Config
	mirror   *Mirror
	sequence int64
	listed   bool
	outage   bool
	backoff  time.Duration
}

// New returns a follower; Run keeps it current.
func New(config Config) *Follower {
	if config.Wait <= 0 {
		config.Wait = DefaultWait
	}
	if config.Log == nil {
		config.Log = logger.Discard()
	}
	return &Follower{config: config, mirror: NewMirror(config.Hold)}
}

// Run lists and watches until the context ends.
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

// advance makes one call: a list at first and after lost history, a watch otherwise.
func (f *Follower) advance(ctx context.Context) error {
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
	if f.mirror.Held() {
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

func (f *Follower) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mirror.Fail()
	// A watch that was cut may have missed changes whose history is gone, so the kind is listed again.
	f.listed = false
	if !f.outage {
		f.config.Log.Warn(logger.StoreUnavailable).Str("kind", f.config.Prefix).Err(err).Msg("keeping the last state")
	}
	f.outage = true
	f.backoff = min(max(2*f.backoff, firstBackoff), maxBackoff)
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
